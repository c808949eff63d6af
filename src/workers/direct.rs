//! Orders that go straight to a worker's address: which may, and what their answers prove.

use super::command_log::{CommandPath, Recipient, log_call_result, log_commands};
use super::commands::MAX_COMMANDS;
use super::delivery::{DeliveryStatus, UnconfirmedStart};
use super::wire::{CommandKind, Heartbeat, TaskStatus, WorkerCommand};
use super::{Attempt, AttemptKey, DesiredState};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// Direct calls that may be under way at once, but for those that have waited so long that the
/// machine must be silent. An answer takes milliseconds; more at once only queue for the processor,
/// and everything else with them.
const CALLS_AT_ONCE: usize = 4;
const SILENT_AFTER: Micros = Micros::from_millis(200);

/// Orders for one machine that go straight to its address.
#[derive(Debug)]
pub struct DirectCall {
    pub machine: String,
    pub addr: String,
    /// The term of the leader that decided on it.
    pub term: u64,
    pub fencing_token: u64,
    pub agent_epoch: u64,
    pub commands: Vec<WorkerCommand>,
    starts: Vec<AttemptKey>,
    began: Moment,
    /// Only asks whether orders reach the machine.
    pub probe: bool,
}

impl DirectCall {
    /// Only the machine itself, in the session that it was called in, shows that the call reached it.
    fn is_answered_by(&self, report: &Heartbeat) -> bool {
        report.machine == self.machine && report.agent_epoch == self.agent_epoch
    }
}

/// How a direct call ended.
#[derive(Debug)]
pub enum DirectResult {
    /// Executed, or surely refused: the worker's report after it.
    Answered(Heartbeat),
    /// Never sent, for want of a socket here.
    Unsent,
    /// Never sent: no connection to the machine came about.
    Unreached,
    Unknown,
}

/// What one call carries.
#[derive(Default)]
struct DirectCommandBatch {
    commands: Vec<WorkerCommand>,
    starts: Vec<AttemptKey>,
}

/// What an attempt needs to be told before the next heartbeat, if anything.
fn direct_verb(
    job: &Job,
    number: u32,
    attempt: &Attempt,
    takes_starts: bool,
) -> Option<CommandKind> {
    match (attempt.status, attempt.desired) {
        (None, DesiredState::Run) => {
            let was_sent = attempt.sent.is_some() || attempt.delivery.may_arrive();
            let may_start = takes_starts && number < job.start_watermark && !job.is_closed();
            (may_start && !was_sent).then_some(CommandKind::Run)
        }
        (Some(status), DesiredState::Stop { .. }) => {
            let runs_on = status != TaskStatus::Exited && attempt.stop_sent.is_none();
            runs_on.then_some(CommandKind::Stop)
        }
        _ => None,
    }
}

impl SchedulerState {
    /// The next machine with orders that need not wait for its heartbeat.
    pub fn next_direct(&mut self, now: Moment) -> Option<DirectCall> {
        let prompt = |t: &&Moment| now - **t < SILENT_AFTER;
        if self.overload.is_overloaded()
            || self.commands.calls_in_flight.iter().filter(prompt).count() >= CALLS_AT_ONCE
        {
            return None;
        }
        while let Some(name) = self.commands.due.pop_first() {
            if let Some(call) = self.direct_call(&name, now) {
                let to = Recipient {
                    machine: &call.machine,
                    agent_epoch: call.agent_epoch,
                    fencing_token: call.fencing_token,
                };
                log_commands(CommandPath::Direct, &to, &call.commands);
                self.commands.calls_in_flight.push(call.began);
                return Some(call);
            }
        }
        None
    }

    fn direct_call(&mut self, name: &str, now: Moment) -> Option<DirectCall> {
        let report = self.config.heartbeat_interval;
        let machine = self.machines.get_mut(name)?;
        let heard = machine
            .last_report
            .is_some_and(|t| now - t < report.scaled(2.0));
        if machine.calling || machine.lost || !heard {
            return None;
        }
        if let Some(suspicion) = &mut machine.suspicion {
            if !suspicion.may_probe(now) {
                return None;
            }
            suspicion.note_probe(now);
            return self.begin_call(name, DirectCommandBatch::default(), now);
        }
        if !machine.reconciled {
            return None;
        }
        let content = self.direct_command_batch(name, now)?;
        if content.commands.is_empty() {
            return None;
        }
        self.begin_call(name, content, now)
    }

    /// A call with these orders, or a probe if there are none.
    fn begin_call(
        &mut self,
        name: &str,
        content: DirectCommandBatch,
        now: Moment,
    ) -> Option<DirectCall> {
        let (term, fencing_token) = (self.term, self.fencing_token_for(name));
        let machine = self.machines.get_mut(name)?;
        machine.calling = true;
        Some(DirectCall {
            machine: name.to_string(),
            addr: machine.addr.clone(),
            term,
            fencing_token,
            agent_epoch: machine.agent_epoch,
            probe: content.commands.is_empty(),
            commands: content.commands,
            starts: content.starts,
            began: now,
        })
    }

