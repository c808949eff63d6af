//! Log lines on commands: each that is sent and its path, what became of it, and why an attempt was released.
//!
//! One event a line, at level `debug`. After an incident they tell which command was sent when, with which
//! fencing token and agent epoch, and on what evidence it was believed to be over.

use super::wire::{CommandKind, WorkerCommand};
use super::{AgentEpoch, AttemptKey, DirectCall, DirectResult, FencingToken};
use crate::time::Micros;
use std::fmt;

/// How a command reaches a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandPath {
    /// In the reply to a heartbeat. The worker drops it if it is late.
    HeartbeatReply,
    /// In a direct call. The worker executes it however late it is, if fencing token and agent epoch match.
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

/// Why an attempt was released, so that its task may start elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseReason {
    /// The reply that carried its start command was lost.
    StartLost,
    /// A report doesn't list it.
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

/// Whom commands are for, and what they carry besides themselves.
pub(super) struct Recipient<'a> {
    pub machine: &'a str,
    pub agent_epoch: AgentEpoch,
    pub fencing_token: FencingToken,
}

/// Logs commands that are about to be sent.
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

/// Logs how a direct call ended.
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

/// Logs that no answer came to the call that carried a start command.
pub(super) fn log_unconfirmed_start(call: &DirectCall, key: AttemptKey, waited: Micros) {
    log::debug!(
        machine = call.machine,
        agent_epoch = call.agent_epoch,
        fencing_token = call.fencing_token,
        task = key.task,
        attempt = key.attempt,
        waited_s:% = Seconds(waited);
        "start unconfirmed"
    );
}

/// Logs that an attempt was released. `age` is the time since it was placed.
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

/// Displays a time in seconds, to the millisecond.
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
