//! Heartbeats of simulated workers: sending, delivery and handling of the answers.

use crate::directions::Endpoint;
use crate::machine::{Machine, is_active};
use crate::scheduler::{Time, secs};
use crate::setup::{HEARTBEAT_S, LEASE_S};
use crate::simulation::Simulation;
use crate::worker_protocol::{leader_of, split_task_id};
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::server::{Handler, Request};
use aspenreel::workers::wire::{Heartbeat, HeartbeatReplyBody, WorkerCommand};
use aspenreel::workers::{AgentEpoch, FencingToken};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Time = 4_000_000;

/// Delay before the heartbeat after one that failed or was refused.
const RETRY_DELAY: Time = 1_000_000;
/// Delay before the heartbeat after a worker got a higher fencing token, so that it confirms the token soon.
const DELAY_AFTER_NEW_TOKEN: Time = 500_000;
/// Delay before the heartbeat to the leader that a refusal named.
const DELAY_TO_NAMED_LEADER: Time = 200_000;

impl Simulation {
    /// Creates a machine that is up after a span of simulated time, and at most 0.4 seconds later; returns its name.
    pub fn add_machine(
        self: &Arc<Self>,
        type_name: &str,
        zone: &str,
        spot: bool,
        after: Time,
    ) -> String {
        let now = self.now();
        let (name, up_at) = {
            let mut state = self.state();
            state.cloud.machines_created += 1;
            let number = state.cloud.machines_created;
            let name = format!("m-{number:06}");
            let up_at = now + after + state.rng.u64(0..400_000);
            let node = state.rng.usize(0..self.setup.nodes);
            let machine = Machine {
                name: name.clone(),
                type_name: type_name.into(),
                zone: zone.into(),
                spot,
                cpus: if type_name == "small" { 8.0 } else { 32.0 },
                addr: format!("10.1.{}.{}:9000", number / 200, number % 200)
                    .parse()
                    .unwrap(),
                created: now,
                up_at,
                gone_at: None,
                died_at: None,
                agent_epoch: AgentEpoch(1),
                sequence: 0,
                fencing_token: FencingToken::NONE,
                lease_started_at: up_at,
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                node,
                in_flight: None,
                last_sent_at: 0,
                sent_heartbeats: 0,
                heartbeat_timer: 0,
                timers: 0,
                frozen_until: 0,
                frozen_since: 0,
                cut_until: 0,
                delivers_after_cut: false,
                outbound_dropped_until: 0,
                inbound_dropped_until: 0,
                preempted_at: None,
            };
            state.machines.insert(name.clone(), machine);
            (name, up_at)
        };
        let worker = name.clone();
        self.at_time(up_at, move |sim| {
            sim.check_lease(&worker);
            sim.heartbeat_at(&worker, sim.now());
        });
        name
    }

    /// Ends the agent epoch of a worker if its lease has expired, and schedules the next check.
    pub(crate) fn check_lease(self: &Arc<Self>, name: &str) {
        let now = self.now();
        let worker = name.to_string();
        let mut state = self.state();
        let Some(machine) = state
            .machines
            .get_mut(name)
            .filter(|machine| machine.alive())
        else {
            return;
        };
        let lease_end = machine.lease_started_at + secs(LEASE_S);
        if now < lease_end {
            drop(state);
            return self.at_time(lease_end, move |sim| sim.check_lease(&worker));
        }
        machine.agent_epoch = machine.agent_epoch.next();
        machine.lease_started_at = now;
        machine.in_flight = None;
        let lost_tasks = std::mem::take(&mut machine.tasks);
        for ((task_id, _), task) in lost_tasks {
            if is_active(&task) {
                let (id, number) = split_task_id(&task_id);
                state.checker.task_stopped(id, number, name, false);
            }
        }
        drop(state);
        self.heartbeat_at(name, now);
        self.after(secs(LEASE_S), move |sim| sim.check_lease(&worker));
    }

    /// Schedules the next heartbeat of a worker; replaces the one scheduled before.
    pub(crate) fn heartbeat_at(self: &Arc<Self>, name: &str, at: Time) {
        let mut state = self.state();
        let Some(machine) = state.machines.get_mut(name) else {
            return;
        };
        machine.heartbeat_timer += 1;
        let (number, worker) = (machine.heartbeat_timer, name.to_string());
        drop(state);
        self.at_time(at, move |sim| sim.send_heartbeat(&worker, number));
    }

