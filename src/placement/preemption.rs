//! Preemption: choice of the attempts that are stopped so that jobs earlier in the queue get their capacity.

use super::pass_state::{PlacementPass, PreemptableAttempt};
use super::zones::TasksByZone;
use super::{QueueOrder, Resources};
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::wire::TaskStatus;
use crate::workers::{Attempt, AttemptKey, DesiredState};
use std::collections::BTreeMap;

/// Margin in the grace period of a preempted attempt, added to the time that a task takes to save a checkpoint.
const CHECKPOINT_MARGIN: Micros = Micros::from_secs(2);

/// A job that needs capacity held by attempts of other jobs.
struct Preemptor<'a> {
    job: &'a Job,
    team: usize,
    /// The job fits into its team's guarantee, and so may reclaim capacity that other teams have borrowed.
    within_guarantee: bool,
    zones: TasksByZone,
}

/// Attempts on one machine that are preempted together, and what that frees.
struct PreemptionSet {
    /// The machine's future free capacity once these attempts have exited.
    capacity: Resources,
    /// Indices of the attempts among the preemptable ones.
    attempts: Vec<usize>,
}

/// An attempt chosen for preemption, and its machine's name.
struct Preemption {
    machine: String,
    attempt: AttemptKey,
}

impl Preemptor<'_> {
    /// True if the job may preempt the attempt: one of lower priority, or one on borrowed capacity.
    ///
    /// Only attempts of jobs later in the queue order qualify. The attempt of a job that fits into its own team's
    /// guarantee isn't preempted as borrowed: both teams may be borrowing, and each of the two jobs would then preempt
    /// the other again and again.
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

    /// False if nothing can be preempted for the job. This spares most waiting jobs a scan of all attempts.
    fn may_preempt_anything(&self, pass: &PlacementPass) -> bool {
        let lower = pass
            .lowest_bound_priority
            .is_some_and(|lowest| lowest < self.job.spec.priority);
        let mut teams = pass.borrowed_cpu.iter().enumerate();
        let others_borrow = |(team, borrowed): (usize, &i64)| team != self.team && *borrowed > 0;
        lower || (self.within_guarantee && teams.any(others_borrow))
    }
}

impl PlacementPass {
    /// Allocates a candidate's future free capacity to as many of `waiting` tasks as fit; returns the number of tasks
    /// that remain.
    fn allocate_future_capacity(
        &mut self,
        candidate: usize,
        demand: Resources,
        mut waiting: u32,
    ) -> u32 {
        let candidate = &mut self.candidates[candidate];
        while waiting > 0 && demand.fits(candidate.future_free) {
            candidate.future_free = candidate.future_free.minus(demand);
            waiting -= 1;
        }
        waiting
    }
}

impl SchedulerState {
    /// Preempts attempts of lower priority or on borrowed capacity where that lets waiting tasks of the job start.
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
        let quota = pass.quota_for(team, job.spec.priority);
        let waiting = waiting.min(quota.task_capacity(job.spec.demand));
        let waiting = self.allocate_stopping_capacity(&preemptor, waiting, pass);
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

    /// True if the preemptor's tasks may run on the candidate, its capacity not considered.
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

    /// Allocates the capacity that attempts being stopped will free, so that no further attempts are preempted for
    /// the same tasks. Returns the number of tasks that remain.
    fn allocate_stopping_capacity(
        &self,
        preemptor: &Preemptor<'_>,
        mut waiting: u32,
        pass: &mut PlacementPass,
    ) -> u32 {
        for i in 0..pass.with_stopping.len() {
            let candidate = pass.with_stopping[i];
            if self.allows_candidate(preemptor, candidate, pass) {
                waiting =
                    pass.allocate_future_capacity(candidate, preemptor.job.spec.demand, waiting);
            }
        }
        waiting
    }

    /// Attempts that some waiting job could preempt, those that lose the least processor time first.
    fn preemptable_attempts(&self, pass: &PlacementPass, now: Moment) -> Vec<PreemptableAttempt> {
        let mut preemptable = Vec::new();
        for (index, candidate) in pass.candidates.iter().enumerate() {
            let Some(machine) = self.machines.get(&candidate.name) else {
                continue;
            };
            if candidate.reserved {
                continue;
            }
            for (key, attempt) in &machine.attempts {
                let Some(job) = self.jobs.table.get(&key.job) else {
                    continue;
                };
                let Some(team) = job.team else { continue };
                if !self.is_preemptable(job, team, attempt, pass, now) {
                    continue;
                }
                let run_time = (now - attempt.running_since.unwrap_or(now)).0;
                preemptable.push(PreemptableAttempt {
                    lost_cpu_time: run_time.saturating_mul(job.spec.demand.cpu as u64),
                    candidate: index,
                    key: *key,
                    demand: job.spec.demand,
                    team,
                    priority: job.spec.priority,
                    preempted: false,
                });
            }
        }
        preemptable.sort_unstable_by_key(|a| (a.lost_cpu_time, a.candidate, a.key));
        preemptable
    }

    /// True if some waiting job might preempt the attempt.
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
        // A job that starts only after it was overdue would otherwise be preempted at once, again and again.
        let begins_late =
            !job.ran_long_enough && now - job.accepted_at > self.config.max_queue_wait;
        if !runs || attempt.protected || begins_late {
            return false;
        }
        let priority = Some(job.spec.priority);
        priority < pass.highest_waiting.any
            || (priority <= pass.highest_waiting.within_guarantee && pass.borrowed_cpu[team] > 0)
    }

    /// Chooses the attempts to preempt so that as many waiting tasks as possible can start.
    ///
    /// Attempts on a machine are preempted only if together they free enough for a task. Otherwise, where the rest
    /// of the machine can't be preempted, the preempted tasks would start again in the capacity that they freed, and
    /// be preempted again, without end.
    fn choose_preemptions(
        &self,
        preemptor: &Preemptor<'_>,
        mut waiting: u32,
        attempts: &mut [PreemptableAttempt],
        pass: &mut PlacementPass,
    ) -> Vec<Preemption> {
        let demand = preemptor.job.spec.demand;
        let mut sets: BTreeMap<usize, PreemptionSet> = BTreeMap::new();
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
            let set = sets.entry(candidate).or_insert_with(|| PreemptionSet {
                capacity: pass.candidates[candidate].future_free,
                attempts: Vec::new(),
            });
            set.capacity = set.capacity.plus(attempts[i].demand);
            set.attempts.push(i);
            if !demand.fits(set.capacity) {
                continue;
            }
            for preempted in set.attempts.drain(..) {
                let attempt = &mut attempts[preempted];
                attempt.preempted = true;
                pass.borrowed_cpu[attempt.team] -= attempt.demand.cpu;
                preemptions.push(Preemption {
                    machine: pass.candidates[candidate].name.clone(),
                    attempt: attempt.key,
                });
            }
            if pass.candidates[candidate].future_free == pass.candidates[candidate].free {
                pass.with_stopping.push(candidate);
            }
            pass.candidates[candidate].future_free = set.capacity;
            waiting = pass.allocate_future_capacity(candidate, demand, waiting);
            set.capacity = pass.candidates[candidate].future_free;
        }
        preemptions
    }

    /// Requests the stop of one attempt, with a grace period to save a checkpoint if its job makes checkpoints.
    pub fn preempt_attempt(&mut self, machine: &str, key: AttemptKey) {
        let Some(job) = self.jobs.table.get(&key.job) else {
            return;
        };
        let grace_period = match job.spec.checkpoint_interval > Micros::ZERO {
            true => job.spec.checkpoint_duration + CHECKPOINT_MARGIN,
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
