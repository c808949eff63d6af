//! What the controller learns from writes that were committed.

use super::{JobView, PendingWrite, PendingWriteKind};
use crate::controller::{Controller, ControllerState};

impl Controller {
    /// Takes in that these writes were committed at this revision.
    pub(super) fn note_written(&self, term: u64, writes: &[PendingWrite], revision: u64) {
        self.with_state_in_term(term, |state| {
            self.apply_all_written(state, writes, revision);
        });
        self.state_changed.notify_all();
    }

    fn apply_all_written(
        &self,
        state: &mut ControllerState,
        writes: &[PendingWrite],
        revision: u64,
    ) {
        let Some(scheduler) = &mut state.scheduler else {
            return;
        };
        for write in writes {
            if let PendingWriteKind::FinalState(job, outcome)
            | PendingWriteKind::Retirement(job, outcome) = &write.kind
                && let Some(job) = scheduler.jobs.table.get(job)
            {
                let view = JobView::of_final(*outcome, job.spec.tasks);
                state.terminal_states.insert(&job.spec.id, view);
            }
            scheduler.apply_written(write, revision);
        }
        scheduler.place_if_due(self.now());
        self.wake_loops(scheduler);
    }
}
