//! Delivery status of a start command in a direct call: whether the worker may still execute it, or execute it again.
//!
//! Only this module decides that question. All code that drops an attempt, clears it, starts its task on another
//! machine or retires its job relies on this status.
//!
//! # Proof
//!
//! A worker executes the start command of a direct call, regardless of its delay, if the command names the worker's
//! current agent epoch, the command's fencing token is no lower than the highest that the worker has seen, and the
//! worker doesn't already hold the attempt. The network may deliver the command late, if it got no answer, and may
//! deliver a copy of it, even if it was answered. A start command therefore remains executable for an unlimited time.
//! Neither the passing of time, nor an answer, nor a heartbeat without the attempt changes that, since heartbeats keep
//! the agent epoch alive meanwhile. Two events do:
//!
//! - The agent epoch has ended, or the machine no longer exists. All attempts of the epoch are dropped then
//!   (`SchedulerState::end_epoch`), together with the status of their starts.
//! - A report of the same agent epoch contains a fencing token above the command's
//!   ([`DeliveryStatus::settled_by`]). The worker has been refusing the command since before it made that report.
//!   If it executed the command earlier, the report, which lists all attempts, contains the attempt: an attempt
//!   isn't cleared while its start is unconfirmed.
//!
//! An attempt that the worker holds, in any state, makes it ignore further copies of the start command. `clear` ends
//! that protection. So the worker must refuse the command from the moment at which it executes the `clear`
//! ([`DeliveryStatus::may_clear`]): a reply to a heartbeat carries both the `clear` and a fencing token, which the
//! worker adopts with the reply's commands or not at all.
//!
//! Repeating a start command on purpose needs no separate status: it names the same attempt, which the worker
//! runs only once until it is cleared.
//!
//! `SchedulerState::fence_machines` causes the second event. `SchedulerState::must_withhold` causes the first
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
    /// No command was sent, or it can no longer be executed.
    Settled,
    /// The call that carries the command is in flight.
    InFlight,
    /// The call ended without an answer, and nothing proves that the command won't be executed.
    Unconfirmed(UnconfirmedStart),
    /// The call that carried the command, with this fencing token, was answered: the worker holds the attempt, or
    /// refuses the command for good. After a `clear`, a copy of the command would start the attempt again.
    Answered(FencingToken),
}

impl DeliveryStatus {
    /// This status after a call to a worker that has seen `seen_fencing_token`.
    pub(super) fn after_call(self, seen_fencing_token: FencingToken) -> DeliveryStatus {
        if self.settled_by(seen_fencing_token) {
            DeliveryStatus::Settled
        } else {
            self
        }
    }

    /// True while the command may arrive for the first time.
    pub fn may_arrive(self) -> bool {
        match self {
            DeliveryStatus::InFlight | DeliveryStatus::Unconfirmed(_) => true,
            DeliveryStatus::Settled | DeliveryStatus::Answered(_) => false,
        }
    }

    /// True while the command, or a copy of it, may start the attempt once the worker doesn't hold it.
    pub fn is_executable(self) -> bool {
        self != DeliveryStatus::Settled
    }

    /// True if a reply with this fencing token may carry a `clear` for the attempt.
    pub(super) fn may_clear(self, reply_fencing_token: FencingToken) -> bool {
        match self {
            DeliveryStatus::Settled => true,
            DeliveryStatus::InFlight | DeliveryStatus::Unconfirmed(_) => false,
            DeliveryStatus::Answered(fencing_token) => reply_fencing_token > fencing_token,
        }
    }

    /// The start command if it is unconfirmed, otherwise `None`.
    pub fn unconfirmed(self) -> Option<UnconfirmedStart> {
        match self {
            DeliveryStatus::Unconfirmed(start) => Some(start),
            DeliveryStatus::Settled | DeliveryStatus::InFlight | DeliveryStatus::Answered(_) => {
                None
            }
        }
    }

    /// True if a report with this fencing token proves that the command can no longer be executed.
    pub(super) fn settled_by(self, seen_fencing_token: FencingToken) -> bool {
        match self {
            DeliveryStatus::Settled | DeliveryStatus::InFlight => false,
            DeliveryStatus::Unconfirmed(start) => seen_fencing_token > start.fencing_token,
            DeliveryStatus::Answered(fencing_token) => seen_fencing_token > fencing_token,
        }
    }
}