    /// Schedules a heartbeat half a second after the last one, or now if that has passed. Does nothing while a
    /// heartbeat awaits its answer.
    pub(crate) fn heartbeat_soon(self: &Arc<Self>, name: &str) {
        let at = {
            let state = self.state();
            let Some(machine) = state
                .machines
                .get(name)
                .filter(|machine| machine.in_flight.is_none())
            else {
                return;
            };
            (machine.last_sent_at + 500_000).max(self.now())
        };
        self.heartbeat_at(name, at);
    }

    /// Sends a worker's heartbeat if the timer `number` is still valid.
    pub(crate) fn send_heartbeat(self: &Arc<Self>, name: &str, number: u64) {
        let now = self.now();
        let mut state = self.state();
        let Some(machine) = state.machines.get_mut(name) else {
            return;
        };
        if !machine.up(now) || machine.heartbeat_timer != number || machine.in_flight.is_some() {
            return;
        }
        if machine.frozen_until > now {
            let until = machine.frozen_until;
            drop(state);
            return self.heartbeat_at(name, until);
        }
        let heartbeat = machine.heartbeat(now);
        machine.sent_heartbeats += 1;
        machine.last_sent_at = now;
        machine.in_flight = Some(machine.sent_heartbeats);
        let (request, node, worker) = (machine.sent_heartbeats, machine.node, name.to_string());
        let cut_until = machine.cut_until;
        let (is_lost, is_held_back) = (
            machine.cut_until > now || machine.outbound_dropped_until > now,
            machine.delivers_after_cut && machine.cut_until > now,
        );
        drop(state);
        self.after(HEARTBEAT_TIMEOUT, move |sim| {
            sim.heartbeat_timed_out(&worker, request)
        });
        if is_lost {
            if is_held_back {
                self.at_time(cut_until, move |sim| {
                    sim.heartbeat_copy_arrives(node, &heartbeat)
                });
            }
            return;
        }
        let request_latency = self.latency();
        self.after(request_latency, move |sim| {
            sim.heartbeat_arrives(node, heartbeat, request, now)
        });
    }

    /// Makes a worker use the next controller if the heartbeat with this number still awaits its answer.
    pub(crate) fn heartbeat_timed_out(self: &Arc<Self>, name: &str, request: u64) {
        let nodes = self.setup.nodes;
        {
            let mut state = self.state();
            let Some(machine) = state.machines.get_mut(name) else {
                return;
            };
            if machine.in_flight != Some(request) {
                return;
            }
            machine.in_flight = None;
            machine.node = (machine.node + 1) % nodes;
        }
        self.heartbeat_at(name, self.now() + RETRY_DELAY);
    }

    /// Delivers a heartbeat to a node and returns its response. Fails with the time at which the node's process
    /// resumes if it is frozen, and with `None` if it is down.
    pub(crate) fn deliver_heartbeat(
        self: &Arc<Self>,
        node: usize,
        heartbeat: &Heartbeat,
    ) -> Result<(u16, Vec<u8>), Option<Time>> {
        let (process, controller) = {
            let state = self.state();
            let node = &state.nodes[node];
            (node.process, node.controller.clone())
        };
        let (Some(process), Some(controller)) = (process, controller) else {
            return Err(None);
        };
        if let Some(until) = self.scheduler.frozen_until(process) {
            return Err(Some(until));
        }
        let request = Request {
            method: "POST".into(),
            path: "/checkin".into(),
            body: encode(heartbeat),
        };
        let response = controller
            .handle_without_blocking(request)
            .unwrap_or_else(|_| panic!("the handler of heartbeats must not block"));
        let late = response
            .valid_until
            .is_some_and(|until| controller.os.now() >= until);
        Ok((if late { 503 } else { response.status }, response.body))
    }

    /// Delivers a worker's heartbeat to a node, subject to the faults in effect, and schedules the arrival of the
    /// answer.
    pub(crate) fn heartbeat_arrives(
        self: &Arc<Self>,
        node: usize,
        heartbeat: Heartbeat,
        request: u64,
        sent: Time,
    ) {
        let zone = heartbeat.zone.clone();
        let lost = self
            .state()
            .is_cut(Endpoint::Workers, Endpoint::Node(node), self.now());
        if lost || !self.is_zone_reachable(node, &zone) {
            return;
        }
        let answer = match self.deliver_heartbeat(node, &heartbeat) {
            Ok(answer) => Some(answer),
            Err(Some(until)) => {
                return self.at_time(until, move |sim| {
                    sim.heartbeat_arrives(node, heartbeat, request, sent)
                });
            }
            Err(None) => None,
        };
        let now = self.now();
        let copy = {
            let mut state = self.state();
            let fault = state.duplicated_heartbeats.filter(|f| f.until > now);
            fault.filter(|f| state.rng.f64() < f.share)
        };
        match copy {
            Some(fault) if fault.for_next_leader => self
                .state()
                .heartbeats_for_next_leader
                .push(heartbeat.clone()),
            Some(_) => {
                let later = self.random(2_000_000..secs(1.4 * LEASE_S));
                let heartbeat = heartbeat.clone();
                self.after(later, move |sim| {
                    let node = sim.leader_or_any();
                    sim.heartbeat_copy_arrives(node, &heartbeat);
                });
            }
            None => {}
        }
        if self
            .state()
            .is_cut(Endpoint::Node(node), Endpoint::Workers, self.now())
        {
            return;
        }
        let response_latency = self.latency();
        let name = heartbeat.machine.clone();
        self.after(response_latency, move |sim| {
            sim.answer_arrives(&name, heartbeat.agent_epoch, request, sent, answer);
        });
    }