    /// What is to be said to a machine at once. Starts are under way from here on.
    fn direct_command_batch(&mut self, name: &str, now: Moment) -> Option<DirectCommandBatch> {
        let machine = self.machines.get_mut(name)?;
        // Stops go to whoever answers; starts only where the lease is known to last.
        let takes_starts =
            machine.recorded && machine.is_alive(self.config.heartbeat_interval, now);
        let mut content = DirectCommandBatch::default();
        for (key, attempt) in &mut machine.attempts {
            let Some(job) = self.jobs.table.get(&key.0) else {
                continue;
            };
            let Some(kind) = direct_verb(job, key.1, attempt, takes_starts) else {
                continue;
            };
            content.commands.push(attempt.command(job, *key, kind));
            if kind == CommandKind::Run {
                attempt.delivery = DeliveryStatus::InFlight;
                content.starts.push(*key);
            } else {
                attempt.stop_sent = Some(now);
            }
            if content.commands.len() >= MAX_COMMANDS {
                break;
            }
        }
        // Stops go first: they make the room that the starts need.
        content.commands.sort_by_key(|o| o.kind == CommandKind::Run);
        Some(content)
    }

    /// Starts that never left, on a machine that isn't reached: they go elsewhere at once instead
    /// of when its lease is over. A connection attempt that was given up never completes.
    fn drop_unsent(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let unsent = |a: &Attempt| {
            a.status.is_none() && a.sent.is_none() && !a.delivery.may_arrive() && a.bound
        };
        let keys: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(_, a)| unsent(a))
            .map(|(k, _)| *k)
            .collect();
        machine.rooms.set(None);
        for key in keys {
            machine.attempts.remove(&key);
            if let Some(job) = self.jobs.table.get_mut(&key.0) {
                job.unbind(key.1);
            }
            self.placement.due = true;
        }
    }

    /// Settles a direct call. It renews no lease.
    pub fn direct_done(&mut self, call: &DirectCall, result: DirectResult, now: Moment) {
        if let Some(at) = self
            .commands
            .calls_in_flight
            .iter()
            .position(|t| *t == call.began)
        {
            self.commands.calls_in_flight.swap_remove(at);
        }
        log_call_result(call, &result, (now - call.began).as_secs_f64());
        let Some(machine) = self.machines.get_mut(&call.machine) else {
            return;
        };
        machine.calling = false;
        let delivery = match result {
            DirectResult::Unknown => {
                let command = UnconfirmedStart {
                    fencing_token: call.fencing_token,
                    since: call.began,
                };
                DeliveryStatus::unanswered(command, machine.seen_fencing_token)
            }
            _ => DeliveryStatus::Settled,
        };
        for key in &call.starts {
            if let Some(attempt) = machine.attempts.get_mut(key) {
                attempt.delivery = delivery;
            }
        }
        let lost = matches!(result, DirectResult::Unknown | DirectResult::Unreached);
        if lost && !machine.lost && !call.probe {
            machine.note_loss(now);
        }
        if let DirectResult::Answered(report) = &result
            && call.is_answered_by(report)
            && report.agent_epoch == machine.agent_epoch
        {
            // It hears.
            self.placement.due |= machine.suspicion.take().is_some();
        }
        let answered = matches!(result, DirectResult::Answered(_));
        if let DirectResult::Answered(report) = result
            && report.machine == call.machine
            && report.fencing_token <= self.fencing.newest()
            && !machine.lost
            && (report.agent_epoch, report.sequence) > (machine.agent_epoch, machine.sequence)
        {
            self.take_in(&report, false, now);
            self.place_if_due(now);
        }
        self.note_delivery(call, delivery, now);
        if lost {
            self.drop_unsent(&call.machine);
        } else if answered && !call.probe {
            // What was decided meanwhile waits for the next call. Without an answer it waits for
            // a heartbeat: a machine that refuses connections would be called without end.
            self.commands.due.insert(call.machine.clone());
        }
    }

    /// Keeps count of starts without an answer, and notes where they are in doubt.
    fn note_delivery(&mut self, call: &DirectCall, delivery: DeliveryStatus, now: Moment) {
        if call.starts.is_empty() {
            return;
        }
        self.fencing.counters.calls += 1;
        if !delivery.may_arrive() {
            return;
        }
        self.fencing.counters.unconfirmed_starts += call.starts.len() as u64;
        self.fencing
            .note_unconfirmed(&call.machine, call.fencing_token);
        // A higher token is written by the loop that writes records.
        self.writes_due = true;
        for (_, task, attempt) in &call.starts {
            log::debug!(
                "start in doubt: machine={} session={} token={} task={task} attempt={attempt} waited_s={:.3}",
                call.machine,
                call.agent_epoch,
                call.fencing_token,
                (now - call.began).as_secs_f64()
            );
        }
    }
}
