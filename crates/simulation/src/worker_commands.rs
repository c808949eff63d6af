//! Delivery of direct commands to simulated workers.

use crate::directions::Endpoint;
use crate::scheduler::Time;
use crate::simulation::Simulation;
use crate::worker_protocol::DirectCommands;
use aspenreel::http::cbor::{decode, encode};
use std::net::SocketAddr;
use std::sync::Arc;

/// Arrival of a message at a worker.
enum Arrival {
    /// The message arrives now.
    Now,
    /// The message is held back until this time, and arrives after it.
    After(Time),
    /// The message is lost.
    Never,
}

impl Simulation {
    /// True if there is no cut between the node and the workers of a zone. Cuts of single directions are not
    /// considered.
    pub(crate) fn is_zone_reachable(&self, node: usize, zone: &str) -> bool {
        let cut = self.state().nodes[node].workers_cut_until > self.now();
        !cut && self.zones_connected(self.zone_of_node(node), zone)
    }

    /// True if the node can open a new connection to the worker with this address.
    pub fn can_connect_to_worker(&self, node: usize, addr: SocketAddr) -> bool {
        let now = self.now();
        let zone = {
            let mut state = self.state();
            let Some(machine) = state.machine_at(addr) else {
                return false;
            };
            if !machine.up(now) || machine.cut_until > now || machine.inbound_dropped_until > now {
                return false;
            }
            machine.zone.clone()
        };
        // A connection needs both directions.
        let open = {
            let state = self.state();
            let directions = [
                (Endpoint::Node(node), Endpoint::Workers),
                (Endpoint::Workers, Endpoint::Node(node)),
            ];
            !directions
                .iter()
                .any(|(from, to)| state.is_cut(*from, *to, now))
        };
        open && self.is_zone_reachable(node, &zone)
    }

    /// True if there is no cut between two zones.
    pub fn zones_connected(&self, a: &str, b: &str) -> bool {
        let now = self.now();
        let state = self.state();
        let cut = |zone: &str| state.zone_cuts.get(zone).is_some_and(|until| *until > now);
        a == b || !(cut(a) || cut(b))
    }

    /// Decides whether a direct command that is sent now is delayed; if so, returns the time of its delivery.
    pub(crate) fn command_delayed_until(&self, node: usize, worker: SocketAddr) -> Option<Time> {
        let now = self.now();
        let mut state = self.state();
        if state.delayed_commands.until <= now {
            return None;
        }
        let share = state.delayed_commands.share;
        if state.rng.f64() >= share {
            return None;
        }
        let delay = state.delayed_commands.delay.clone();
        let drawn = now + state.rng.u64(delay);
        let route = (node, worker);
        let last = state.delayed_commands.last.entry(route).or_insert(0);
        *last = drawn.max(*last + 1);
        Some(*last)
    }

    /// Decides whether a direct command that is sent now is repeated; if so, returns the arrival time of the copy.
    fn command_repeated_at(&self) -> Option<Time> {
        let now = self.now();
        let mut state = self.state();
        if state.repeated_commands.until <= now {
            return None;
        }
        let share = state.repeated_commands.share;
        if state.rng.f64() >= share {
            return None;
        }
        let delay = state.repeated_commands.delay.clone();
        Some(now + state.rng.u64(delay))
    }

    /// Delivers direct commands now, or after a delay if the fault of delayed commands affects them. The answer to
    /// delayed commands is lost. Commands that the fault of repeated commands affects arrive once more later.
    pub fn commands_sent(
        self: &Arc<Self>,
        node: usize,
        worker: SocketAddr,
        body: Vec<u8>,
        then: impl FnOnce(&Arc<Simulation>, (u16, Vec<u8>)) + Send + 'static,
    ) {
        match self.command_delayed_until(node, worker) {
            Some(delivered_at) => self.at_time(delivered_at, move |sim| {
                sim.commands_arrive(node, worker, body, |_, _| {});
            }),
            None => {
                if let Some(repeated_at) = self.command_repeated_at() {
                    let copy = body.clone();
                    self.at_time(repeated_at, move |sim| {
                        sim.commands_arrive(node, worker, copy, |_, _| {});
                    });
                }
                self.commands_arrive(node, worker, body, then);
            }
        }
    }

    /// Decides whether and when a message that a controller sends to this worker arrives.
    fn arrival_at_worker(&self, node: usize, addr: SocketAddr) -> Arrival {
        let now = self.now();
        let (zone, until, is_held_back) = {
            let mut state = self.state();
            let Some(machine) = state.machine_at(addr).filter(|machine| machine.up(now)) else {
                return Arrival::Never;
            };
            if machine.inbound_dropped_until > now {
                return Arrival::Never;
            }
            let until = machine.frozen_until.max(machine.cut_until);
            (
                machine.zone.clone(),
                until,
                machine.frozen_until > now || machine.delivers_after_cut,
            )
        };
        let lost = self
            .state()
            .is_cut(Endpoint::Node(node), Endpoint::Workers, now);
        if lost || !self.is_zone_reachable(node, &zone) {
            return Arrival::Never;
        }
        match (until > now, is_held_back) {
            (false, _) => Arrival::Now,
            (true, true) => Arrival::After(until),
            (true, false) => Arrival::Never,
        }
    }

    /// Delivers direct commands to a worker's address, subject to the faults in effect. `then` gets the worker's
    /// answer if there is one and it isn't lost.
    pub fn commands_arrive(
        self: &Arc<Self>,
        node: usize,
        addr: SocketAddr,
        body: Vec<u8>,
        then: impl FnOnce(&Arc<Simulation>, (u16, Vec<u8>)) + Send + 'static,
    ) {
        match self.arrival_at_worker(node, addr) {
            Arrival::Now => {}
            Arrival::Never => return,
            Arrival::After(until) => {
                let delivered_at = until + self.latency();
                return self.at_time(delivered_at, move |sim| {
                    sim.commands_arrive(node, addr, body, then)
                });
            }
        }
        let commands: DirectCommands = decode(&body).unwrap();
        let now = self.now();
        let name = {
            let mut state = self.state();
            let Some(machine) = state.machine_at(addr) else {
                return;
            };
            if commands.are_refused(machine.fencing_token, machine.agent_epoch) {
                let heartbeat = machine.heartbeat(now);
                drop(state);
                return then(self, (409, encode(&heartbeat)));
            }
            machine.fencing_token = commands.fencing_token;
            machine.name.clone()
        };
        self.execute(&name, &commands.commands);
        let heartbeat = {
            let mut state = self.state();
            state
                .machines
                .get_mut(&name)
                .map(|machine| machine.heartbeat(now))
        };
        let lost = self
            .state()
            .is_cut(Endpoint::Workers, Endpoint::Node(node), now);
        if let Some(heartbeat) = heartbeat.filter(|_| !lost) {
            then(self, (200, encode(&heartbeat)));
        }
    }
}
