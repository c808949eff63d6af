//! Selection of the commands that are sent in direct calls, and of the time of each call.

use super::command_log::{CommandPath, Recipient, log_commands};
use super::delivery_status::DeliveryStatus;
use super::heartbeat_commands::MAX_COMMANDS;
use super::wire::{CommandKind, TaskStatus, WorkerCommand};
use super::{Attempt, AttemptKey, DesiredState, DirectCall};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::time::Moment;

/// Commands of one direct call.
#[derive(Default)]
struct DirectCommandBatch {
    commands: Vec<WorkerCommand>,
    /// Attempts that the commands start.
    starts: Vec<AttemptKey>,
}

/// Returns the command for this attempt that should be sent before the machine's next heartbeat, if any.
fn urgent_command(
    job: &Job,
    key: AttemptKey,
    attempt: &Attempt,
    may_send_starts: bool,
) -> Option<CommandKind> {
    match (attempt.status, attempt.desired) {
        (None, DesiredState::Run) => {
            let may_start = may_send_starts && key.task < job.start_watermark && !job.is_closed();
            (may_start && attempt.was_never_sent()).then_some(CommandKind::Run)
        }
        (Some(status), DesiredState::Stop { .. }) => {
            let needs_stop = status != TaskStatus::Exited && attempt.stop_sent_at.is_none();
            needs_stop.then_some(CommandKind::Stop)
        }
        _ => None,
    }
}

impl SchedulerState {
    /// Returns the next direct call, if one is due and the limit on calls in flight allows it. Its start commands
    /// count as in flight from now on, so the caller must pass the result to `direct_call_finished`.
    pub fn next_direct_call(&mut self, now: Moment) -> Option<DirectCall> {
        if self.overload.is_overloaded() || !self.commands.may_call(now) {
            return None;
        }
        while let Some(name) = self.commands.due.pop_first() {
            if let Some(call) = self.direct_call(&name, now) {
                let recipient = Recipient {
                    machine: &call.machine,
                    agent_epoch: call.agent_epoch,
                    fencing_token: call.fencing_token,
                };
                log_commands(CommandPath::Direct, &recipient, &call.commands);
                self.commands.calls_in_flight.push(call.began_at);
                return Some(call);
            }
        }
        None
    }

    /// Creates the call to this machine, if the machine may be called and has urgent commands or a due probe.
    fn direct_call(&mut self, name: &str, now: Moment) -> Option<DirectCall> {
        let heartbeat_interval = self.config.heartbeat_interval;
        let machine = self.machines.get_mut(name)?;
        let was_seen_recently = machine
            .last_seen
            .is_some_and(|t| now - t < heartbeat_interval.scaled(2.0));
        if machine.call_in_flight || machine.unreachable || !was_seen_recently {
            return None;
        }
        if let Some(quarantine) = &mut machine.quarantine {
            if !quarantine.is_probe_due(now) {
                return None;
            }
            quarantine.note_probe(now);
            return self.begin_call(name, DirectCommandBatch::default(), now);
        }
        if !machine.reconciled {
            return None;
        }
        let batch = self.direct_command_batch(name, now)?;
        if batch.commands.is_empty() {
            return None;
        }
        self.begin_call(name, batch, now)
    }

    /// Creates a call with these commands, or a probe if there are none.
    fn begin_call(
        &mut self,
        name: &str,
        batch: DirectCommandBatch,
        now: Moment,
    ) -> Option<DirectCall> {
        let (term, fencing_token) = (self.term, self.fencing_token_for(name));
        let machine = self.machines.get_mut(name)?;
        machine.call_in_flight = true;
        Some(DirectCall {
            machine: name.to_string(),
            addr: machine.addr.clone(),
            term,
            fencing_token,
            agent_epoch: machine.agent_epoch(),
            probe: batch.commands.is_empty(),
            commands: batch.commands,
            starts: batch.starts,
            began_at: now,
        })
    }

    /// Collects the urgent commands for a machine. Stop commands come first, because they free the resources that
    /// the start commands need.
    fn direct_command_batch(&mut self, name: &str, now: Moment) -> Option<DirectCommandBatch> {
        let machine = self.machines.get_mut(name)?;
        // Stop commands may be sent to any worker that answers; start commands only if recent heartbeats show that
        // the machine's lease is being renewed.
        let may_send_starts =
            machine.registered && machine.is_alive(self.config.heartbeat_interval, now);
        let mut batch = DirectCommandBatch::default();
        for (key, attempt) in &mut machine.attempts {
            let Some(job) = self.jobs.table.get(&key.job) else {
                continue;
            };
            let Some(kind) = urgent_command(job, *key, attempt, may_send_starts) else {
                continue;
            };
            batch
                .commands
                .push(attempt.command(&job.spec.id, *key, kind));
            if kind == CommandKind::Run {
                attempt.delivery = DeliveryStatus::InFlight;
                batch.starts.push(*key);
            } else {
                attempt.stop_sent_at = Some(now);
            }
            if batch.commands.len() >= MAX_COMMANDS {
                break;
            }
        }
        batch
            .commands
            .sort_by_key(|command| command.kind == CommandKind::Run);
        Some(batch)
    }
}
