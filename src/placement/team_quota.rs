//! What machines have left, and what teams use of their limits.

use super::{FreeCapacity, Resources};
use crate::jobs::JobId;
use crate::scheduler::SchedulerState;
use crate::workers::{DesiredState, Machine};

impl SchedulerState {
    /// What is left on a machine beside everything that may be on it.
    pub fn free_capacity(&self, m: &Machine) -> Resources {
        self.capacity_left(m).free
    }

    /// What is left on a machine, and what is being stopped there; kept until an attempt there changes.
    pub(super) fn capacity_left(&self, m: &Machine) -> FreeCapacity {
        let left = m
            .free_capacity
            .get()
            .unwrap_or_else(|| self.count_capacity_left(m));
        m.free_capacity.set(Some(left));
        left
    }

    fn count_capacity_left(&self, m: &Machine) -> FreeCapacity {
        if m.orphans.iter().any(|g| !g.exited) {
            // Nobody knows what a job without a record takes.
            return FreeCapacity::default();
        }
        let (mut free, mut stopping) = (m.total, Resources::default());
        let mut last: Option<(JobId, Resources)> = None;
        for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds()) {
            let need = match last {
                Some((id, need)) if id == key.0 => need,
                _ => match self.jobs.table.get(&key.0) {
                    Some(job) => job.spec.need,
                    None => continue,
                },
            };
            last = Some((key.0, need));
            free = free.minus(need);
            if attempt.desired != DesiredState::Run {
                stopping = stopping.plus(need);
            }
        }
        FreeCapacity { free, stopping }
    }

    /// What each team's tasks take, counting what unseen machines may still run: whatever may be
    /// there, but no more than they can hold, since a worker refuses what doesn't fit.
    pub(super) fn team_usage(&self) -> Vec<Resources> {
        let mut used = vec![Resources::default(); self.config.teams.len()];
        let mut unreconciled = used.clone();
        for job in self.jobs.table.values() {
            let Some(team) = job.team else { continue };
            let need = job.spec.need;
            used[team] = used[team].plus(need.scaled(i64::from(job.bound_attempts())));
            if job.held_below > 0 {
                unreconciled[team] =
                    unreconciled[team].plus(need.scaled(i64::from(job.maybe_unreconciled())));
            }
        }
        let most = self.unreconciled_capacity();
        let with_unseen = |(used, unreconciled): (&Resources, Resources)| {
            used.plus(most.map_or(unreconciled, |most| unreconciled.at_most(most)))
        };
        used.iter().zip(unreconciled).map(with_unseen).collect()
    }

    /// What all unseen machines together have; None if nobody knows.
    fn unreconciled_capacity(&self) -> Option<Resources> {
        if self.prior_term.watermarks_lost {
            return None;
        }
        let types = self.provisioning.catalog.iter().map(|t| t.capacity);
        let largest = types.reduce(|a, b| Resources {
            cpu: a.cpu.max(b.cpu),
            gpu: a.gpu.max(b.gpu),
            ram: a.ram.max(b.ram),
        })?;
        let room = |name: &String| match self.machines.get(name) {
            Some(m) if m.total.cpu > 0 => m.total,
            _ => largest,
        };
        let all = self.prior_term.unreconciled.iter().map(room);
        Some(all.fold(Resources::default(), Resources::plus))
    }

    /// What each team may still add. Memory isn't limited.
    pub fn quota_left(&self) -> Vec<Resources> {
        self.quota_left_beside(&self.team_usage())
    }

    pub(super) fn quota_left_beside(&self, used: &[Resources]) -> Vec<Resources> {
        used.iter()
            .zip(&self.config.teams)
            .map(|(used, t)| {
                let mut room = Resources::capacity(t.cpus_max, t.gpus_max, 0.0).minus(*used);
                room.ram = i64::MAX / 4;
                room
            })
            .collect()
    }
}
