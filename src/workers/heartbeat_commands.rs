//! Commands in the reply to a heartbeat, derived from the difference between the desired state of a machine and
//! the state that its worker reports.

use super::command_log::log_blocked_clear;
use super::wire::{CommandKind, TaskStatus, WorkerCommand};
use super::{
    Attempt, AttemptKey, DeliveryStatus, DesiredState, FencingToken, HeartbeatPosition, Machine,
    Orphan,
};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// Maximum number of commands in one message, which must stay below 64 KiB.
pub(super) const MAX_COMMANDS: usize = 300;

/// Additional time beyond the grace period after which a task that is still saving its checkpoint is killed.
const GRACE_PERIOD_MARGIN: Micros = Micros::from_secs(5);

/// Conditions that are the same for all attempts of a machine while one reply is built.
struct ReplyContext {
    /// Position of the heartbeat that is being answered, or of a newer answer to a direct call.
    position: HeartbeatPosition,
    /// Fencing token that the reply carries.
    fencing_token: FencingToken,
    /// Whether exited attempts may be cleared.
    may_release: bool,
    /// Whether the machine is quarantined: replies may not reach it, so they carry no start commands.
    is_quarantined: bool,
    /// Whether the machine is stored in the registry: only then may tasks start on it.
    is_registered: bool,
    now: Moment,
}

/// Action on one attempt while a reply is built.
enum NextStep {
    /// The reply carries no command for the attempt.
    Nothing,
    /// Send this command.
    Send(WorkerCommand),
    /// Send this start command, after all other commands and if the reply has room for it.
    Start(WorkerCommand),
    /// Remove the attempt: its start command was never sent, and it should no longer run on this machine.
    Drop,
    /// Clear the attempt later, in a reply with a fencing token above this one.
    AwaitTokenAbove(FencingToken),
}

impl SchedulerState {
    /// Builds the commands in the reply to a heartbeat of this machine. Start commands come last.
    pub(super) fn heartbeat_commands(&mut self, name: &str, now: Moment) -> Vec<WorkerCommand> {
        let may_release = self.permissions().release;
        let fencing_token = self.fencing_token_for(name);
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        machine.free_resources.set(None);
        let context = ReplyContext::new(machine, fencing_token, may_release, now);
        let mut commands = orphan_commands(&machine.orphans, may_release);
        let mut starts = Vec::new();
        let mut dropped = Vec::new();
        for (key, attempt) in &mut machine.attempts {
            let Some(job) = self.jobs.table.get(&key.job) else {
                continue;
            };
            match context.next_step(job, *key, attempt) {
                NextStep::Nothing => {}
                NextStep::Send(command) => commands.push(command),
                NextStep::Start(command) => starts.push((*key, command)),
                NextStep::Drop => dropped.push(*key),
                NextStep::AwaitTokenAbove(token) => {
                    log_blocked_clear(name, *key, token);
                    self.fencing.note_blocked_clear(name, token);
                }
            }
        }
        if !dropped.is_empty() {
            self.drop_never_sent(name, dropped);
        }
        commands.truncate(MAX_COMMANDS);
        starts.truncate(MAX_COMMANDS - commands.len());
        for (key, command) in starts {
            self.note_start_sent(name, key, context.position);
            commands.push(command);
        }
        commands
    }

    /// Records that the reply to the heartbeat at this position carries the attempt's start command.
    fn note_start_sent(&mut self, name: &str, key: AttemptKey, position: HeartbeatPosition) {
        let machine = self.machines.get_mut(name);
        if let Some(attempt) = machine.and_then(|machine| machine.attempts.get_mut(&key)) {
            attempt.start_sent_in_reply_to = Some(position);
        }
    }

    /// Removes attempts whose start commands were never sent, so that their tasks may start on other machines.
    pub(super) fn drop_never_sent(&mut self, name: &str, keys: Vec<AttemptKey>) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        for key in keys {
            let dropped = machine.attempts.remove(&key);
            if let Some(job) = self.jobs.table.get_mut(&key.job) {
                job.count_running(dropped.is_some_and(|attempt| attempt.is_running()), false);
                job.unbind(key.task);
            }
            self.placement.due = true;
        }
    }
}

