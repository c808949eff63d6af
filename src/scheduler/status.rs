//! What the leader tells of jobs and of its machines.

use super::SchedulerState;
use crate::invariants::violation_count;
use crate::jobs::{FinalWrite, JobId, JobView, LocalStatus, ViewState};
use crate::time::Moment;
use crate::workers::wire::TaskStatus;
use crate::workers::{Attempt, AttemptKey, DesiredState};
use std::collections::BTreeMap;

/// Thousandths in a CPU, the unit of amounts.
const CPU_UNITS: i64 = 1000;

impl SchedulerState {
    /// What this leader's memory tells of a job, by the name that its user gave it.
    pub fn job_status(&self, id: &str) -> LocalStatus {
        let (Some(job_id), Some(job)) = (self.jobs.find(id), self.jobs.get(id)) else {
            return LocalStatus::Unknown;
        };
        if let Some(outcome) = job.outcome {
            return LocalStatus::View(JobView::of_final(outcome, job.spec.tasks));
        }
        if job.final_write != FinalWrite::Idle {
            return LocalStatus::FinalWriteInFlight;
        }
        let running = if job.is_bound() {
            self.running_of(job_id)
        } else {
            0
        };
        LocalStatus::View(JobView {
            state: if running > 0 {
                ViewState::Running
            } else {
                ViewState::Queued
            },
            done: job.recorded.len(),
            running,
        })
    }

    /// How many tasks of the job run, as far as heartbeats tell.
    fn running_of(&self, id: JobId) -> u32 {
        self.machines
            .values()
            .flat_map(|m| m.attempts.range(AttemptKey::all_of(id)))
            .filter(|(_, a)| a.status == Some(TaskStatus::Running))
            .count() as u32
    }

    /// One line on commands that went straight to workers, and on starts whose delivery is unconfirmed.
    pub fn command_summary(&self) -> String {
        let counters = &self.fencing.counters;
        format!(
            "commands: direct_calls={} unconfirmed_starts={} ended_by_fencing_token={} ended_by_agent_epoch={} \
             unconfirmed_machines={} fencing_tokens_raised={} heartbeats_withheld={} invariants_violated={}",
            counters.calls,
            counters.unconfirmed_starts,
            counters.ended_by_token,
            counters.ended_by_epoch,
            self.fencing.unconfirmed_machine_count(),
            counters.raises,
            counters.withheld,
            violation_count()
        )
    }

    /// One line on where the CPUs are, for whoever wonders why work waits.
    pub fn capacity_summary(&self, now: Moment) -> String {
        let (mut total, mut free, mut unusable) = (0, 0, 0);
        let mut held: BTreeMap<&str, i64> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.last_seen.is_some()) {
            total += m.total.cpu;
            if self.usable(m, now) {
                free += self.free_capacity(m).cpu;
            } else {
                unusable += m.total.cpu;
            }
            for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds_resources()) {
                let job = self.jobs.table.get(&key.job);
                let demand = job.map_or(0, |j| j.spec.demand.cpu);
                *held.entry(attempt_phase(attempt)).or_insert(0) += demand;
            }
        }
        let jobs = self.jobs.table.values();
        let waiting: i64 = jobs.map(|j| j.spec.demand.cpu * i64::from(j.ready())).sum();
        let held: String = held
            .iter()
            .map(|(phase, cpu)| format!(" {phase}={}", cpu / CPU_UNITS))
            .collect();
        format!(
            "CPUs: up={} unusable={} free={}{held} waiting={} jobs={}",
            total / CPU_UNITS,
            unusable / CPU_UNITS,
            free / CPU_UNITS,
            waiting / CPU_UNITS,
            self.jobs.table.len()
        )
    }
}

/// What an attempt does with the CPUs that it holds, in a word.
fn attempt_phase(attempt: &Attempt) -> &'static str {
    match (attempt.desired, attempt.status) {
        (DesiredState::Stop { .. }, _) => "stopping",
        (_, None) => "starting",
        (_, Some(TaskStatus::Fetching)) => "fetching",
        (_, Some(TaskStatus::Running)) => "running",
        _ => "other",
    }
}
