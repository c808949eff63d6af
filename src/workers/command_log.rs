//! Log lines about commands: each command sent and its path, the result of each direct call, and the reason for
//! each release of an attempt.
//!
//! Each line is one event at level `debug`. After an incident the lines show when a command was sent, with which
//! fencing token and agent epoch, and on what evidence the leader considered it finished.

use super::wire::{CommandKind, WorkerCommand};
use super::{AgentEpoch, AttemptKey, DirectCall, DirectResult, FencingToken};
use crate::time::Micros;
use std::fmt;

/// Path on which a command reaches a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandPath {
    /// The reply to a heartbeat. The worker drops the reply if it is late.
    HeartbeatReply,
    /// A direct call. The worker executes the command regardless of its delay if fencing token and agent epoch
    /// are valid.
    Direct,
}

impl fmt::Display for CommandPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandPath::HeartbeatReply => "heartbeat_reply",
            CommandPath::Direct => "direct",
        })
    }
}

/// Reason for releasing an attempt, after which its task may start on another machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseReason {
    /// The reply that carried the start command was lost.
    StartLost,
    /// A report doesn't list the attempt.
    NotInReport,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReleaseReason::StartLost => "start_lost_with_reply",
            ReleaseReason::NotInReport => "not_in_report",
        })
    }
}

/// Addressee of a message with commands, and the fencing token that the message carries.
pub(super) struct Recipient<'a> {
    pub machine: &'a str,
    pub agent_epoch: AgentEpoch,
    pub fencing_token: FencingToken,
}

/// Logs each of the commands that are about to be sent.
pub(super) fn log_commands(
    path: CommandPath,
    recipient: &Recipient<'_>,
    commands: &[WorkerCommand],
) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    for command in commands {
        log::debug!(
            path:% = path,
            machine = recipient.machine,
            agent_epoch = recipient.agent_epoch,
            fencing_token = recipient.fencing_token,
            kind = kind_name(command.kind),
            task = command.task_id,
            attempt = command.attempt;
            "command sent"
        );
    }
}

/// Logs the result and the duration of a direct call.
pub(super) fn log_call_result(call: &DirectCall, result: &DirectResult, took: Micros) {
    log::debug!(
        machine = call.machine,
        agent_epoch = call.agent_epoch,
        fencing_token = call.fencing_token,
        commands = call.commands.len(),
        result = result.name(),
        took_s:% = Seconds(took);
        "direct call finished"
    );
}

/// Logs that the direct call with the start command of this attempt got no answer.
pub(super) fn log_unconfirmed_start(call: &DirectCall, key: AttemptKey, waited: Micros) {
    log::debug!(
        machine = call.machine,
        agent_epoch = call.agent_epoch,
        fencing_token = call.fencing_token,
        task = key.task,
        attempt = key.attempt,
        waited_s:% = Seconds(waited);
        "start command unconfirmed"
    );
}

/// Logs that an exited attempt can't be cleared yet, because its start command with this token is still executable.
pub(super) fn log_blocked_clear(machine: &str, key: AttemptKey, fencing_token: FencingToken) {
    log::debug!(
        machine = machine,
        task = key.task,
        attempt = key.attempt,
        fencing_token = fencing_token;
        "clear waits for a higher fencing token"
    );
}

/// Logs the release of an attempt. `age` is the time since its placement.
pub(super) fn log_release(machine: &str, key: AttemptKey, reason: ReleaseReason, age: Micros) {
    log::debug!(
        machine = machine,
        task = key.task,
        attempt = key.attempt,
        reason:% = reason,
        age_s:% = Seconds(age);
        "attempt released"
    );
}

/// Displays a duration in seconds with millisecond precision.
pub(super) struct Seconds(pub Micros);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0.as_secs_f64())
    }
}

fn kind_name(kind: CommandKind) -> &'static str {
    match kind {
        CommandKind::Run => "run",
        CommandKind::Stop => "stop",
        CommandKind::Clear => "clear",
    }
}
