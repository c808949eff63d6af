//! Preemption: which attempts are stopped so that more important work gets their capacity.

use super::pass_state::{PlacementPass, PreemptableAttempt};
use super::zones::TasksByZone;
use super::{QueueOrder, Resources};
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::wire::TaskStatus;
use crate::workers::{Attempt, AttemptKey, DesiredState};
use std::collections::BTreeMap;

/// Added to the time that a task takes to save a checkpoint.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

/// A job that looks for capacity.
struct Preemptor<'a> {
    job: &'a Job,
    team: usize,
    /// It fits into its team's guarantee, and so may take back what other teams borrowed.
    within_guarantee: bool,
    zones: TasksByZone,
}

/// What preempting some attempts on one machine would free.
struct Gathered {
    /// The capacity promised once they have left.
    capacity: Resources,
    /// Their indices among the preemptable attempts.
    attempts: Vec<usize>,
}

/// An attempt to be preempted.
struct Preemption {
    machine: String,
    attempt: AttemptKey,
}

impl Preemptor<'_> {
    /// True if the job may take the attempt's place.
    ///
    /// That is only what comes later in the queue order: what fits into its own team's guarantee would preempt
    /// the same work in turn, since both teams may have borrowed, again and again.
    fn may_preempt(&self, attempt: &PreemptableAttempt, pass: &PlacementPass) -> bool {
        let is_borrowed = || {
            self.within_guarantee
                && attempt.team != self.team
                && attempt.priority <= self.job.spec.priority
                && pass.over_guarantee.contains(&attempt.key.job)
                && pass.borrowed_cpu[attempt.team] >= attempt.demand.cpu
        };
        !attempt.preempted && (attempt.priority < self.job.spec.priority || is_borrowed())
    }

    /// False if nothing can be preempted for the job: most jobs that wait needn't look at all that runs.
    fn may_preempt_anything(&self, pass: &PlacementPass) -> bool {
        let lower = pass
            .lowest_bound
            .is_some_and(|lowest| lowest < self.job.spec.priority);
        let mut teams = pass.borrowed_cpu.iter().enumerate();
        let others_borrow = |(team, borrowed): (usize, &i64)| team != self.team && *borrowed > 0;
        lower || (self.within_guarantee && teams.any(others_borrow))
    }
}

impl PlacementPass {
    /// Promises a candidate's capacity to as many of `waiting` tasks as it holds; returns how many still wait.
    fn promise(&mut self, candidate: usize, demand: Resources, mut waiting: u32) -> u32 {
        let candidate = &mut self.candidates[candidate];
        while waiting > 0 && demand.fits(candidate.promised) {
            candidate.promised = candidate.promised.minus(demand);
            waiting -= 1;
        }
        waiting
    }
}

impl SchedulerState {
    /// Preempts lower work, or work that others borrowed capacity for, where that lets waiting tasks start.
    pub(super) fn preempt_for(
        &mut self,
        order: QueueOrder,
        id: JobId,
        waiting: u32,
        pass: &mut PlacementPass,
        now: Moment,
    ) {
        for preemption in self.plan_preemptions(order, id, waiting, pass, now) {
            self.preempt_attempt(&preemption.machine, preemption.attempt);
        }
    }

    fn plan_preemptions(
        &self,
        order: QueueOrder,
        id: JobId,
        waiting: u32,
        pass: &mut PlacementPass,
        now: Moment,
    ) -> Vec<Preemption> {
        let Some(job) = self.jobs.table.get(&id) else {
            return Vec::new();
        };
        let Some(team) = job.team else {
            return Vec::new();
        };
        let mut preemptor = Preemptor {
            job,
            team,
            within_guarantee: !order.over_guarantee,
            zones: TasksByZone::new(),
        };
        if !preemptor.may_preempt_anything(pass) {
            return Vec::new();
        }
        preemptor.zones = self.tasks_by_zone(id);
        let waiting = waiting.min(pass.quota_left[team].count_of(job.spec.demand));
        let waiting = self.await_capacity(&preemptor, waiting, pass);
        if waiting == 0 {
            return Vec::new();
        }
        let mut attempts = match pass.preemptable.take() {
            Some(attempts) => attempts,
            None => self.preemptable_attempts(pass, now),
        };
        let preemptions = self.choose_preemptions(&preemptor, waiting, &mut attempts, pass);
        pass.preemptable = Some(attempts);
        preemptions
    }

    /// True if the preemptor's tasks may run on the candidate, as far as anything but capacity goes.
    fn allows_candidate(
        &self,
        preemptor: &Preemptor<'_>,
        candidate: usize,
        pass: &PlacementPass,
    ) -> bool {
        preemptor.job.spec.is_unconstrained()
            || self
                .machines
                .get(&pass.candidates[candidate].name)
                .is_some_and(|m| preemptor.job.allows_machine(m, &preemptor.zones))
    }

    /// Capacity that is being freed already is waited for: nothing is preempted twice for it. Returns how many
    /// tasks it isn't enough for.
    fn await_capacity(
        &self,
        preemptor: &Preemptor<'_>,
        mut waiting: u32,
        pass: &mut PlacementPass,
    ) -> u32 {
        for i in 0..pass.freeing.len() {
            let candidate = pass.freeing[i];
            if self.allows_candidate(preemptor, candidate, pass) {
                waiting = pass.promise(candidate, preemptor.job.spec.demand, waiting);
            }
        }
        waiting
    }

