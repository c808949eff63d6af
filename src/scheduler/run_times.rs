//! Expected run times of tasks, learned from finished tasks, and the latest start times that follow from them.

use super::SchedulerState;
use crate::jobs::{Job, JobId};
use crate::settings::Objective;
use crate::time::{Micros, Moment};

/// Expected run time of a standing job's replica. It is only nominal, since a replica isn't expected to end.
const STANDING_JOB_RUN_TIME: Micros = Micros::from_secs(24 * 3600);

/// Factor on the expected run time, as a safety margin, in the latest start time that is derived from the time by
/// which a job should end.
const RUN_TIME_MARGIN: f64 = 1.2;

impl SchedulerState {
    /// Updates the statistics of the job and its class with the run time of a finished task.
    pub fn record_run_time(&mut self, id: JobId, ran: Micros) {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return;
        };
        job.run_times.count += 1;
        job.run_times.total = job.run_times.total + ran;
        let estimate = job.spec.estimate.as_secs_f64();
        if estimate > 0.0 {
            let ratio = ran.as_secs_f64() / estimate;
            self.classes.note_run_time_ratio(&job.spec.class, ratio);
        }
    }

    /// Expected run time of a task of the job: the user's estimate, corrected by the statistics of the job's class
    /// and by the run times of the job's finished tasks.
    pub fn expected_run_time(&self, job: &Job) -> Micros {
        if job.spec.is_standing() {
            return STANDING_JOB_RUN_TIME;
        }
        let ratio = self.classes.run_time_ratio(&job.spec.class);
        let estimate = job.spec.estimate.scaled(ratio);
        let finished = &job.run_times;
        Micros((estimate.0 + finished.total.0) / u64::from(finished.count + 1))
    }

    /// Latest time at which the job's tasks should start to meet its own deadline and the objectives for its class.
    /// For a standing job, and without a deadline or an objective, this is the time at which the job was accepted.
    pub fn latest_start(&self, job: &Job) -> Moment {
        if job.spec.is_standing() {
            return job.accepted_at;
        }
        let own = job.deadline().map(|end| self.start_for_end(job, end));
        let objectives = self.config.objectives.iter();
        let latest = objectives
            .filter_map(|objective| self.latest_start_for(job, objective))
            .chain(own)
            .min();
        latest.unwrap_or(job.accepted_at)
    }

    /// Latest time at which the job's tasks should start so that they end by `end`.
    fn start_for_end(&self, job: &Job, end: Moment) -> Moment {
        let run_time = self.expected_run_time(job).scaled(RUN_TIME_MARGIN);
        Moment(end.0.saturating_sub(run_time.0))
    }

    /// Latest time at which the job's tasks should start to meet the objective; `None` if it doesn't apply.
    fn latest_start_for(&self, job: &Job, objective: &Objective) -> Option<Moment> {
        let class = Some(job.spec.class.as_str());
        if objective.class.as_deref() != class || objective.within_s <= 0.0 {
            return None;
        }
        let due = job.accepted_at + Micros::from_secs_f64(objective.within_s);
        match objective.kind.as_str() {
            "wait" => Some(due),
            "finished" => Some(self.start_for_end(job, due)),
            _ => None,
        }
    }
}
