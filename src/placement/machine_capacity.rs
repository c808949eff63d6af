//! What machines have left beside the attempts on them.

use super::{FreeCapacity, Resources};
use crate::jobs::JobId;
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use crate::workers::{DesiredState, Machine};

impl SchedulerState {
    /// True if new tasks may be placed on the machine: it is reconciled, on record, healthy, stays, and its
    /// heartbeats arrive.
    pub(crate) fn usable(&self, m: &Machine, now: Moment) -> bool {
        m.reconciled
            && m.registered
            && m.quarantine.is_none()
            && !m.unreachable
            && !m.draining
            && !m.faulty
            && !m.has_preemption_notice
            && m.is_alive(self.config.heartbeat_interval, now)
    }

    /// What is left on a machine beside everything that may be on it.
    pub(crate) fn free_capacity(&self, m: &Machine) -> Resources {
        self.capacity_left(m).free
    }

    /// What is left on a machine, and what is being stopped there. The machine keeps the result until an
    /// attempt on it changes.
    pub(super) fn capacity_left(&self, m: &Machine) -> FreeCapacity {
        let left = m
            .free_resources
            .get()
            .unwrap_or_else(|| self.count_capacity_left(m));
        m.free_resources.set(Some(left));
        left
    }

    fn count_capacity_left(&self, m: &Machine) -> FreeCapacity {
        if m.orphans.iter().any(|g| !g.exited) {
            // Nobody knows what a job without a record takes.
            return FreeCapacity::default();
        }
        let (mut free, mut stopping) = (m.total, Resources::default());
        // Attempts of one job are neighbours: the job is looked up once.
        let mut last: Option<(JobId, Resources)> = None;
        for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds_resources()) {
            let demand = match last {
                Some((id, demand)) if id == key.job => demand,
                _ => match self.jobs.table.get(&key.job) {
                    Some(job) => job.spec.demand,
                    None => continue,
                },
            };
            last = Some((key.job, demand));
            free = free.minus(demand);
            if attempt.desired != DesiredState::Run {
                stopping = stopping.plus(demand);
            }
        }
        FreeCapacity { free, stopping }
    }
}
