//! Completion and cancellation of jobs: applying stored done sets and final states, and stopping the attempts of jobs
//! that end.

use super::{DoneRecord, FinalWrite, JobId, Outcome};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::{AttemptKey, DesiredState};

impl SchedulerState {
    /// Applies a chunk of a done set that was read from the store, either at the beginning of this leader's term or
    /// after a failed precondition.
    pub fn apply_done_record(&mut self, id: &str, chunk: u32, record: &DoneRecord, revision: u64) {
        let Some(job_id) = self.jobs.find(id) else {
            return;
        };
        let Some(job) = self.jobs.table.get_mut(&job_id) else {
            return;
        };
        let Some(known) = job.revisions.get_mut(chunk as usize) else {
            return;
        };
        if *known != revision && chunk == 0 {
            // A write whose outcome is unknown had the earlier revision as its precondition: it can't be applied any
            // more.
            job.final_write = FinalWrite::Idle;
        }
        *known = revision;
        let mut set = job.recorded.clone();
        if let Err(error) = set.add_chunk(chunk, &record.set) {
            log::error!(job = id, chunk, error:%; "malformed done set");
            return;
        }
        job.recorded = set;
        for task in job.recorded.iter().collect::<Vec<_>>() {
            job.mark_done(task);
        }
        if let Some(outcome) = record.state {
            self.apply_outcome(job_id, outcome);
        }
    }

    /// Applies a job's recorded final state and stops all its attempts.
    pub fn apply_outcome(&mut self, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.final_write = FinalWrite::Idle;
        let first_placed_s = job
            .fully_placed_at
            .map(|at| (at - job.accepted_at).as_secs_f64());
        log::debug!(
            job = job.spec.id, class = job.spec.class, outcome:?, tasks = job.spec.tasks, first_placed_s:?;
            "job ended"
        );
        self.stop_attempts_of(id);
    }

    /// Requests the cancellation of a job. From here on none of its tasks starts, and running attempts are stopped
    /// whether or not the record succeeds, since the user doesn't need their results. The job counts as cancelled
    /// once its final state is written. False if the job isn't known.
    pub fn request_cancellation(&mut self, id: &str, now: Moment) -> bool {
        let Some(job_id) = self.jobs.find(id) else {
            return false;
        };
        if let Some(job) = self.jobs.table.get_mut(&job_id)
            && job.outcome.is_none()
            && !job.is_complete()
        {
            let first = job.cancel_requested_at.is_none();
            job.cancel_requested_at.get_or_insert(now);
            self.writes_due = true;
            if first {
                self.stop_attempts_of(job_id);
                self.withdraw_failures_of_faulty_job(job_id);
            }
        }
        true
    }

    /// Stops all attempts of a job without a grace period for a checkpoint, since their results aren't needed.
    fn stop_attempts_of(&mut self, id: JobId) {
        for machine in self.machines.values_mut() {
            let own = AttemptKey::range_of_job(id);
            let mut any = false;
            for (_, attempt) in machine.attempts.range_mut(own) {
                any = true;
                attempt.desired = DesiredState::Stop {
                    grace_period: Micros::ZERO,
                };
            }
            if any {
                machine.free_resources.set(None);
                self.commands.due.insert(machine.name.clone());
            }
        }
        self.placement.due = true;
    }
}
