//! Work that becomes due with the passing of time.

use super::SchedulerState;
use crate::jobs::Job;
use crate::time::Moment;

impl SchedulerState {
    /// Handles everything that becomes due with time: expired leases, checks of revocations, exclusions of faulty
    /// machines, retries and placement passes.
    pub fn on_timer(&mut self, now: Moment) {
        #[cfg(debug_assertions)]
        self.check_running_attempts();
        self.expire_leases(now);
        self.check_revocations(now);
        self.end_exclusions(now);
        let is_retry_due = self.jobs.table.values().any(|job| is_retry_due(job, now));
        self.placement.due |= is_retry_due;
        self.place_if_due(now);
    }
}

/// True if the job's delay after failures has ended and it has tasks that are ready for placement.
fn is_retry_due(job: &Job, now: Moment) -> bool {
    job.retry_after > Moment(0) && job.retry_after <= now && job.ready() > 0
}
