//! Access to the leader's state, limited to one term.
//!
//! While a request is in flight, its term may end and a new one may begin, whose state assigns the same numbers to
//! other jobs. The result of a request is therefore applied only in the term in which the request was sent.

use super::{Controller, ControllerState};
use crate::scheduler::SchedulerState;

impl Controller {
    /// Runs `work` on the controller's state if this controller is the leader in `term` and has read the stored
    /// state; otherwise does nothing.
    pub(crate) fn with_state_in_term(&self, term: u64, work: impl FnOnce(&mut ControllerState)) {
        let mut state = self.state();
        if state.scheduler.as_ref().is_some_and(|s| s.term == term) {
            work(&mut state);
        }
    }

    /// Runs `work` on the scheduler state under the conditions of [`Controller::with_state_in_term`].
    pub(crate) fn with_scheduler(&self, term: u64, work: impl FnOnce(&mut SchedulerState)) {
        self.with_state_in_term(term, |state| {
            if let Some(scheduler) = &mut state.scheduler {
                work(scheduler);
            }
        });
    }

    /// Requests a step-down after a transaction failed its precondition that this controller is the leader in `term`.
    pub(crate) fn lose_leadership(&self, term: u64) {
        self.with_state_in_term(term, |state| {
            log::info!(term, reason = "another_leads"; "stepping down");
            state.step_down_requested = true;
        });
    }
}
