//! Replies to machines that may hold attempts of earlier terms which this leader doesn't know.
//!
//! # Proof
//!
//! A command of an earlier leader may still start a task on such a machine, at any time until the worker has received
//! a fencing token of this leader or its agent epoch has ended. Leaders of earlier terms sent their last replies before
//! this term began, so without a reply of this leader each agent epoch of that time ends within one lease of the
//! beginning of the term. A reply of this leader renews the lease, and the worker may have executed such a command
//! before the reply arrived. So the lease counts from the last reply that the worker may have received.
//!
//! A worker has one heartbeat in flight, and reports the highest fencing token that it has seen. If a newer heartbeat
//! contains an older token than this leader's, then the worker has received none of the earlier replies and never will:
//! they have renewed nothing.
//!
//! Module `prior_epochs` decides on this proof.

use crate::time::{Micros, Moment};

/// Heartbeats that the network has held back arrive together, within this time. They say nothing about the present.
const HELD_BACK_BURST: Micros = Micros::from_secs(1);

/// Replies to an unreconciled machine in this term.
#[derive(Clone, Copy, Debug, Default)]
pub struct EarlyReplies {
    /// Time of the last reply, unless the worker is known not to have received it.
    last_sent_at: Option<Moment>,
    /// True once a heartbeat that wasn't held back has shown that a reply was lost.
    any_lost: bool,
}

impl EarlyReplies {
    /// Records a reply that renews the lease if the worker receives it.
    pub(super) fn note_sent(&mut self, now: Moment) {
        self.last_sent_at = Some(now);
    }

    /// Records that a newer heartbeat shows that the worker has received none of the replies so far.
    pub(super) fn note_lost(&mut self, now: Moment) {
        let lost = self.last_sent_at.take();
        self.any_lost |= lost.is_some_and(|sent_at| now - sent_at > HELD_BACK_BURST);
    }

    /// True once a heartbeat that wasn't held back has shown that a reply was lost.
    pub(super) fn any_lost(&self) -> bool {
        self.any_lost
    }

    /// Latest time at which an agent epoch that began in an earlier term may have been renewed, if this term began at
    /// `term_started_at`.
    pub fn renewed_at(&self, term_started_at: Moment) -> Moment {
        self.last_sent_at.unwrap_or(term_started_at)
    }
}
