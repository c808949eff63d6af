//! What machines have left, and what teams use of their limits.

use super::Resources;
use crate::jobs::JobId;
use crate::scheduler::SchedulerState;
use crate::workers::{DesiredState, Machine};

impl SchedulerState {
    /// What is left on a machine beside everything that may be on it.
    pub fn free_room(&self, m: &Machine) -> Resources {
        self.rooms(m).0
    }

    /// What is left on a machine, and what will be free there once what is being stopped is gone.
    pub(super) fn rooms(&self, m: &Machine) -> (Resources, Resources) {
        let rooms = m
            .free_resources
            .get()
            .unwrap_or_else(|| self.count_rooms(m));
        m.free_resources.set(Some(rooms));
        rooms
    }

    fn count_rooms(&self, m: &Machine) -> (Resources, Resources) {
        if m.orphans.iter().any(|g| !g.exited) {
            // Nobody knows what a job without a record takes.
            return (Resources::default(), Resources::default());
        }
        let (mut free, mut stopping) = (m.total, Resources::default());
        let mut last: Option<(JobId, Resources)> = None;
        for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds_resources()) {
            let need = match last {
                Some((id, need)) if id == key.job => need,
                _ => match self.jobs.table.get(&key.job) {
                    Some(job) => job.spec.demand,
                    None => continue,
                },
            };
            last = Some((key.job, need));
            free = free.minus(need);
            if attempt.desired != DesiredState::Run {
                stopping = stopping.plus(need);
            }
        }
        (free, stopping)
    }

    /// What each team's tasks take, counting what unseen machines may still run: whatever may be
    /// there, but no more than they can hold, since a worker refuses what doesn't fit.
    pub(super) fn team_use(&self) -> Vec<Resources> {
        let mut used = vec![Resources::default(); self.config.teams.len()];
        let mut unreconciled = used.clone();
        for job in self.jobs.table.values() {
            let Some(team) = job.team else { continue };
            let need = job.spec.demand;
            used[team] = used[team].plus(need.by(i64::from(job.bound_attempts())));
            if job.unreconciled_below > 0 {
                unreconciled[team] =
                    unreconciled[team].plus(need.by(i64::from(job.maybe_unreconciled())));
            }
        }
        let most = self.unseen_room();
        let with_unseen = |(used, unreconciled): (&Resources, Resources)| {
            used.plus(most.map_or(unreconciled, |most| unreconciled.at_most(most)))
        };
        used.iter().zip(unreconciled).map(with_unseen).collect()
    }

    /// What all unseen machines together have; None if nobody knows.
    fn unseen_room(&self) -> Option<Resources> {
        if self.prior_term.watermarks_lost {
            return None;
        }
        let types = self.provisioning.catalog.iter().map(|t| t.room);
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
    pub fn team_room(&self) -> Vec<Resources> {
        self.team_room_beside(&self.team_use())
    }

    pub(super) fn team_room_beside(&self, used: &[Resources]) -> Vec<Resources> {
        used.iter()
            .zip(&self.config.teams)
            .map(|(used, t)| {
                let mut room = Resources::have(t.cpus_max, t.gpus_max, 0.0).minus(*used);
                room.ram = i64::MAX / 4;
                room
            })
            .collect()
    }
}
