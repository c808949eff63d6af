//! How long tasks run, learned from those that ended, and when they should start.

use super::{MAX_CLASSES, SchedulerState};
use crate::jobs::{Job, JobId};
use crate::time::{Micros, Moment};
use std::collections::{BTreeMap, BTreeSet};

/// How long a replica of a standing job is expected to run: nobody waits for its end.
const FOR_GOOD: Micros = Micros::from_secs(24 * 3600);

/// A finished task moves its class's ratio of run time to estimate by this part of the difference.
const LEARNING_RATE: f64 = 0.05;

/// What was learned of each class of jobs.
#[derive(Debug, Default)]
pub struct ClassStatistics {
    /// How long tasks of a class ran, as a multiple of their owners' estimates.
    pub run_time_ratio: BTreeMap<String, f64>,
    /// Classes of which an array was seen: objectives for their starting times are for work that ends.
    pub with_arrays: BTreeSet<String>,
}

impl SchedulerState {
    /// Learns from a finished task.
    pub fn record_run_time(&mut self, id: JobId, ran: Micros) {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return;
        };
        job.run_times.count += 1;
        job.run_times.total = job.run_times.total + ran;
        let guess = job.spec.estimate.as_secs_f64();
        if guess > 0.0 {
            let seen = (ran.as_secs_f64() / guess).clamp(0.1, 10.0);
            // Classes are what users say they are: beyond a thousand the estimates stay as given.
            let known = self.classes.run_time_ratio.contains_key(&job.spec.class);
            if !known && self.classes.run_time_ratio.len() >= MAX_CLASSES {
                return;
            }
            let ratio = self
                .classes
                .run_time_ratio
                .entry(job.spec.class.clone())
                .or_insert(1.0);
            *ratio += LEARNING_RATE * (seen - *ratio);
        }
    }

    /// How long a task of the job should run: its own finished tasks tell most.
    pub fn expected_run_time(&self, job: &Job) -> Micros {
        if job.spec.is_standing() {
            return FOR_GOOD;
        }
        let ratio = self
            .classes
            .run_time_ratio
            .get(&job.spec.class)
            .copied()
            .unwrap_or(1.0);
        let guess = job.spec.estimate.scaled(ratio);
        let (n, sum) = (job.run_times.count, job.run_times.total);
        Micros((guess.0 + sum.0) / u64::from(n + 1))
    }

    /// When the job's tasks should start at the latest: by its own deadline, else by what the
    /// operator aims at for its class.
    pub fn latest_start(&self, job: &Job) -> Moment {
        let before = |due: Moment| {
            let run = self.expected_run_time(job).scaled(1.2);
            Moment(due.0.saturating_sub(run.0))
        };
        if job.spec.is_standing() {
            return job.accepted_at;
        }
        let mut latest = job.deadline().map(before);
        for o in self.config.objectives.iter() {
            if o.class.as_deref() != Some(job.spec.class.as_str()) || o.within_s <= 0.0 {
                continue;
            }
            let at = job.accepted_at + Micros::from_secs_f64(o.within_s);
            let by = match o.kind.as_str() {
                "wait" => at,
                "finished" => before(at),
                _ => continue,
            };
            latest = Some(latest.map_or(by, |l| l.min(by)));
        }
        latest.unwrap_or(job.accepted_at)
    }
}
