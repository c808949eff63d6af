//! What the log tells of orders: each that is sent with its path, what became of it, and why an attempt was let
//! go. One line an event, `key=value`, at `debug`: a report of an incident must tell which order was given when,
//! under which token and session, and on what evidence it was believed to be over.

use super::direct::{DirectCall, DirectResult};
use super::wire::{CommandKind, WorkerCommand};
use crate::time::Moment;
use std::fmt;

/// How an order reaches a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderPath {
    /// In the answer to a heartbeat: dropped by the worker if it comes late.
    HeartbeatAnswer,
    /// Straight to the worker's address: executed however late, while token and session match.
    Direct,
}

impl fmt::Display for OrderPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OrderPath::HeartbeatAnswer => "heartbeat_answer",
            OrderPath::Direct => "direct",
        })
    }
}

/// For whom orders are, and what they carry beside themselves.
pub(super) struct Recipient<'a> {
    pub machine: &'a str,
    pub session: u64,
    pub token: u64,
}

/// Orders that are about to be sent.
pub(super) fn note_orders(path: OrderPath, to: &Recipient<'_>, orders: &[WorkerCommand]) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    for order in orders {
        log::debug!(
            "order sent: path={path} machine={} session={} token={} verb={} task={} attempt={}",
            to.machine,
            to.session,
            to.token,
            verb_name(order.verb),
            order.piece,
            order.attempt
        );
    }
}

/// How a direct call ended.
pub(super) fn note_result(call: &DirectCall, result: &DirectResult, took_s: f64) {
    log::debug!(
        "direct call over: machine={} session={} token={} orders={} result={} took_s={took_s:.3}",
        call.machine,
        call.session,
        call.token,
        call.orders.len(),
        result_name(result)
    );
}

/// An attempt was let go, so that its task may start elsewhere.
pub(super) fn note_release(
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

fn verb_name(verb: CommandKind) -> &'static str {
    match verb {
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
