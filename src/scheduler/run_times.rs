//! How long tasks run, learned from those that ended, and when they should start.

use super::SchedulerState;
use crate::jobs::{Job, JobId};
use crate::settings::Objective;
use crate::time::{Micros, Moment};

/// How long a replica of a standing job is expected to run: nobody waits for its end.
const FOR_GOOD: Micros = Micros::from_secs(24 * 3600);

/// A job that is to end in time is started as if its tasks ran so many times as long as expected.
const RUN_TIME_MARGIN: f64 = 1.2;

impl SchedulerState {
    /// Learns from a finished task of the job.
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

    /// How long a task of the job should run: the estimate, corrected by what its class and its own finished
    /// tasks tell.
    pub fn expected_run_time(&self, job: &Job) -> Micros {
        if job.spec.is_standing() {
            return FOR_GOOD;
        }
        let ratio = self.classes.run_time_ratio(&job.spec.class);
        let estimate = job.spec.estimate.scaled(ratio);
        let finished = &job.run_times;
        Micros((estimate.0 + finished.total.0) / u64::from(finished.count + 1))
    }

    /// When the job's tasks should start at the latest: by its own deadline, and by the objectives for its
    /// class. Without either, at once.
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

    /// When the job's tasks should start so that they end by then.
    fn start_for_end(&self, job: &Job, end: Moment) -> Moment {
        let run_time = self.expected_run_time(job).scaled(RUN_TIME_MARGIN);
        Moment(end.0.saturating_sub(run_time.0))
    }

    /// When the job's tasks should start for the objective; None if it isn't for this job.
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
