//! Raising the counter of terms for a fencing token, without a change of leader.
//!
//! The token of a term is its number. A leader that must fence off orders of its own
//! ([`crate::workers::fencing`]) raises the counter once more and uses the new number, which nobody else ever
//! will: whoever takes the lead next raises the counter as well. The term of the leader stays what it is.
//! Earlier versions see a counter that has skipped a number.

use super::term::{TERM_KEY, TermRecord};
use super::{LEADER_KEY, LeaderLease};
use crate::controller::Controller;
use crate::state_store::{Change, Commit, Guard, Urgency};

impl Controller {
    /// Tries once to put a higher token on record, and uses it if that is known to have worked.
    ///
    /// Without an answer the transaction may be applied yet. Nobody uses its token then: the next try
    /// guards the counter at the revision that it had before, so that only one of the two passes.
    pub(crate) fn raise_fencing_token(&self, lead: &LeaderLease) {
        let raised = lead.counter.raised(lead.revision);
        let guards = [lead.guard(), Guard::new(TERM_KEY, lead.counter_revision)];
        let changes = [Change::write(TERM_KEY, raised.to_value())];
        match self.store.transact(&guards, &changes, Urgency::Granted) {
            Ok(Commit::Done { revision }) => {
                self.note_counter(lead.term, raised, revision);
                let now = self.now();
                self.with_scheduler(lead.term, |scheduler| {
                    scheduler.fencing_token_raised(raised.term, now)
                });
            }
            Ok(Commit::Conflict { failed }) => {
                if failed.iter().any(|key| key == LEADER_KEY) {
                    self.lose_lead(lead.term);
                }
                self.fencing_token_not_raised(lead.term);
                self.read_counter(lead.term);
            }
            Err(e) => {
                log::debug!("token not raised: term={} error={e}", lead.term);
                self.fencing_token_not_raised(lead.term);
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
        let Ok(Some(row)) = self.store.get(TERM_KEY, Urgency::Normal) else {
            return;
        };
        match TermRecord::read(Some(&row)) {
            Ok(counter) => self.note_counter(term, counter, row.revision),
            Err(e) => log::error!("counter of terms: {e}"),
        }
    }

    fn note_counter(&self, term: u64, counter: TermRecord, revision: u64) {
        let mut state = self.state();
        if let Some(lead) = state.lead.as_mut().filter(|lead| lead.term == term) {
            lead.counter = counter;
            lead.counter_revision = revision;
        }
    }
}
