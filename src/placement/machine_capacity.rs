//! Capacity of machines that their attempts leave free.

use super::{FreeCapacity, Resources};
use crate::jobs::JobId;
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use crate::workers::{DesiredState, Machine};

impl SchedulerState {
    /// True if new tasks may be placed on the machine: it is reconciled, registered, healthy and reachable, isn't
    /// about to be returned or taken back, and its heartbeats arrive.
    pub(crate) fn is_usable(&self, machine: &Machine, now: Moment) -> bool {
        machine.reconciled
            && machine.registered
            && machine.quarantine.is_none()
            && !machine.unreachable
            && !machine.draining
            && !machine.failures.is_machine_faulty()
            && !machine.has_preemption_notice
            && machine.is_alive(self.config.heartbeat_interval, now)
    }

    /// Capacity of a machine that is free beside all attempts that may run on it.
    pub(crate) fn free_capacity(&self, machine: &Machine) -> Resources {
        self.capacity_left(machine).free
    }

    /// Free capacity of a machine, and the capacity held by attempts that are being stopped. The result is cached in
    /// the machine until one of its attempts changes.
    pub(crate) fn capacity_left(&self, machine: &Machine) -> FreeCapacity {
        let left = machine
            .free_resources
            .get()
            .unwrap_or_else(|| self.count_capacity_left(machine));
        machine.free_resources.set(Some(left));
        left
    }

    fn count_capacity_left(&self, machine: &Machine) -> FreeCapacity {
        if machine.orphans.iter().any(|orphan| !orphan.exited) {
            // The demand of a job without a record is unknown: nothing counts as free.
            return FreeCapacity::default();
        }
        let (mut free, mut stopping) = (machine.total, Resources::default());
        // Attempts are sorted by job, so that one lookup serves all attempts of a job.
        let mut last: Option<(JobId, Resources)> = None;
        for (key, attempt) in machine.attempts.iter().filter(|(_, a)| a.holds_resources()) {
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
        FreeCapacity {
            free,
            stopping,
            report_bytes: machine.report_bytes_left(&self.jobs),
        }
    }
}
