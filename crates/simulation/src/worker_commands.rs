//! Commands on their way to simulated workers, and what these do with them.

use crate::directions::Endpoint;
use crate::machine::{SimulatedTask, on_machine, split_task_id};
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::SimulationState;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::workers::wire::{CommandKind, ExitReason, TaskStatus, WorkerCommand};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;

impl Simulation {
    /// Workers of that zone and the node reach each other, but for cuts of one direction.
    pub(crate) fn reaches(&self, n: usize, zone: &str) -> bool {
        let cut = self.state().nodes[n].workers_cut_until > self.now();
        !cut && self.joined(self.zone_of_node(n), zone)
    }

    /// Whether a new connection from the node to that worker comes about.
    pub fn reaches_worker(&self, n: usize, addr: SocketAddr) -> bool {
        let now = self.now();
        let zone = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr) else {
                return false;
            };
            if !m.up(now) || m.cut_until > now || m.inbound_dropped_until > now {
                return false;
            }
            m.zone.clone()
        };
        // A connection needs both directions.
        let open = {
            let state = self.state();
            let directions = [
                (Endpoint::Node(n), Endpoint::Workers),
                (Endpoint::Workers, Endpoint::Node(n)),
            ];
            !directions
                .iter()
                .any(|(from, to)| state.is_cut(*from, *to, now))
        };
        open && self.reaches(n, &zone)
    }

    /// Whether two zones reach each other.
    pub fn joined(&self, a: &str, b: &str) -> bool {
        let now = self.now();
        let state = self.state();
        let cut = |zone: &str| state.zone_cuts.get(zone).is_some_and(|t| *t > now);
        a == b || !(cut(a) || cut(b))
    }

    /// When a command that arrives now is let go; None if it isn't held back.
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

    /// Commands reach the network: they arrive now, or are held back and arrive once, unanswered.
    pub fn commands_sent(
        self: &Arc<Self>,
        node: usize,
        worker: SocketAddr,
        body: Vec<u8>,
        then: impl FnOnce(&Arc<Simulation>, (u16, Vec<u8>)) + Send + 'static,
    ) {
        match self.command_delayed_until(node, worker) {
            Some(later) => self.at_time(later, move |sim| {
                sim.commands_arrive(node, worker, body, |_, _| {});
            }),
            None => self.commands_arrive(node, worker, body, then),
        }
    }

    /// Commands reach a worker's address, or don't; `then` gets what it answers.
    pub fn commands_arrive(
        self: &Arc<Self>,
        n: usize,
        addr: SocketAddr,
        body: Vec<u8>,
        then: impl FnOnce(&Arc<Simulation>, (u16, Vec<u8>)) + Send + 'static,
    ) {
        let now = self.now();
        let (zone, until, held) = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr).filter(|m| m.up(now)) else {
                return;
            };
            if m.inbound_dropped_until > now {
                return;
            }
            let until = m.frozen_until.max(m.cut_until);
            (m.zone.clone(), until, m.frozen_until > now || m.holds)
        };
        let lost = self
            .state()
            .is_cut(Endpoint::Node(n), Endpoint::Workers, now);
        if lost || !self.reaches(n, &zone) {
            return;
        }
        if until > now {
            if held {
                let later = until + self.latency();
                self.at_time(later, move |sim| sim.commands_arrive(n, addr, body, then));
            }
            return;
        }
        #[derive(Deserialize)]
        struct DirectCommands {
            baton: u64,
            shift: u64,
            #[serde(rename = "orders")]
            commands: Vec<WorkerCommand>,
        }
        let commands: DirectCommands = decode(&body).unwrap();
        let name = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr) else {
                return;
            };
            if commands.baton < m.fencing_token || commands.shift != m.agent_epoch {
                let report = m.report(now);
                drop(state);
                return then(self, (409, encode(&report)));
            }
            m.fencing_token = commands.baton;
            m.name.clone()
        };
        self.execute(&name, &commands.commands);
        let mut state = self.state();
        let report = state.machines.get_mut(&name).map(|m| m.report(now));
        drop(state);
        let lost = self
            .state()
            .is_cut(Endpoint::Workers, Endpoint::Node(n), self.now());
        if let Some(report) = report.filter(|_| !lost) {
            then(self, (200, encode(&report)));
        }
    }

    pub(crate) fn execute(self: &Arc<Self>, name: &str, commands: &[WorkerCommand]) {
        let now = self.now();
        let fetch = secs(self.setup.fetch_s);
        let mut changed = false;
        for o in commands {
            let key = (o.task_id.clone(), o.attempt);
            let mut state = self.state();
            let SimulationState {
                machines,
                users,
                rng,
                checker,
                starts_by_term,
                ..
            } = &mut *state;
            let Some(m) = machines.get_mut(name) else {
                return;
            };
            let plan_of = |task_id: &str| users.get(split_task_id(task_id).0).map(|u| &u.plan);
            match o.kind {
                CommandKind::Run if !m.tasks.contains_key(&key) => {
                    starts_by_term.push((now, o.attempt >> 32));
                    changed = true;
                    let here = |(p, _): &(String, u64)| *p == o.task_id;
                    let mut other = m.tasks.iter().filter(|(k, _)| here(k));
                    let busy = other.any(|(_, t)| t.status != TaskStatus::Exited);
                    let cpus = |p: &str| plan_of(p).map_or(0.0, |p| p.cpus);
                    let refused = match plan_of(&o.task_id) {
                        None => Some(ExitReason::NoSuch),
                        Some(_) if busy => Some(ExitReason::Busy),
                        Some(plan) if plan.cpus > m.free(cpus) => Some(ExitReason::Full),
                        Some(_) => None,
                    };
                    m.timers += 1;
                    let cached = m.images.contains("img");
                    let wait = match cached {
                        true => 0,
                        false => rng.u64(fetch / 2..fetch * 2),
                    };
                    let task = SimulatedTask {
                        status: match refused {
                            None => TaskStatus::Fetching,
                            Some(_) => TaskStatus::Exited,
                        },
                        exit_reason: refused,
                        ends: now + wait,
                        timer: m.timers,
                    };
                    m.tasks.insert(key.clone(), task);
                    if refused.is_none() {
                        let (at, timer) = (now + wait, m.timers);
                        let name = name.to_string();
                        drop(state);
                        self.at_time(at, move |sim| sim.moves_on(&name, &key, timer));
                    }
                }
                CommandKind::Stop => {
                    let save = plan_of(&o.task_id).map_or(0.0, |p| p.save_s);
                    let Some(t) = m.tasks.get_mut(&key) else {
                        continue;
                    };
                    let saves = save > 0.0
                        && o.grace_period_s.is_some_and(|l| l >= save)
                        && t.status == TaskStatus::Running;
                    if t.status == TaskStatus::Exited
                        || (t.status == TaskStatus::Flushing && o.grace_period_s != Some(0.0))
                    {
                        continue;
                    }
                    changed = true;
                    m.timers += 1;
                    t.timer = m.timers;
                    if saves {
                        t.status = TaskStatus::Flushing;
                        t.ends = now + secs(save);
                        let (at, timer, name) = (t.ends, t.timer, name.to_string());
                        drop(state);
                        self.at_time(at, move |sim| sim.moves_on(&name, &key, timer));
                    } else {
                        let left = on_machine(t);
                        t.status = TaskStatus::Exited;
                        t.exit_reason = Some(ExitReason::Stopped);
                        if left {
                            let (id, n) = split_task_id(&o.task_id);
                            checker.leaves(id, n, name, false);
                        }
                    }
                }
                CommandKind::Clear => {
                    let exited = |t: &SimulatedTask| t.status == TaskStatus::Exited;
                    if m.tasks.get(&key).is_some_and(exited) {
                        m.tasks.remove(&key);
                    }
                }
                CommandKind::Run => {}
            }
        }
        if changed {
            self.heartbeat_soon(name);
        }
    }

    /// A task has its image, has run, or has saved.
    pub(crate) fn moves_on(self: &Arc<Self>, name: &str, key: &(String, u64), timer: u64) {
        let now = self.now();
        let mut state = self.state();
        let plan = state.plan(&key.0).cloned();
        let SimulationState {
            machines, checker, ..
        } = &mut *state;
        let Some(m) = machines.get_mut(name).filter(|m| m.alive()) else {
            return;
        };
        let place = m.place();
        let (frozen_until, frozen_since) = (m.frozen_until, m.frozen_since);
        let Some(t) = m.tasks.get_mut(key).filter(|t| t.timer == timer) else {
            return;
        };
        if frozen_until > now {
            // What was left to do is done once the machine goes on.
            let left = t.ends.saturating_sub(frozen_since);
            t.ends = frozen_until + left;
            let (at, name, key) = (t.ends, name.to_string(), key.clone());
            drop(state);
            return self.at_time(at, move |sim| sim.moves_on(&name, &key, timer));
        }
        let (id, n) = split_task_id(&key.0);
        match t.status {
            TaskStatus::Fetching => {
                t.status = TaskStatus::Running;
                t.ends = now + secs(plan.map_or(1.0, |p| p.run_s + f64::from(n) * p.more_s));
                m.images.insert("img".into());
                checker.starts(id, n, &place, now);
                let (at, name, key) = (t.ends, name.to_string(), key.clone());
                drop(state);
                self.at_time(at, move |sim| sim.moves_on(&name, &key, timer));
            }
            TaskStatus::Running => {
                t.status = TaskStatus::Exited;
                t.exit_reason = Some(ExitReason::Done);
                let ends = plan.is_none_or(|p| !p.standing);
                checker.leaves(id, n, name, ends);
                let id = id.to_string();
                drop(state);
                self.task_ended(&id);
            }
            TaskStatus::Flushing => {
                t.status = TaskStatus::Exited;
                t.exit_reason = Some(ExitReason::Stopped);
                checker.leaves(id, n, name, false);
                drop(state);
            }
            _ => return,
        }
        self.heartbeat_soon(name);
    }
}
