//! Work on the leader's state on behalf of one term.

use crate::controller::{Controller, ControllerState};
use crate::scheduler::SchedulerState;

impl Controller {
    /// Does something with what this controller knows as the leader of that term, and nothing if another
    /// term has begun. While an answer was on its way the term may have ended and another begun: in its
    /// memory other jobs have the numbers by which the writes name theirs.
    pub(super) fn with_state_of(&self, term: u64, work: impl FnOnce(&mut ControllerState)) {
        let mut state = self.state();
        if state.scheduler.as_ref().is_some_and(|s| s.term == term) {
            work(&mut state);
        }
    }

    /// Does something with the scheduler's state of that term, and nothing if another term has begun.
    pub(crate) fn with_scheduler(&self, term: u64, work: impl FnOnce(&mut SchedulerState)) {
        self.with_state_of(term, |state| {
            if let Some(scheduler) = &mut state.scheduler {
                work(scheduler);
            }
        });
    }

    /// The precondition that this controller leads in that term failed: another one leads by now.
    pub(crate) fn lose_leadership(&self, term: u64) {
        self.with_state_of(term, |state| {
            log::info!(term, reason = "another_leads"; "standing down");
            state.step_down_requested = true;
        });
    }
}
