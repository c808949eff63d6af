//! Quota that is withheld for overdue jobs which don't fit their team's limit yet.
//!
//! Without it, small tasks of the team would take each part of its quota as soon as it becomes free, and a large task
//! would never start. Quota is withheld only while it can serve the overdue job: together with what ends within the time
//! that the job has waited already, it must be enough for a task. What replicas of standing jobs use doesn't end. Jobs of
//! a higher priority are exempt until the overdue job has waited for twice the maximum queue wait.

use super::Resources;
use super::pass_state::{EndingUsage, PlacementPass, WithheldQuota};
use crate::jobs::{Job, JobId, Priority};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// Multiple of the maximum queue wait after which quota is withheld from jobs of a higher priority, too.
const WAIT_BEFORE_HIGHER_PRIORITIES: f64 = 2.0;

impl PlacementPass {
    /// Quota that a team's job of this priority may use.
    pub(super) fn quota_for(&self, team: usize, priority: Priority) -> Resources {
        let withheld = self.withheld_quota[team].iter();
        withheld
            .filter(|withheld| priority <= withheld.highest_priority)
            .fold(self.quota_left[team], |left, withheld| {
                left.minus(withheld.amount)
            })
    }
}

impl SchedulerState {
    /// Withholds quota for a task of an overdue job from its team's later jobs, if that lets the task start.
    pub(super) fn withhold_quota(&self, id: JobId, pass: &mut PlacementPass, now: Moment) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let Some(team) = job.team else { return };
        let (demand, priority) = (job.spec.demand, job.spec.priority);
        let waited = now - job.accepted_at;
        let usage = pass
            .ending_usage
            .get_or_insert_with(|| self.ending_usage())
            .get(team);
        let ending = usage.into_iter().flatten();
        let freed = ending
            .filter(|usage| usage.within <= waited)
            .fold(Resources::default(), |sum, usage| sum.plus(usage.amount));
        if !demand.fits(pass.quota_for(team, priority).plus(freed)) {
            return;
        }
        let wait = self.config.max_queue_wait;
        let is_long = waited > wait.scaled(WAIT_BEFORE_HIGHER_PRIORITIES);
        pass.withheld_quota[team].push(WithheldQuota {
            amount: demand,
            highest_priority: if is_long {
                Priority::Production
            } else {
                priority
            },
        });
    }

    /// Usage of each team's quota that ends by itself, in the order of the configured teams.
    fn ending_usage(&self) -> Vec<Vec<EndingUsage>> {
        let mut usage: Vec<Vec<EndingUsage>> = Vec::new();
        usage.resize_with(self.config.teams.len(), Vec::new);
        for job in self.jobs.table.values() {
            if let (Some(team), Some(within)) = (job.team, self.expected_end(job)) {
                let amount = job.spec.demand.scaled(i64::from(job.bound_attempts()));
                usage[team].push(EndingUsage { within, amount });
            }
        }
        usage
    }

    /// Time within which the job's present attempts are expected to end; `None` if it has none, or if they don't end.
    fn expected_end(&self, job: &Job) -> Option<Micros> {
        if !job.is_bound() {
            None
        } else if job.is_closed() {
            Some(Micros::ZERO)
        } else {
            (!job.spec.is_standing()).then(|| self.expected_run_time(job))
        }
    }
}
