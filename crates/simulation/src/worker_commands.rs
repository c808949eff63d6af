//! Commands on their way to simulated workers, and what these do with them.

use crate::directions::Endpoint;
use crate::machine::{Machine, SimulatedTask, on_machine};
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::SimulationState;
use crate::user_job::UserJob;
use crate::worker_protocol::{DirectCommands, split_task_id};
use aspenreel::http::cbor::{decode, encode};
use aspenreel::workers::wire::{CommandKind, ExitReason, TaskStatus, WorkerCommand};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The image of all jobs of the simulation.
const IMAGE: &str = "img";

/// Whether something that was sent arrives.
enum Arrival {
    Now,
    /// It is held back until then, and arrives after it.
    After(Time),
    Never,
}

/// Why a worker refuses a start, if it does.
fn refusal(
    machine: &Machine,
    users: &BTreeMap<String, UserJob>,
    task_id: &str,
) -> Option<ExitReason> {
    let plan_of = |task_id: &str| users.get(split_task_id(task_id).0).map(|user| &user.plan);
    let attempts = machine.tasks.iter().filter(|((id, _), _)| id == task_id);
    let mut active = attempts.filter(|(_, task)| task.status != TaskStatus::Exited);
    let is_busy = active.next().is_some();
    let cpus = |task_id: &str| plan_of(task_id).map_or(0.0, |plan| plan.cpus);
    match plan_of(task_id) {
        None => Some(ExitReason::NoSuch),
        Some(_) if is_busy => Some(ExitReason::Busy),
        Some(plan) if plan.cpus > machine.free(cpus) => Some(ExitReason::Full),
        Some(_) => None,
    }
}

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

    /// Whether what a controller sends to this worker arrives.
    fn arrival_at_worker(&self, n: usize, addr: SocketAddr) -> Arrival {
        let now = self.now();
        let (zone, until, held) = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr).filter(|m| m.up(now)) else {
                return Arrival::Never;
            };
            if m.inbound_dropped_until > now {
                return Arrival::Never;
            }
            let until = m.frozen_until.max(m.cut_until);
            (m.zone.clone(), until, m.frozen_until > now || m.holds)
        };
        let lost = self
            .state()
            .is_cut(Endpoint::Node(n), Endpoint::Workers, now);
        if lost || !self.reaches(n, &zone) {
            return Arrival::Never;
        }
        match (until > now, held) {
            (false, _) => Arrival::Now,
            (true, true) => Arrival::After(until),
            (true, false) => Arrival::Never,
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
        match self.arrival_at_worker(n, addr) {
            Arrival::Now => {}
            Arrival::Never => return,
            Arrival::After(until) => {
                let later = until + self.latency();
                return self.at_time(later, move |sim| sim.commands_arrive(n, addr, body, then));
            }
        }
        let commands: DirectCommands = decode(&body).unwrap();
        let now = self.now();
        let name = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr) else {
                return;
            };
            if commands.are_refused(m.fencing_token, m.agent_epoch) {
                let report = m.report(now);
                drop(state);
                return then(self, (409, encode(&report)));
            }
            m.fencing_token = commands.fencing_token;
            m.name.clone()
        };
        self.execute(&name, &commands.commands);
        let report = {
            let mut state = self.state();
            state.machines.get_mut(&name).map(|m| m.report(now))
        };
        let lost = self
            .state()
            .is_cut(Endpoint::Workers, Endpoint::Node(n), now);
        if let Some(report) = report.filter(|_| !lost) {
            then(self, (200, encode(&report)));
        }
    }

    /// Executes commands in their order. Changes are told by a heartbeat soon.
    pub(crate) fn execute(self: &Arc<Self>, name: &str, commands: &[WorkerCommand]) {
        let mut changed = false;
        for command in commands {
            changed |= match command.kind {
                CommandKind::Run => self.start_task(name, command),
                CommandKind::Stop => self.stop_task(name, command),
                CommandKind::Clear => {
                    self.clear_task(name, command);
                    false
                }
            };
        }
        if changed {
            self.heartbeat_soon(name);
        }
    }

    /// Starts an attempt, or refuses it. False if the worker knows the attempt already.
    fn start_task(self: &Arc<Self>, name: &str, command: &WorkerCommand) -> bool {
        let now = self.now();
        let fetch = secs(self.setup.fetch_s);
        let key = (command.task_id.clone(), command.attempt);
        let mut state = self.state();
        let SimulationState {
            machines,
            users,
            rng,
            starts_by_term,
            ..
        } = &mut *state;
        let machine = machines.get_mut(name);
        let Some(machine) = machine.filter(|m| !m.tasks.contains_key(&key)) else {
            return false;
        };
        starts_by_term.push((now, command.attempt >> 32));
        let refused = refusal(machine, users, &command.task_id);
        let wait = match machine.images.contains(IMAGE) {
            true => 0,
            false => rng.u64(fetch / 2..fetch * 2),
        };
        machine.timers += 1;
        let timer = machine.timers;
        let task = SimulatedTask {
            status: match refused {
                None => TaskStatus::Fetching,
                Some(_) => TaskStatus::Exited,
            },
            exit_reason: refused,
            ends: now + wait,
            timer,
        };
        machine.tasks.insert(key.clone(), task);
        drop(state);
        if refused.is_none() {
            self.task_moves_on_at(now + wait, name, key, timer);
        }
        true
    }

    /// Stops an attempt, at once or after it has saved. False if it is stopping already or has ended.
    fn stop_task(self: &Arc<Self>, name: &str, command: &WorkerCommand) -> bool {
        let now = self.now();
        let key = (command.task_id.clone(), command.attempt);
        let mut state = self.state();
        let save_s = state.plan(&command.task_id).map_or(0.0, |p| p.save_s);
        let SimulationState {
            machines, checker, ..
        } = &mut *state;
        let Some(machine) = machines.get_mut(name) else {
            return false;
        };
        let Some(task) = machine.tasks.get_mut(&key) else {
            return false;
        };
        let stops_already =
            task.status == TaskStatus::Flushing && command.grace_period_s != Some(0.0);
        if task.status == TaskStatus::Exited || stops_already {
            return false;
        }
        let saves = save_s > 0.0
            && command.grace_period_s.is_some_and(|time| time >= save_s)
            && task.status == TaskStatus::Running;
        machine.timers += 1;
        task.timer = machine.timers;
        if saves {
            task.status = TaskStatus::Flushing;
            task.ends = now + secs(save_s);
            let (at, timer) = (task.ends, task.timer);
            drop(state);
            self.task_moves_on_at(at, name, key, timer);
            return true;
        }
        let was_on_machine = on_machine(task);
        task.status = TaskStatus::Exited;
        task.exit_reason = Some(ExitReason::Stopped);
        if was_on_machine {
            let (id, n) = split_task_id(&command.task_id);
            checker.leaves(id, n, name, false);
        }
        true
    }

    /// Forgets an attempt that has ended.
    fn clear_task(&self, name: &str, command: &WorkerCommand) {
        let key = (command.task_id.clone(), command.attempt);
        let mut state = self.state();
        let Some(machine) = state.machines.get_mut(name) else {
            return;
        };
        let exited = |task: &SimulatedTask| task.status == TaskStatus::Exited;
        if machine.tasks.get(&key).is_some_and(exited) {
            machine.tasks.remove(&key);
        }
    }

    fn task_moves_on_at(self: &Arc<Self>, at: Time, name: &str, key: (String, u64), timer: u64) {
        let name = name.to_string();
        self.at_time(at, move |sim| sim.moves_on(&name, &key, timer));
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
            let at = t.ends;
            drop(state);
            return self.task_moves_on_at(at, name, key.clone(), timer);
        }
        let (id, n) = split_task_id(&key.0);
        match t.status {
            TaskStatus::Fetching => {
                t.status = TaskStatus::Running;
                t.ends = now + secs(plan.map_or(1.0, |p| p.run_s + f64::from(n) * p.more_s));
                m.images.insert(IMAGE.into());
                checker.starts(id, n, &place, now);
                let at = t.ends;
                drop(state);
                self.task_moves_on_at(at, name, key.clone(), timer);
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
