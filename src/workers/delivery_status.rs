//! Whether a start that went straight to a worker's address may still be executed.
//!
//! This is the one place that decides it; every path that forgets an attempt, clears it, frees its task
//! or retires its job asks here.
//!
//! # Proof
//!
//! A worker executes a direct start, however late it arrives, if the order's session is its own, the
//! order's token is no lower than the highest it has seen, and it doesn't hold the attempt already. So a
//! start without an answer is a permission without an end of its own: neither time, nor a later answer, nor
//! a report without the attempt takes it away, since heartbeats renew the session meanwhile. What does:
//!
//! - The session is over, or the machine is gone. All attempts of the session are dropped then
//!   (`SchedulerState::end_epoch`), so that none is left in doubt.
//! - A report of the same session tells a token above the order's ([`DeliveryStatus::settled_by`]). The
//!   worker refuses the order from before that report on. If it had executed it earlier, the report, which
//!   is taken in as a whole, shows the attempt: it isn't cleared while the start is in doubt.
//!
//! Sent again on purpose, a start is no doubt of its own: it names the same attempt, which the worker runs
//! once until it is cleared.
//!
//! `SchedulerState::fence_unconfirmed` makes one of the two come true, in time for cancelled jobs.

use crate::time::Moment;

/// An order that may still be executed: no answer came to the call that carried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedStart {
    /// The token that the order carries.
    pub fencing_token: u64,
    /// When the call began.
    pub since: Moment,
}

/// What became of a start that went straight to the worker's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// None is under way: it was answered, never sent, or can't be executed any more.
    Settled,
    /// The call that carries it is under way.
    InFlight,
    /// The call was given up, and nothing proves that the order won't be executed.
    Unconfirmed(UnconfirmedStart),
}

impl DeliveryStatus {
    /// True while the order may arrive and be executed.
    pub fn may_arrive(self) -> bool {
        self != DeliveryStatus::Settled
    }

    /// The order, if it is in doubt.
    pub fn unconfirmed(self) -> Option<UnconfirmedStart> {
        match self {
            DeliveryStatus::Unconfirmed(command) => Some(command),
            DeliveryStatus::Settled | DeliveryStatus::InFlight => None,
        }
    }

    /// A start whose call got no answer, on a worker whose newest report told that token.
    pub fn unanswered(command: UnconfirmedStart, seen_fencing_token: u64) -> DeliveryStatus {
        DeliveryStatus::Unconfirmed(command).after_token(seen_fencing_token)
    }

    /// True if a report that tells this token proves that the order in doubt won't be executed any more.
    pub fn settled_by(self, seen_fencing_token: u64) -> bool {
        self.unconfirmed()
            .is_some_and(|command| seen_fencing_token > command.fencing_token)
    }

    fn after_token(self, seen_fencing_token: u64) -> DeliveryStatus {
        if self.settled_by(seen_fencing_token) {
            DeliveryStatus::Settled
        } else {
            self
        }
    }
}
