//! Raising the counter of terms for a fencing token, without a change of leader.
//!
//! The token of a term is its number. A leader that must fence off orders of its own
//! ([`crate::workers::fencing`]) raises the counter once more and uses the new number, which nobody else ever
//! will: whoever takes the lead next raises the counter as well. The term of the leader stays what it is.
//! Earlier versions see a counter that has skipped a number.

use super::term_counter::{TERM_KEY, TermCounter};
use super::{LEADER_KEY, LeaderLease};
use crate::controller::Controller;
use crate::store::{Change, Precondition, RequestPriority, TransactionOutcome};

impl Controller {
    /// Tries once to put a higher token on record, and uses it if that is known to have worked.
    ///
    /// Without an answer the transaction may be applied yet. Nobody uses its token then: the next try
    /// guards the counter at the revision that it had before, so that only one of the two passes.
    pub(crate) fn raise_fencing_token(&self, leader_lease: &LeaderLease) {
        let raised = leader_lease.counter.raised(leader_lease.revision);
        let guards = [
            leader_lease.precondition(),
            Precondition::new(TERM_KEY, leader_lease.counter_revision),
        ];
        let changes = [Change::write(TERM_KEY, raised.to_value())];
        match self
            .store
            .transact(&guards, &changes, RequestPriority::Admitted)
        {
            Ok(TransactionOutcome::Committed { revision }) => {
                self.note_counter(leader_lease.term, raised, revision);
                let now = self.now();
                self.with_scheduler(leader_lease.term, |scheduler| {
                    scheduler.fencing_token_raised(raised.term, now)
                });
            }
            Ok(TransactionOutcome::Conflict { failed }) => {
                if failed.iter().any(|key| key == LEADER_KEY) {
                    self.lose_leadership(leader_lease.term);
                }
                self.fencing_token_not_raised(leader_lease.term);
                self.read_counter(leader_lease.term);
            }
            Err(e) => {
                log::debug!("token not raised: term={} error={e}", leader_lease.term);
                self.fencing_token_not_raised(leader_lease.term);
            }
        }
    }

    fn fencing_token_not_raised(&self, term: u64) {
        let now = self.now();
        self.with_scheduler(term, |scheduler| scheduler.fencing_token_not_raised(now));
    }

    /// Another transaction changed the counter: one of this leader's without an answer, or the change of
    /// its form.
    fn read_counter(&self, term: u64) {
        let Ok(Some(row)) = self.store.get(TERM_KEY, RequestPriority::Normal) else {
            return;
        };
        match TermCounter::read(Some(&row)) {
            Ok(counter) => self.note_counter(term, counter, row.revision),
            Err(e) => log::error!("counter of terms: {e}"),
        }
    }

    fn note_counter(&self, term: u64, counter: TermCounter, revision: u64) {
        let mut state = self.state();
        if let Some(leader_lease) = state
            .leader_lease
            .as_mut()
            .filter(|leader_lease| leader_lease.term == term)
        {
            leader_lease.counter = counter;
            leader_lease.counter_revision = revision;
        }
    }
}
