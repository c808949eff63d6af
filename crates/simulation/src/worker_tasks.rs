//! Execution of commands by simulated workers, and the phases of their tasks.

use crate::machine::{Machine, SimulatedTask, is_active};
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::SimulationState;
use crate::user_job::UserJob;
use crate::worker_protocol::split_task_id;
use aspenreel::workers::wire::{CommandKind, ExitReason, TaskStatus, WorkerCommand};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Name of the image of all simulated jobs.
const IMAGE: &str = "img";

/// Reason why a worker refuses to start a task, if it does.
fn refusal_reason(
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
        Some(plan) if plan.cpus > machine.free_cpus(cpus) => Some(ExitReason::Full),
        Some(_) => None,
    }
}

/// Ends an attempt.
fn exit(task: &mut SimulatedTask, reason: ExitReason) {
    task.status = TaskStatus::Exited;
    task.exit_reason = Some(reason);
}

/// Postpones the rest of an attempt's phase to the end of a freeze, and returns the new end of the phase.
fn postpone_phase(task: &mut SimulatedTask, frozen_since: Time, frozen_until: Time) -> Time {
    let remaining = task.phase_ends_at.saturating_sub(frozen_since);
    task.phase_ends_at = frozen_until + remaining;
    task.phase_ends_at
}

impl Simulation {
    /// Executes commands in their order. If a task changes, a heartbeat is scheduled to report it.
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

    /// Starts an attempt, or records its refusal. False if the worker knows the attempt already.
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
        let Some(machine) = machine.filter(|machine| !machine.tasks.contains_key(&key)) else {
            return false;
        };
        starts_by_term.push((now, command.attempt >> 32));
        let refusal = refusal_reason(machine, users, &command.task_id);
        let wait = match machine.images.contains(IMAGE) {
            true => 0,
            false => rng.u64(fetch / 2..fetch * 2),
        };
        machine.timers += 1;
        let timer = machine.timers;
        let task = SimulatedTask {
            status: match refusal {
                None => TaskStatus::Fetching,
                Some(_) => TaskStatus::Exited,
            },
            exit_reason: refusal,
            phase_ends_at: now + wait,
            timer,
        };
        machine.tasks.insert(key.clone(), task);
        drop(state);
        if refusal.is_none() {
            self.advance_task_at(now + wait, name, key, timer);
        }
        true
    }

    /// Stops an attempt, at once or after its checkpoint. False if it is stopping already or has exited.
    fn stop_task(self: &Arc<Self>, name: &str, command: &WorkerCommand) -> bool {
        let now = self.now();
        let key = (command.task_id.clone(), command.attempt);
        let mut state = self.state();
        let checkpoint_s = state.plan(&command.task_id).map_or(0.0, |p| p.checkpoint_s);
        let SimulationState {
            machines, checker, ..
        } = &mut *state;
        let Some(machine) = machines.get_mut(name) else {
            return false;
        };
        let Some(task) = machine.tasks.get_mut(&key) else {
            return false;
        };
        let is_stopping =
            task.status == TaskStatus::Flushing && command.grace_period_s != Some(0.0);
        if task.status == TaskStatus::Exited || is_stopping {
            return false;
        }
        let makes_checkpoint = checkpoint_s > 0.0
            && command
                .grace_period_s
                .is_some_and(|time| time >= checkpoint_s)
            && task.status == TaskStatus::Running;
        machine.timers += 1;
        task.timer = machine.timers;
        if makes_checkpoint {
            task.status = TaskStatus::Flushing;
            task.phase_ends_at = now + secs(checkpoint_s);
            let (at, timer) = (task.phase_ends_at, task.timer);
            drop(state);
            self.advance_task_at(at, name, key, timer);
            return true;
        }
        let was_active = is_active(task);
        exit(task, ExitReason::Stopped);
        if was_active {
            let (id, number) = split_task_id(&command.task_id);
            checker.task_stopped(id, number, name, false);
        }
        true
    }

    /// Removes an attempt that has exited.
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

    /// Schedules the end of an attempt's current phase.
    fn advance_task_at(self: &Arc<Self>, at: Time, name: &str, key: (String, u64), timer: u64) {
        let name = name.to_string();
        self.at_time(at, move |sim| sim.advance_task(&name, &key, timer));
    }

    /// Ends the current phase of an attempt: it has its image, has run to its end, or has written its checkpoint.
    /// Does nothing if `timer` is out of date.
    pub(crate) fn advance_task(self: &Arc<Self>, name: &str, key: &(String, u64), timer: u64) {
        let now = self.now();
        let mut state = self.state();
        let plan = state.plan(&key.0).cloned();
        let SimulationState {
            machines, checker, ..
        } = &mut *state;
        let Some(machine) = machines.get_mut(name).filter(|machine| machine.alive()) else {
            return;
        };
        let place = machine.place();
        let (frozen_until, frozen_since) = (machine.frozen_until, machine.frozen_since);
        let Some(task) = machine
            .tasks
            .get_mut(key)
            .filter(|task| task.timer == timer)
        else {
            return;
        };
        if frozen_until > now {
            let at = postpone_phase(task, frozen_since, frozen_until);
            drop(state);
            return self.advance_task_at(at, name, key.clone(), timer);
        }
        let (id, number) = split_task_id(&key.0);
        match task.status {
            TaskStatus::Fetching if checker.is_done(id, number) => {
                // The worker has kept the result, so the task doesn't run again.
                exit(task, ExitReason::Done);
                machine.images.insert(IMAGE.into());
                drop(state);
            }
            TaskStatus::Fetching => {
                task.status = TaskStatus::Running;
                task.phase_ends_at = now
                    + secs(plan.map_or(1.0, |p| p.run_s + f64::from(number) * p.run_increment_s));
                machine.images.insert(IMAGE.into());
                checker.task_started(id, number, &place, now);
                let at = task.phase_ends_at;
                drop(state);
                self.advance_task_at(at, name, key.clone(), timer);
            }
            TaskStatus::Running => {
                exit(task, ExitReason::Done);
                let is_done = plan.is_none_or(|p| !p.standing);
                checker.task_stopped(id, number, name, is_done);
                let id = id.to_string();
                drop(state);
                self.after_task_done(&id);
            }
            TaskStatus::Flushing => {
                exit(task, ExitReason::Stopped);
                checker.task_stopped(id, number, name, false);
                drop(state);
            }
            _ => return,
        }
        self.heartbeat_soon(name);
    }
}
