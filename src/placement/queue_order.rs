//! The order in which waiting jobs are placed.

use super::Resources;
use crate::jobs::Priority;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Sort key of waiting jobs: the job with the smallest key is placed first.
///
/// Attempts that a job may preempt always belong to jobs later in this order. Otherwise a preempted job would take
/// the capacity back at once, and be preempted again, without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    /// The job has waited so long for its first start that its first tasks go before all other jobs.
    pub(super) overdue: Reverse<bool>,
    pub(super) priority: Reverse<Priority>,
    /// The job doesn't fit into its team's guarantee together with the team's older jobs.
    pub(super) over_guarantee: bool,
    /// The job can't meet its deadline any more: it goes after jobs that can.
    late: bool,
    /// The latest start, plus a delay in proportion to the job's size.
    urgency: Moment,
    /// Time of the job's acceptance.
    accepted: Moment,
}

/// Waiting jobs, and all jobs over their team's guarantee, waiting or not.
pub(super) struct Queue {
    /// Jobs with waiting tasks, the first to be placed first.
    pub(super) waiting: Vec<(QueueOrder, JobId)>,
    /// Jobs that don't fit into their team's guarantee together with the team's older jobs.
    pub(super) over_guarantee: BTreeSet<JobId>,
}

/// Time after its latest start from which a job counts as late: run-time estimates are rough, so that a job may
/// still meet its deadline shortly after its latest start.
const LATE_GRACE: Micros = Micros::from_secs(5);

/// Weight of a job's size, which puts small jobs before large ones: a job counts as less urgent by this multiple of
/// the time for which it would use its team's whole CPU limit.
const JOB_SIZE_WEIGHT: f64 = 10.0;

/// Millicpus, the unit of demands, per CPU.
const MILLICPUS_PER_CPU: f64 = 1000.0;

impl SchedulerState {
    /// Jobs with waiting tasks, the first to be placed first.
    pub fn queue_order(&self, now: Moment) -> Vec<(QueueOrder, JobId)> {
        self.queue(now).waiting
    }

    /// Waiting jobs in the order of placement, and all jobs that are over their team's guarantee.
    pub(super) fn queue(&self, now: Moment) -> Queue {
        let mut over_guarantee = BTreeSet::new();
        let mut waiting = Vec::new();
        // Demand of each team's jobs, from the oldest up to the current one.
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

    /// Jobs that are neither finished nor being cancelled, the oldest first.
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

    /// Sort key of a job whose team has the CPU limit `cpus_max`.
    fn order_of(&self, job: &Job, cpus_max: f64, over_guarantee: bool, now: Moment) -> QueueOrder {
        let latest_start = self.latest_start(job);
        // Time for which the job alone would use its team's whole CPU limit: of equally urgent jobs, small ones
        // go first, since they delay the others least.
        let run_time = match job.spec.is_standing() {
            true => 0.0,
            false => self.expected_run_time(job).as_secs_f64(),
        };
        let work = f64::from(job.remaining()) * run_time * job.spec.demand.cpu as f64;
        let time_at_limit = work / (cpus_max * MILLICPUS_PER_CPU).max(1.0);
        QueueOrder {
            overdue: Reverse(self.is_overdue(job, now)),
            priority: Reverse(job.spec.priority),
            over_guarantee,
            late: !job.spec.is_standing() && now > latest_start + LATE_GRACE,
            urgency: latest_start + Micros::from_secs_f64(time_at_limit * JOB_SIZE_WEIGHT),
            accepted: job.accepted_at,
        }
    }

    /// True for a job that has waited too long for its first start.
    ///
    /// Small and urgent jobs go before large and late ones, and high priorities before low ones. Either kind may keep
    /// arriving without end, so that a long enough wait has to take precedence. The time of acceptance comes from the
    /// job's record, so that it survives a failover.
    fn is_overdue(&self, job: &Job, now: Moment) -> bool {
        !job.has_begun() && now - job.accepted_at > self.config.max_queue_wait
    }
}
