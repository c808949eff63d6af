//! Which commands go directly to a worker's address, and when.

use super::command_log::{CommandPath, Recipient, log_commands};
use super::delivery_status::DeliveryStatus;
use super::heartbeat_commands::MAX_COMMANDS;
use super::wire::{CommandKind, TaskStatus, WorkerCommand};
use super::{Attempt, AttemptKey, DesiredState, DirectCall};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::time::Moment;

/// The commands of one direct call.
#[derive(Default)]
struct DirectCommandBatch {
    commands: Vec<WorkerCommand>,
    /// The attempts that the commands start.
    starts: Vec<AttemptKey>,
}

/// The command that can't wait for the machine's next heartbeat, if there is one for this attempt.
fn urgent_command(
    job: &Job,
    key: AttemptKey,
    attempt: &Attempt,
    takes_starts: bool,
) -> Option<CommandKind> {
    match (attempt.status, attempt.desired) {
        (None, DesiredState::Run) => {
            let may_start = takes_starts && key.task < job.start_watermark && !job.is_closed();
            (may_start && attempt.was_never_sent()).then_some(CommandKind::Run)
        }
        (Some(status), DesiredState::Stop { .. }) => {
            let runs_on = status != TaskStatus::Exited && attempt.stop_sent_at.is_none();
            runs_on.then_some(CommandKind::Stop)
        }
        _ => None,
    }
}

impl SchedulerState {
    /// The next direct call to be made, if one is due and another one may be in flight now. Starts in it are
    /// in flight from here on: `direct_call_finished` must follow.
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

    /// The call to this machine, if it may be called and has urgent commands or is to be probed.
    fn direct_call(&mut self, name: &str, now: Moment) -> Option<DirectCall> {
        let heartbeat_interval = self.config.heartbeat_interval;
        let machine = self.machines.get_mut(name)?;
        let was_seen_lately = machine
            .last_seen
            .is_some_and(|t| now - t < heartbeat_interval.scaled(2.0));
        if machine.call_in_flight || machine.unreachable || !was_seen_lately {
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

    /// A call with these commands, or a probe if there are none.
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

    /// The urgent commands for a machine, stops first: they free the resources that the starts need.
    fn direct_command_batch(&mut self, name: &str, now: Moment) -> Option<DirectCommandBatch> {
        let machine = self.machines.get_mut(name)?;
        // Stops may go to any worker that answers; starts only where the lease is known to last.
        let takes_starts =
            machine.registered && machine.is_alive(self.config.heartbeat_interval, now);
        let mut batch = DirectCommandBatch::default();
        for (key, attempt) in &mut machine.attempts {
            let Some(job) = self.jobs.table.get(&key.job) else {
                continue;
            };
            let Some(kind) = urgent_command(job, *key, attempt, takes_starts) else {
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
