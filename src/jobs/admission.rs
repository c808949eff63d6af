//! Jobs that enter the leader's state, and when no more of them may.

use super::spec::Submission;
use super::{JobId, new_job};
use crate::scheduler::{MOST_CLASSES, SchedulerState};
use crate::time::{Moment, WallTime};

impl SchedulerState {
    /// Adds an accepted job. What an earlier term claimed of it is known from the pages.
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
        if !spec.is_standing() && self.classes.with_arrays.len() < MOST_CLASSES {
            self.classes.with_arrays.insert(spec.class.clone());
        }
        let team = self.config.teams.iter().position(|t| t.name == spec.team);
        let age = wall.0.saturating_sub(spec.accepted_at.0);
        let accepted_at = Moment(now.0.saturating_sub(age));
        self.placement.due = true;
        let mut start_watermark = self
            .jobs
            .start_watermarks
            .get(&spec.id)
            .copied()
            .unwrap_or(0);
        if self.prior_term.watermarks_lost
            || (spec.is_standing() && revision <= self.prior_term.older_version_led_at)
        {
            // Any of its tasks may have started, whatever the pages say.
            start_watermark = spec.tasks;
        }
        let mut job = new_job(spec, team, revision, accepted_at, start_watermark);
        if self.prior_term.released {
            job.release();
        }
        self.jobs.insert(job)
    }

    /// True while no more jobs may be accepted; once full, until a tenth of the room is free.
    pub fn is_full(&self, was: bool) -> bool {
        let most = self.config.job_bytes;
        self.jobs.memory_bytes() > if was { most / 10 * 9 } else { most }
    }
}
