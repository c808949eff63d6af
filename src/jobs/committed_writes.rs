//! Effects of committed writes on the controller's state.

use super::{JobView, PendingWrite, PendingWriteKind};
use crate::controller::{Controller, ControllerState};

impl Controller {
    /// Applies writes that were committed at this revision to the state of the term in which they were sent, and
    /// wakes the threads that wait for a change.
    pub(super) fn note_committed(&self, term: u64, writes: &[PendingWrite], revision: u64) {
        self.with_state_in_term(term, |state| {
            self.apply_committed(state, writes, revision);
        });
        self.state_changed.notify_all();
    }

    fn apply_committed(&self, state: &mut ControllerState, writes: &[PendingWrite], revision: u64) {
        let Some(scheduler) = &mut state.scheduler else {
            return;
        };
        for write in writes {
            if let PendingWriteKind::FinalState(job, outcome)
            | PendingWriteKind::Retirement(job, outcome) = &write.kind
                && let Some(job) = scheduler.jobs.table.get(job)
            {
                let view = JobView::of_final(*outcome, job.spec.tasks);
                state.final_states.insert(&job.spec.id, view);
            }
            scheduler.apply_written(write, revision);
        }
        scheduler.place_if_due(self.now());
        self.wake_loops(scheduler);
    }
}
