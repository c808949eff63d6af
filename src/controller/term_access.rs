//! Access to the leader's state on behalf of one term.
//!
//! While a request is under way its term may end and another one begin, whose state gives the same numbers to other
//! jobs. What comes of the request counts only for the term in which it was sent.

use super::{Controller, ControllerState};
use crate::scheduler::SchedulerState;

impl Controller {
    /// Runs `work` on the controller's state if it leads in that term and has read the stored state; else does
    /// nothing.
    pub(crate) fn with_state_in_term(&self, term: u64, work: impl FnOnce(&mut ControllerState)) {
        let mut state = self.state();
        if state.scheduler.as_ref().is_some_and(|s| s.term == term) {
            work(&mut state);
        }
    }

    /// Runs `work` on the scheduler state of that term, as [`Controller::with_state_in_term`] does.
    pub(crate) fn with_scheduler(&self, term: u64, work: impl FnOnce(&mut SchedulerState)) {
        self.with_state_in_term(term, |state| {
            if let Some(scheduler) = &mut state.scheduler {
                work(scheduler);
            }
        });
    }

    /// Steps down: the precondition that this controller leads in that term has failed.
    pub(crate) fn lose_leadership(&self, term: u64) {
        self.with_state_in_term(term, |state| {
            log::info!(term, reason = "another_leads"; "stepping down");
            state.step_down_requested = true;
        });
    }
}