    /// What could be preempted for anything that waits, the least loss first.
    fn preemptable_attempts(&self, pass: &PlacementPass, now: Moment) -> Vec<PreemptableAttempt> {
        let mut preemptable = Vec::new();
        for (index, candidate) in pass.candidates.iter().enumerate() {
            let Some(m) = self.machines.get(&candidate.name) else {
                continue;
            };
            if candidate.reserved {
                continue;
            }
            for (key, attempt) in &m.attempts {
                let Some(job) = self.jobs.table.get(&key.job) else {
                    continue;
                };
                let Some(team) = job.team else { continue };
                if !self.is_preemptable(job, team, attempt, pass, now) {
                    continue;
                }
                let ran = (now - attempt.running_since.unwrap_or(now)).0;
                preemptable.push(PreemptableAttempt {
                    lost: ran.saturating_mul(job.spec.demand.cpu as u64),
                    candidate: index,
                    key: *key,
                    demand: job.spec.demand,
                    team,
                    priority: job.spec.priority,
                    preempted: false,
                });
            }
        }
        preemptable.sort_unstable_by_key(|a| (a.lost, a.candidate, a.key));
        preemptable
    }

    /// True if something that waits might take the attempt's place.
    fn is_preemptable(
        &self,
        job: &Job,
        team: usize,
        attempt: &Attempt,
        pass: &PlacementPass,
        now: Moment,
    ) -> bool {
        let runs = attempt.holds_resources()
            && attempt.desired == DesiredState::Run
            && attempt.status != Some(TaskStatus::Flushing);
        // What begins after too long a wait would else be preempted at once, again and again.
        let begins_late =
            !job.ran_long_enough && now - job.accepted_at > self.config.max_queue_wait;
        if !runs || attempt.protected || begins_late {
            return false;
        }
        let priority = Some(job.spec.priority);
        priority < pass.highest_waiting.any
            || (priority <= pass.highest_waiting.within_guarantee && pass.borrowed_cpu[team] > 0)
    }

    /// Chooses what is preempted so that as many waiting tasks as possible can start.
    ///
    /// On each machine nothing is preempted unless it frees enough together. What is preempted in vain starts
    /// again in the capacity that it left, and is preempted again, without end, where the rest of a machine
    /// can't be preempted.
    fn choose_preemptions(
        &self,
        preemptor: &Preemptor<'_>,
        mut waiting: u32,
        attempts: &mut [PreemptableAttempt],
        pass: &mut PlacementPass,
    ) -> Vec<Preemption> {
        let demand = preemptor.job.spec.demand;
        let mut gathered: BTreeMap<usize, Gathered> = BTreeMap::new();
        let mut preemptions = Vec::new();
        for i in 0..attempts.len() {
            if waiting == 0 {
                break;
            }
            let candidate = attempts[i].candidate;
            if !preemptor.may_preempt(&attempts[i], pass)
                || !self.allows_candidate(preemptor, candidate, pass)
            {
                continue;
            }
            let on_machine = gathered.entry(candidate).or_insert_with(|| Gathered {
                capacity: pass.candidates[candidate].promised,
                attempts: Vec::new(),
            });
            on_machine.capacity = on_machine.capacity.plus(attempts[i].demand);
            on_machine.attempts.push(i);
            if !demand.fits(on_machine.capacity) {
                continue;
            }
            for preempted in on_machine.attempts.drain(..) {
                let attempt = &mut attempts[preempted];
                attempt.preempted = true;
                pass.borrowed_cpu[attempt.team] -= attempt.demand.cpu;
                preemptions.push(Preemption {
                    machine: pass.candidates[candidate].name.clone(),
                    attempt: attempt.key,
                });
            }
            if pass.candidates[candidate].promised == pass.candidates[candidate].free {
                pass.freeing.push(candidate);
            }
            pass.candidates[candidate].promised = on_machine.capacity;
            waiting = pass.promise(candidate, demand, waiting);
            on_machine.capacity = pass.candidates[candidate].promised;
        }
        preemptions
    }

    /// Wants one attempt stopped, with time to save a checkpoint where its job makes any.
    pub fn preempt_attempt(&mut self, machine: &str, key: AttemptKey) {
        let Some(job) = self.jobs.table.get(&key.job) else {
            return;
        };
        let grace_period = match job.spec.checkpoint_interval > Micros::ZERO {
            true => job.spec.checkpoint_duration + SAVE_MARGIN,
            false => Micros::ZERO,
        };
        if let Some(m) = self.machines.get_mut(machine)
            && let Some(attempt) = m.attempts.get_mut(&key)
        {
            attempt.desired = DesiredState::Stop { grace_period };
            m.free_resources.set(None);
            log::debug!(
                machine = machine,
                job = job.spec.id,
                task = key.task,
                attempt = key.attempt;
                "attempt preempted"
            );
            self.commands.due.insert(machine.to_string());
        }
    }
}