/// Commands for attempts whose job has no record: they are stopped without a grace period, and cleared once
/// they have exited.
fn orphan_commands(orphans: &[Orphan], may_release: bool) -> Vec<WorkerCommand> {
    let mut commands = Vec::new();
    for orphan in orphans {
        if orphan.exited && !may_release {
            continue;
        }
        commands.push(WorkerCommand {
            kind: if orphan.exited {
                CommandKind::Clear
            } else {
                CommandKind::Stop
            },
            task_id: orphan.task_id.clone(),
            attempt: orphan.attempt,
            grace_period_s: (!orphan.exited).then_some(0.0),
        });
    }
    commands
}

impl ReplyContext {
    fn new(
        machine: &Machine,
        fencing_token: FencingToken,
        may_release: bool,
        now: Moment,
    ) -> ReplyContext {
        ReplyContext {
            position: machine.reconciled_position,
            fencing_token,
            may_release,
            is_quarantined: machine.quarantine.is_some(),
            is_registered: machine.registered,
            now,
        }
    }

    fn next_step(&self, job: &Job, key: AttemptKey, attempt: &mut Attempt) -> NextStep {
        match (attempt.status, attempt.desired) {
            (Some(TaskStatus::Exited), _) => self.clear(job, key, attempt),
            (Some(TaskStatus::Flushing), DesiredState::Stop { grace_period }) => {
                self.kill_overdue(job, key, attempt, grace_period)
            }
            (Some(_), DesiredState::Stop { .. }) => {
                attempt.stop_sent_at.get_or_insert(self.now);
                NextStep::Send(attempt.command(&job.spec.id, key, CommandKind::Stop))
            }
            (None, DesiredState::Run) => self.start(job, key, attempt),
            (None, DesiredState::Stop { .. }) if attempt.was_never_sent() => NextStep::Drop,
            _ => NextStep::Nothing,
        }
    }

    /// Clears an exited attempt once its outcome is stored: until then the worker holds the second copy of the
    /// outcome. An attempt isn't cleared while a start command for it may still arrive, or arrive once more, since that
    /// command would start it again.
    fn clear(&self, job: &Job, key: AttemptKey, attempt: &Attempt) -> NextStep {
        if attempt.delivery.may_arrive() || !self.may_release {
            return NextStep::Nothing;
        }
        let is_recorded = !attempt.done || job.recorded.contains(key.task);
        if !is_recorded && job.outcome.is_none() {
            return NextStep::Nothing;
        }
        if let DeliveryStatus::Answered(start_token) = attempt.delivery
            && !attempt.delivery.may_clear(self.fencing_token)
            && !job.is_restart_harmless(key.task)
        {
            return NextStep::AwaitTokenAbove(start_token);
        }
        NextStep::Send(attempt.command(&job.spec.id, key, CommandKind::Clear))
    }

    /// Kills an attempt that is still saving its checkpoint after its grace period and a margin, or at once if the
    /// grace period is zero. Until then the reply carries no command for it.
    fn kill_overdue(
        &self,
        job: &Job,
        key: AttemptKey,
        attempt: &Attempt,
        grace_period: Micros,
    ) -> NextStep {
        let is_overdue = attempt
            .stop_sent_at
            .is_some_and(|sent_at| self.now - sent_at > grace_period + GRACE_PERIOD_MARGIN);
        if grace_period != Micros::ZERO && !is_overdue {
            return NextStep::Nothing;
        }
        let stop = attempt.command(&job.spec.id, key, CommandKind::Stop);
        NextStep::Send(WorkerCommand {
            grace_period_s: Some(0.0),
            ..stop
        })
    }

    /// Starts an attempt that no heartbeat has reported yet. The start command is repeated if it was sent before.
    fn start(&self, job: &Job, key: AttemptKey, attempt: &mut Attempt) -> NextStep {
        if job.is_closed() {
            if attempt.was_never_sent() {
                return NextStep::Drop;
            }
            attempt.desired = DesiredState::KILL;
            return NextStep::Nothing;
        }
        if self.is_quarantined && attempt.was_never_sent() {
            return NextStep::Drop;
        }
        if key.task >= job.start_watermark || !self.is_registered {
            return NextStep::Nothing;
        }
        NextStep::Start(attempt.command(&job.spec.id, key, CommandKind::Run))
    }
}
