//! Resource usage of teams, and the quota that their limits leave.

use super::Resources;
use crate::scheduler::SchedulerState;

/// Amount of memory in a team's remaining quota, since quotas limit CPUs and GPUs only. Sums with this amount stay far
/// from an overflow.
const UNLIMITED_RAM: i64 = i64::MAX / 4;

impl SchedulerState {
    /// Resources used by each team's tasks, in the order of the configured teams.
    ///
    /// Tasks that unreconciled machines may still run count as well, but with no more than those machines can hold,
    /// since a worker refuses tasks that don't fit.
    pub(super) fn team_usage(&self) -> Vec<Resources> {
        let mut used = vec![Resources::default(); self.config.teams.len()];
        let mut unreconciled = used.clone();
        for job in self.jobs.table.values() {
            let Some(team) = job.team else { continue };
            let demand = job.spec.demand;
            used[team] = used[team].plus(demand.scaled(i64::from(job.bound_attempts())));
            if job.unreconciled_below > 0 {
                let held = demand.scaled(i64::from(job.maybe_unreconciled()));
                unreconciled[team] = unreconciled[team].plus(held);
            }
        }
        let most = self.unreconciled_capacity();
        let with_unreconciled = |(used, unreconciled): (&Resources, Resources)| {
            used.plus(most.map_or(unreconciled, |most| unreconciled.min(most)))
        };
        used.iter()
            .zip(unreconciled)
            .map(with_unreconciled)
            .collect()
    }

    /// Total capacity of all unreconciled machines; `None` if it isn't known which machines these are, or while the
    /// catalog is empty. A machine of unknown size counts with the largest amount of each resource in the catalog.
    fn unreconciled_capacity(&self) -> Option<Resources> {
        if self.prior_term.pages_unreadable {
            return None;
        }
        let types = self.provisioning.catalog.iter().map(|t| t.capacity);
        let largest = types.reduce(Resources::max)?;
        let capacity = |name: &String| match self.machines.get(name) {
            Some(m) if m.total.cpu > 0 => m.total,
            _ => largest,
        };
        let all = self.prior_term.unreconciled.iter().map(capacity);
        Some(all.fold(Resources::default(), Resources::plus))
    }

    /// Resources that each team may still use within its limit, in the order of the configured teams.
    pub(crate) fn quota_left(&self) -> Vec<Resources> {
        self.quota_left_after(&self.team_usage())
    }

    /// Resources that each team may still use beside the given usage.
    pub(super) fn quota_left_after(&self, used: &[Resources]) -> Vec<Resources> {
        used.iter()
            .zip(&self.config.teams)
            .map(|(used, team)| {
                let limit = Resources::capacity(team.cpus_max, team.gpus_max, 0.0);
                Resources {
                    ram: UNLIMITED_RAM,
                    ..limit.minus(*used)
                }
            })
            .collect()
    }

    /// Thousandths of a CPU that each team uses beyond its guarantee; negative if it uses less.
    pub(super) fn borrowed_cpu(&self, used: &[Resources]) -> Vec<i64> {
        used.iter()
            .zip(&self.config.teams)
            .map(|(used, team)| used.cpu - Resources::capacity(team.cpus, 0.0, 0.0).cpu)
            .collect()
    }
}
