//! The order in which waiting jobs are placed.

use super::Resources;
use crate::jobs::Priority;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Sorts waiting jobs: smaller goes first.
///
/// What may be preempted for a job always comes later in this order. Otherwise it would take its
/// place again at once, and be preempted again, without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    /// It has not begun for so long that its first tasks go before everything else.
    pub(super) overdue: Reverse<bool>,
    pub(super) priority: Reverse<Priority>,
    /// It doesn't fit into its team's guarantee beside the team's earlier jobs.
    pub(super) over_guarantee: bool,
    /// Can't be in time any more: it goes behind those that can.
    late: bool,
    urgency: Moment,
    accepted: Moment,
}

/// The jobs that wait, and those that are over their team's guarantee, waiting or not.
pub(super) struct Queue {
    /// Jobs with waiting tasks, the first to be placed first.
    pub(super) waiting: Vec<(QueueOrder, JobId)>,
    /// Jobs that don't fit into their team's guarantee beside the team's earlier jobs.
    pub(super) over_guarantee: BTreeSet<JobId>,
}

/// Estimates are rough: a little past its latest start a job may still be in time.
const LATE_GRACE: Micros = Micros::from_secs(5);

/// How strongly small jobs go before large ones: a job counts as less urgent by this multiple of the time for
/// which it would take up its team's limit.
const SMALL_JOBS_FIRST: f64 = 10.0;

/// Thousandths in a CPU, the unit of demands.
const CPU_UNITS: f64 = 1000.0;

impl SchedulerState {
    /// Jobs with waiting tasks, the first to be placed first.
    pub fn queue_order(&self, now: Moment) -> Vec<(QueueOrder, JobId)> {
        self.queue(now).waiting
    }

    /// The same, with all jobs that are over their team's guarantee.
    pub(super) fn queue(&self, now: Moment) -> Queue {
        let mut over_guarantee = BTreeSet::new();
        let mut waiting = Vec::new();
        // What each team's jobs demand, up to the one that is looked at.
        let mut demanded = vec![Resources::default(); self.config.teams.len()];
        for (id, job) in self.open_jobs_by_age() {
            let Some(team) = job.team else { continue };
            let demand = job.spec.demand.scaled(i64::from(job.remaining()));
            demanded[team] = demanded[team].plus(demand);
            let settings = &self.config.teams[team];
            let guarantee = Resources::capacity(settings.cpus, settings.gpus, 0.0);
            let is_over = demanded[team].cpu > guarantee.cpu || demanded[team].gpu > guarantee.gpu;
            if is_over {
                over_guarantee.insert(*id);
            }
            if job.ready() > 0 && job.retry_after <= now {
                let order = self.order_of(job, settings.cpus_max, is_over, now);
                waiting.push((order, *id));
            }
        }
        waiting.sort();
        Queue {
            waiting,
            over_guarantee,
        }
    }

    /// Jobs that are neither over nor being cancelled, the oldest first.
    fn open_jobs_by_age(&self) -> Vec<(&JobId, &Job)> {
        let mut by_age: Vec<(&JobId, &Job)> = self
            .jobs
            .table
            .iter()
            .filter(|(_, j)| j.outcome.is_none() && !j.is_cancel_requested() && !j.is_complete())
            .collect();
        by_age.sort_by_key(|(id, j)| (j.accepted_at, **id));
        by_age
    }

    /// Where a job of a team with this limit of CPUs stands in the queue.
    fn order_of(&self, job: &Job, cpus_max: f64, over_guarantee: bool, now: Moment) -> QueueOrder {
        let latest_start = self.latest_start(job);
        // For how long the job would take up its team's limit, were it alone: of jobs equally pressed,
        // small ones go first, since they hold up the others least.
        let run_time = match job.spec.is_standing() {
            true => 0.0,
            false => self.expected_run_time(job).as_secs_f64(),
        };
        let work = f64::from(job.remaining()) * run_time * job.spec.demand.cpu as f64;
        let alone = work / (cpus_max * CPU_UNITS).max(1.0);
        QueueOrder {
            overdue: Reverse(self.is_overdue(job, now)),
            priority: Reverse(job.spec.priority),
            over_guarantee,
            late: !job.spec.is_standing() && now > latest_start + LATE_GRACE,
            urgency: latest_start + Micros::from_secs_f64(alone * SMALL_JOBS_FIRST),
            accepted: job.accepted_at,
        }
    }

    /// True for a job that has waited too long for its first start. Small and urgent work goes before large
    /// and late work, high priorities before low ones; each may be endless, so that waiting itself must win
    /// in the end. The age comes from the record, so it survives a failover.
    fn is_overdue(&self, job: &Job, now: Moment) -> bool {
        !job.has_begun() && now - job.accepted_at > self.config.max_queue_wait
    }
}
