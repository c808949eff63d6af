//! Raising the stored term counter for a new fencing token, without a change of leader.
//!
//! The first fencing token of a term is the term itself. A leader that has to revoke its own commands
//! ([`crate::workers::fencing`]) increments the counter again and uses the new number as its fencing token. The
//! number is unique, since the next leader increments the counter as well. The leader's term doesn't change. Earlier
//! versions see a counter that has skipped a number.

use super::leader_lease::LeaderLease;
use super::leader_record::LEADER_KEY;
use super::term_counter::{TERM_KEY, TermCounter};
use crate::controller::Controller;
use crate::store::{Change, Precondition, StorePriority, TransactionOutcome};
use crate::workers::FencingToken;

impl Controller {
    /// Makes one attempt to store a higher fencing token, and uses the token only once the store has confirmed it.
    ///
    /// A transaction of unknown outcome may still be executed, but its token is never used. The next attempt has the
    /// same counter revision as its precondition, so the store executes at most one of the two.
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
                self.fencing_token_raise_failed(term);
                self.read_term_counter(term);
            }
            Err(error) => {
                log::debug!(term, error:%; "failed to raise fencing token");
                self.fencing_token_raise_failed(term);
            }
        }
    }

    fn fencing_token_raise_failed(&self, term: u64) {
        let now = self.now();
        self.with_scheduler(term, |scheduler| scheduler.fencing_token_raise_failed(now));
    }

    /// Reads the term counter back after a conflict. It was changed either by a transaction of this leader that got
    /// no answer, or by the change to the fenced form ([`super::feature_level_loop`]).
    fn read_term_counter(&self, term: u64) {
        let Ok(Some(stored)) = self.store.get(TERM_KEY, StorePriority::Leadership) else {
            return;
        };
        match TermCounter::read(Some(&stored)) {
            Ok(counter) => self.note_term_counter(term, counter, stored.revision),
            Err(error) => log::error!(term, error:%; "malformed term counter"),
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
