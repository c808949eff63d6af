//! A call that brings commands directly to a worker, without waiting for its next heartbeat.

use super::wire::{Heartbeat, WorkerCommand};
use super::{AgentEpoch, AttemptKey, FencingToken};
use crate::time::Moment;

/// Commands for one machine that go directly to its worker's address.
#[derive(Debug)]
pub struct DirectCall {
    /// The machine's name.
    pub machine: String,
    /// The worker's address, as the worker reported it.
    pub addr: String,
    /// The term of the leader that decided on the call.
    pub term: u64,
    /// The worker refuses the commands if it has seen a higher token than this.
    pub fencing_token: FencingToken,
    /// The worker refuses the commands in any other agent epoch.
    pub agent_epoch: AgentEpoch,
    /// What the worker is to do, in this order. Empty for a probe.
    pub commands: Vec<WorkerCommand>,
    /// The attempts that the commands start.
    pub(super) starts: Vec<AttemptKey>,
    /// When the call began.
    pub(super) began_at: Moment,
    /// True if the call only finds out whether commands reach the machine.
    pub probe: bool,
}

impl DirectCall {
    /// True if the report proves that the call reached the machine: it is of the machine itself, in the
    /// agent epoch that was called.
    pub(super) fn is_answered_by(&self, report: &Heartbeat) -> bool {
        report.machine == self.machine && report.agent_epoch == self.agent_epoch
    }
}

/// How a direct call ended.
#[derive(Debug)]
pub enum DirectResult {
    /// The worker executed or refused the commands: its report after that.
    Answered(Heartbeat),
    /// Nothing was sent: this controller had no socket for it.
    NotSent,
    /// Nothing was sent: no connection to the machine came about.
    Unreachable,
    /// The commands were sent and no answer came: the worker may yet execute them.
    OutcomeUnknown,
}

impl DirectResult {
    /// The value of the log field `result`.
    pub(super) fn name(&self) -> &'static str {
        match self {
            DirectResult::Answered(_) => "answered",
            DirectResult::NotSent => "not_sent",
            DirectResult::Unreachable => "not_reached",
            DirectResult::OutcomeUnknown => "no_answer",
        }
    }

    /// True if the machine can't be reached, or may not have been.
    pub(super) fn is_undelivered(&self) -> bool {
        matches!(
            self,
            DirectResult::OutcomeUnknown | DirectResult::Unreachable
        )
    }
}
