//! Raising the stored counter of terms for a fencing token, without a change of leader.
//!
//! The first fencing token of a term is the term itself. A leader that has to revoke its own commands
//! ([`crate::workers::fencing`]) raises the counter once more and uses the new number, which nobody else ever
//! does: the next leader raises the counter as well. The term of the leader stays what it is. Earlier versions see a
//! counter that has skipped a number.

use super::leader_lease::LeaderLease;
use super::leader_record::LEADER_KEY;
use super::term_counter::{TERM_KEY, TermCounter};
use crate::controller::Controller;
use crate::store::{Change, Precondition, StorePriority, TransactionOutcome};
use crate::workers::FencingToken;

impl Controller {
    /// Tries once to store a higher fencing token, and uses it if it is surely stored.
    ///
    /// A transaction without an answer may still be executed. Nobody uses its token then: the precondition of the
    /// next try is the revision that the counter had before, so that only one of the two is executed.
    pub(crate) fn raise_fencing_token(&self, leader_lease: &LeaderLease) {
        let term = leader_lease.term;
        let raised = leader_lease.term_counter.raised(leader_lease.revision);
        let preconditions = [
            leader_lease.precondition(),
            Precondition::new(TERM_KEY, leader_lease.term_counter_revision),
        ];
        let changes = [Change::write(TERM_KEY, raised.to_value())];
        let result = self
            .store
            .transact(&preconditions, &changes, StorePriority::Admitted);
        match result {
            Ok(TransactionOutcome::Committed { revision }) => {
                self.note_term_counter(term, raised, revision);
                let now = self.now();
                self.with_scheduler(term, |scheduler| {
                    scheduler.fencing_token_raised(FencingToken::of_term(raised.term), now)
                });
            }
            Ok(TransactionOutcome::Conflict { failed }) => {
                if failed.iter().any(|key| key == LEADER_KEY) {
                    self.lose_leadership(term);
                }
                self.fencing_token_not_raised(term);
                self.read_term_counter(term);
            }
            Err(error) => {
                log::debug!(term, error:%; "fencing token not raised");
                self.fencing_token_not_raised(term);
            }
        }
    }

    fn fencing_token_not_raised(&self, term: u64) {
        let now = self.now();
        self.with_scheduler(term, |scheduler| scheduler.fencing_token_raise_failed(now));
    }

    /// Another transaction has changed the counter: one of this leader's without an answer, or the change of its
    /// form ([`super::feature_level_loop`]).
    fn read_term_counter(&self, term: u64) {
        let Ok(Some(stored)) = self.store.get(TERM_KEY, StorePriority::Normal) else {
            return;
        };
        match TermCounter::read(Some(&stored)) {
            Ok(counter) => self.note_term_counter(term, counter, stored.revision),
            Err(error) => log::error!(term, error:%; "term counter not read"),
        }
    }

    fn note_term_counter(&self, term: u64, counter: TermCounter, revision: u64) {
        let mut state = self.state();
        let leader_lease = state.leader_lease.as_mut();
        if let Some(leader_lease) = leader_lease.filter(|lease| lease.term == term) {
            leader_lease.term_counter = counter;
            leader_lease.term_counter_revision = revision;
        }
    }
}
