//! Adding accepted jobs to the leader's state, and the memory limit for jobs.

use super::{Job, JobId, JobSpec, Submission};
use crate::scheduler::SchedulerState;
use crate::time::{Moment, WallTime};

impl SchedulerState {
    /// Adds an accepted job unless it is already known. The stored start watermarks tell which of its tasks may have
    /// started under an earlier term.
    pub fn add_job(
        &mut self,
        submission: &Submission,
        revision: u64,
        now: Moment,
        wall: WallTime,
    ) -> JobId {
        if let Some(id) = self.jobs.find(&submission.id) {
            return id;
        }
        let spec = submission.spec();
        if !spec.is_standing() {
            self.classes.note_array(&spec.class);
        }
        let team = self.config.teams.iter().position(|t| t.name == spec.team);
        let age = wall.0.saturating_sub(spec.accepted_at.0);
        let accepted_at = Moment(now.0.saturating_sub(age));
        let start_watermark = self.prior_term_start_watermark(&spec, revision);
        let mut job = Job::new(spec, team, revision, accepted_at, start_watermark);
        if self.prior_term.released {
            job.end_reconciliation();
        }
        self.placement.due = true;
        self.jobs.insert(job)
    }

    /// Start watermark from earlier terms: tasks of the job numbered below it may have started.
    fn prior_term_start_watermark(&self, spec: &JobSpec, revision: u64) -> u32 {
        let dropped_by_older_version =
            spec.is_standing() && revision <= self.prior_term.older_version_led_at;
        if self.prior_term.pages_unreadable || dropped_by_older_version {
            // The stored watermark can't be relied on, so any of the job's tasks may have started.
            return spec.tasks;
        }
        let recorded = self.jobs.start_watermarks.get(&spec.id);
        recorded.copied().unwrap_or(0)
    }

    /// True while no more jobs may be accepted. Once the memory for jobs was full (`was_full`), it counts as full
    /// until a tenth of it is free.
    pub fn is_full(&self, was_full: bool) -> bool {
        self.jobs.is_full(self.config.job_bytes, was_full)
    }
}