    /// Delivers a copy of a heartbeat, whose answer the worker no longer awaits.
    pub fn heartbeat_copy_arrives(self: &Arc<Self>, node: usize, heartbeat: &Heartbeat) {
        if let Err(Some(until)) = self.deliver_heartbeat(node, heartbeat) {
            let heartbeat = heartbeat.clone();
            self.at_time(until, move |sim| {
                sim.heartbeat_copy_arrives(node, &heartbeat)
            });
        }
    }

    /// Handles the answer to a heartbeat at the worker; `None` if the node was down.
    fn answer_arrives(
        self: &Arc<Self>,
        name: &str,
        agent_epoch: AgentEpoch,
        request: u64,
        sent: Time,
        answer: Option<(u16, Vec<u8>)>,
    ) {
        let now = self.now();
        let mut state = self.state();
        let Some(machine) = state.machines.get_mut(name) else {
            return;
        };
        if !machine.up(now) || machine.in_flight != Some(request) {
            return;
        }
        if machine.frozen_until > now {
            let (until, name) = (machine.frozen_until, name.to_string());
            drop(state);
            return self.at_time(until, move |sim| {
                sim.answer_arrives(&name, agent_epoch, request, sent, answer);
            });
        }
        if now - sent > HEARTBEAT_TIMEOUT
            || machine.cut_until > now
            || machine.inbound_dropped_until > now
        {
            return;
        }
        machine.in_flight = None;
        let (wait, commands) = match answer {
            Some((200, body)) => apply_reply(machine, &decode(&body).unwrap(), agent_epoch, sent),
            Some((421, body)) => (follow_refusal(machine, &body, self.setup.nodes), Vec::new()),
            _ => (try_next_controller(machine, self.setup.nodes), Vec::new()),
        };
        drop(state);
        let spread = (HEARTBEAT_S * 250_000.0) as Time;
        let next = match wait > RETRY_DELAY {
            true => now + wait - spread + self.random(0..2 * spread),
            false => now + wait,
        };
        self.heartbeat_at(name, next);
        self.execute(name, &commands);
    }
}

/// Applies the reply to a heartbeat. Returns the delay until the next heartbeat and the commands to execute.
fn apply_reply(
    machine: &mut Machine,
    reply: &HeartbeatReplyBody,
    agent_epoch: AgentEpoch,
    sent: Time,
) -> (Time, Vec<WorkerCommand>) {
    let usual_wait = (HEARTBEAT_S * 1e6) as Time;
    if reply.fencing_token < machine.fencing_token || agent_epoch != machine.agent_epoch {
        return (usual_wait, Vec::new());
    }
    let wait = match reply.fencing_token > machine.fencing_token {
        true => DELAY_AFTER_NEW_TOKEN,
        false => usual_wait,
    };
    machine.fencing_token = reply.fencing_token;
    machine.lease_started_at = sent;
    (wait, reply.commands.clone())
}

/// Makes a worker use the leader that a refusal names, or else the next controller. Returns the delay until the next
/// heartbeat.
fn follow_refusal(machine: &mut Machine, body: &[u8], controllers: usize) -> Time {
    let named = leader_of(body).and_then(|name| name.strip_prefix("n-")?.parse().ok());
    match named.filter(|n| *n != machine.node && *n < controllers) {
        Some(named) => {
            machine.node = named;
            DELAY_TO_NAMED_LEADER
        }
        None => try_next_controller(machine, controllers),
    }
}

/// Makes a worker use the next controller. Returns the delay until the next heartbeat.
fn try_next_controller(machine: &mut Machine, controllers: usize) -> Time {
    machine.node = (machine.node + 1) % controllers;
    RETRY_DELAY
}
