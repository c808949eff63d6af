//! The order in which waiting jobs are placed.

use super::Resources;
use crate::jobs::spec::Priority;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Sorts waiting jobs: smaller goes first.
///
/// What may be stopped for a job always comes later in this order. Otherwise it would take its
/// place again at once, and be stopped again, without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    /// It has not begun for so long that its first tasks go before everything else.
    pub(super) starves: Reverse<bool>,
    pub(super) rank: Reverse<Priority>,
    pub(super) beyond_guarantee: bool,
    /// Can't be in time any more: it goes behind those that can.
    late: bool,
    urgency: Moment,
    accepted: Moment,
}

/// Estimates are rough: a little past its latest start a job may still be in time.
const LATE_GRACE: Micros = Micros::from_secs(5);

/// How strongly small jobs go before large ones.
const SMALL_FIRST: f64 = 10.0;

impl SchedulerState {
    /// Jobs with waiting tasks, the most urgent first.
    pub fn queue_order(&self, now: Moment) -> Vec<(QueueOrder, JobId)> {
        self.queue_order_and_over_quota(now).0
    }

    /// The same, and all jobs that don't fit into their team's guarantee beside its earlier ones.
    pub(super) fn queue_order_and_over_quota(
        &self,
        now: Moment,
    ) -> (Vec<(QueueOrder, JobId)>, BTreeSet<JobId>) {
        let mut beyond = BTreeSet::new();
        let mut by_age: Vec<(&JobId, &Job)> = self
            .jobs
            .table
            .iter()
            .filter(|(_, j)| j.outcome.is_none() && !j.is_cancel_asked() && !j.complete())
            .collect();
        by_age.sort_by_key(|(id, j)| (j.accepted_at, **id));
        let mut start_watermark = vec![Resources::default(); self.config.teams.len()];
        let mut order = Vec::new();
        for (id, job) in by_age {
            let Some(team) = job.team else { continue };
            start_watermark[team] =
                start_watermark[team].plus(job.spec.need.scaled(i64::from(job.remaining())));
            let settings = &self.config.teams[team];
            let guarantee = Resources::capacity(settings.cpus, settings.gpus, 0.0);
            let within = start_watermark[team].cpu <= guarantee.cpu
                && start_watermark[team].gpu <= guarantee.gpu;
            if !within {
                beyond.insert(*id);
            }
            if job.ready() == 0 || job.retry_at > now {
                continue;
            }
            let latest_start = self.latest_start(job);
            // What the job takes of its team's limit, were it alone: of jobs equally pressed,
            // small ones go first, since they hold up the others least.
            let run = match job.spec.standing {
                true => 0.0,
                false => self.expected_run_time(job).as_secs_f64(),
            };
            let work = f64::from(job.remaining()) * run * job.spec.need.cpu as f64;
            let alone = work / (settings.cpus_max * 1000.0).max(1.0);
            let urgency = latest_start + Micros::from_secs_f64(alone * SMALL_FIRST);
            order.push((
                QueueOrder {
                    starves: Reverse(self.starves(job, now)),
                    beyond_guarantee: !within,
                    rank: Reverse(job.spec.rank),
                    late: !job.spec.standing && now > latest_start + LATE_GRACE,
                    urgency,
                    accepted: job.accepted_at,
                },
                *id,
            ));
        }
        order.sort();
        (order, beyond)
    }

    /// A job that waits in vain for its first start. Small and urgent work goes before large and
    /// late work, ranks before lower ranks; each may be endless, so that waiting itself must win
    /// in the end. The age comes from the record, so it survives a takeover.
    fn starves(&self, job: &Job, now: Moment) -> bool {
        !job.begun() && now - job.accepted_at > self.config.max_queue_wait
    }
}
