//! Call that sends commands directly to a worker without waiting for its next heartbeat.

use super::wire::{Heartbeat, WorkerCommand};
use super::{AgentEpoch, AttemptKey, FencingToken};
use crate::time::Moment;

/// Call with commands for one machine, sent to the worker's address.
#[derive(Debug)]
pub struct DirectCall {
    /// Name of the machine.
    pub machine: String,
    /// Address of the worker, as the worker reported it.
    pub addr: String,
    /// Term of the leader that created the call.
    pub term: u64,
    /// Fencing token of the commands. The worker refuses them if it has seen a higher one.
    pub fencing_token: FencingToken,
    /// Agent epoch that the commands are for. The worker refuses them in any other epoch.
    pub agent_epoch: AgentEpoch,
    /// Commands to the worker, in the order of execution. Empty for a probe.
    pub commands: Vec<WorkerCommand>,
    /// Attempts that the commands start.
    pub(super) starts: Vec<AttemptKey>,
    /// Start time of the call.
    pub(super) began_at: Moment,
    /// True if the call carries no commands and only tests whether calls reach the machine.
    pub probe: bool,
}

impl DirectCall {
    /// True if the report proves that the call reached the machine: it comes from the addressed machine in the
    /// addressed agent epoch.
    pub(super) fn is_answered_by(&self, report: &Heartbeat) -> bool {
        report.machine == self.machine && report.agent_epoch == self.agent_epoch
    }
}

/// Result of a direct call.
#[derive(Debug)]
pub enum DirectResult {
    /// The worker executed or refused the commands and answered with its report after that.
    Answered(Heartbeat),
    /// Nothing was sent, because this controller had no socket available or the worker's address is invalid.
    NotSent,
    /// Nothing was sent, because no connection to the machine could be established.
    Unreachable,
    /// The commands were sent but no valid answer arrived: the worker may still execute them.
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

    /// True if the machine wasn't reached, or possibly wasn't.
    pub(super) fn is_undelivered(&self) -> bool {
        matches!(
            self,
            DirectResult::OutcomeUnknown | DirectResult::Unreachable
        )
    }
}
