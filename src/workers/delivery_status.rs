//! Delivery status of a start command in a direct call: whether the worker may still execute it.
//!
//! Only this module decides that question. All code that drops an attempt, clears it, starts its task on another
//! machine or retires its job relies on this status.
//!
//! # Proof
//!
//! A worker executes the start command of a direct call, regardless of its delay, if the command names the worker's
//! current agent epoch, the command's fencing token is no lower than the highest that the worker has seen, and the
//! worker doesn't already hold the attempt. A start command without an answer therefore remains executable for
//! an unlimited time. Neither the passing of time, nor a later answer, nor a heartbeat without the attempt changes
//! that, since heartbeats keep the agent epoch alive meanwhile. Two events do:
//!
//! - The agent epoch has ended, or the machine no longer exists. All attempts of the epoch are dropped then
//!   (`SchedulerState::end_epoch`), together with their unconfirmed starts.
//! - A report of the same agent epoch contains a fencing token above the command's
//!   ([`DeliveryStatus::settled_by`]). The worker has been refusing the command since before it made that report.
//!   If it executed the command earlier, the report, which lists all attempts, contains the attempt: an attempt
//!   isn't cleared while its start is unconfirmed.
//!
//! Repeating a start command on purpose needs no separate status: it names the same attempt, which the worker
//! runs only once until it is cleared.
//!
//! `SchedulerState::fence_unconfirmed` causes the second event. `SchedulerState::must_withhold` causes the first
//! event early enough for cancelled jobs.

use super::FencingToken;
use crate::time::Moment;

/// A start command that may still be executed because the call that carried it got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedStart {
    /// Fencing token of the command.
    pub fencing_token: FencingToken,
    /// Start time of the call.
    pub since: Moment,
}

/// Delivery status of an attempt's start command in a direct call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// No command is in flight: it was answered, was never sent, or can no longer be executed.
    Settled,
    /// The call that carries the command is in flight.
    InFlight,
    /// The call ended without an answer, and nothing proves that the command won't be executed.
    Unconfirmed(UnconfirmedStart),
}

impl DeliveryStatus {
    /// Status after a call without an answer to a worker that has seen `seen_fencing_token`.
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

    /// The start command if it is unconfirmed, otherwise `None`.
    pub fn unconfirmed(self) -> Option<UnconfirmedStart> {
        match self {
            DeliveryStatus::Unconfirmed(start) => Some(start),
            DeliveryStatus::Settled | DeliveryStatus::InFlight => None,
        }
    }

    /// True if a report with this fencing token proves that the unconfirmed command can no longer be executed.
    pub(super) fn settled_by(self, seen_fencing_token: FencingToken) -> bool {
        self.unconfirmed()
            .is_some_and(|start| seen_fencing_token > start.fencing_token)
    }
}
