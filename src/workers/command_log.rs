//! What the log tells of orders: each that is sent with its path, what became of it, and why an attempt was let
//! go. One line an event, `key=value`, at `debug`: a report of an incident must tell which order was given when,
//! under which token and session, and on what evidence it was believed to be over.

use super::direct_calls::{DirectCall, DirectResult};
use super::wire::{CommandKind, WorkerCommand};
use crate::time::Moment;
use std::fmt;

/// How an order reaches a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandPath {
    /// In the answer to a heartbeat: dropped by the worker if it comes late.
    HeartbeatAnswer,
    /// Straight to the worker's address: executed however late, while token and session match.
    Direct,
}

impl fmt::Display for CommandPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandPath::HeartbeatAnswer => "heartbeat_answer",
            CommandPath::Direct => "direct",
        })
    }
}

/// For whom orders are, and what they carry beside themselves.
pub(super) struct Recipient<'a> {
    pub machine: &'a str,
    pub agent_epoch: u64,
    pub fencing_token: u64,
}

/// Orders that are about to be sent.
pub(super) fn log_commands(path: CommandPath, to: &Recipient<'_>, commands: &[WorkerCommand]) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    for command in commands {
        log::debug!(
            "order sent: path={path} machine={} session={} token={} verb={} task={} attempt={}",
            to.machine,
            to.agent_epoch,
            to.fencing_token,
            kind_name(command.kind),
            command.task_id,
            command.attempt
        );
    }
}

/// How a direct call ended.
pub(super) fn log_call_result(call: &DirectCall, result: &DirectResult, took_s: f64) {
    log::debug!(
        "direct call over: machine={} session={} token={} orders={} result={} took_s={took_s:.3}",
        call.machine,
        call.agent_epoch,
        call.fencing_token,
        call.commands.len(),
        result_name(result)
    );
}

/// An attempt was let go, so that its task may start elsewhere.
pub(super) fn log_release(
    machine: &str,
    task: u32,
    attempt: u64,
    why: &str,
    placed: Moment,
    now: Moment,
) {
    log::debug!(
        "attempt let go: machine={machine} task={task} attempt={attempt} reason={why} age_s={:.3}",
        (now - placed).as_secs_f64()
    );
}

fn kind_name(kind: CommandKind) -> &'static str {
    match kind {
        CommandKind::Run => "run",
        CommandKind::Stop => "stop",
        CommandKind::Clear => "clear",
    }
}

fn result_name(result: &DirectResult) -> &'static str {
    match result {
        DirectResult::Answered(_) => "answered",
        DirectResult::Unsent => "not_sent",
        DirectResult::Unreached => "not_reached",
        DirectResult::Unknown => "no_answer",
    }
}
