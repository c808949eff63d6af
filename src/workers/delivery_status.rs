//! Whether a start command that went directly to a worker may still be executed.
//!
//! This is the one place that decides it. Every path that forgets an attempt, clears it, starts its task
//! elsewhere or retires its job asks here.
//!
//! # Proof
//!
//! A worker executes a start command of a direct call, however late it arrives, if the command's agent epoch
//! is its own, the command's fencing token is no lower than the highest it has seen, and it doesn't hold the
//! attempt already. So a start command without an answer stays executable without a limit in time: neither
//! time, nor a later answer, nor a heartbeat without the attempt ends that, since heartbeats renew the agent
//! epoch meanwhile. Two events do:
//!
//! - The agent epoch is over, or the machine is gone. All attempts of the epoch are dropped then
//!   (`SchedulerState::end_epoch`), with their unconfirmed starts.
//! - A report of the same agent epoch shows a fencing token above the command's
//!   ([`DeliveryStatus::settled_by`]). The worker refuses the command from before that report on. If it had
//!   executed the command earlier, the report, which lists all attempts, shows the attempt: an attempt isn't
//!   cleared while its start is unconfirmed.
//!
//! A start command that is sent again on purpose needs no status of its own: it names the same attempt, which
//! the worker runs once until it is cleared.
//!
//! `SchedulerState::fence_unconfirmed` brings about the second event, and `SchedulerState::must_withhold` the first, in time
//! for cancelled jobs.

use super::FencingToken;
use crate::time::Moment;

/// A start command that may still be executed: no answer came to the call that carried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedStart {
    /// The fencing token that the command carries.
    pub fencing_token: FencingToken,
    /// When the call began.
    pub since: Moment,
}

/// What became of a start command that went directly to the worker's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// None is in flight: it was answered, was never sent, or can't be executed any more.
    Settled,
    /// The call that carries it is in flight.
    InFlight,
    /// The call was given up, and nothing proves that the command won't be executed.
    Unconfirmed(UnconfirmedStart),
}

impl DeliveryStatus {
    /// The status after a call without an answer, for a worker that has seen this fencing token.
    pub(super) fn unanswered(
        start: UnconfirmedStart,
        seen_fencing_token: FencingToken,
    ) -> DeliveryStatus {
        let status = DeliveryStatus::Unconfirmed(start);
        if status.settled_by(seen_fencing_token) {
            DeliveryStatus::Settled
        } else {
            status
        }
    }

    /// True while the command may arrive and be executed.
    pub fn may_arrive(self) -> bool {
        self != DeliveryStatus::Settled
    }

    /// The start command, if it is unconfirmed.
    pub fn unconfirmed(self) -> Option<UnconfirmedStart> {
        match self {
            DeliveryStatus::Unconfirmed(start) => Some(start),
            DeliveryStatus::Settled | DeliveryStatus::InFlight => None,
        }
    }

    /// True if a report that shows this fencing token proves that the unconfirmed command won't be executed
    /// any more.
    pub(super) fn settled_by(self, seen_fencing_token: FencingToken) -> bool {
        self.unconfirmed()
            .is_some_and(|start| seen_fencing_token > start.fencing_token)
    }
}
