//! Status of jobs in the leader's memory, and log summaries of commands and capacity.

use super::SchedulerState;
use crate::invariants::violation_count;
#[cfg(debug_assertions)]
use crate::jobs::JobId;
use crate::jobs::{FinalWrite, JobView, LocalStatus, ViewState};
use crate::time::Moment;
use crate::workers::wire::TaskStatus;
use crate::workers::{Attempt, DesiredState};
use std::collections::BTreeMap;

/// Amounts of CPU are counted in thousandths.
const MILLICPUS_PER_CPU: i64 = 1000;

impl SchedulerState {
    /// Status of a job in this leader's memory. `id` is the id that the user gave the job.
    pub fn job_status(&self, id: &str) -> LocalStatus {
        let Some(job) = self.jobs.get(id) else {
            return LocalStatus::Unknown;
        };
        if let Some(outcome) = job.outcome {
            return LocalStatus::View(JobView::of_final(outcome, job.spec.tasks));
        }
        if job.final_write != FinalWrite::Idle {
            return LocalStatus::FinalWriteInFlight;
        }
        let running = if job.is_bound() {
            job.running_attempts()
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

    /// Panics if the number of running attempts that a job keeps differs from that of the attempts on all machines.
    #[cfg(debug_assertions)]
    pub(super) fn check_running_attempts(&self) {
        let mut counted: BTreeMap<JobId, u32> = BTreeMap::new();
        let attempts = self.machines.values().flat_map(|m| m.attempts.iter());
        for (key, _) in attempts.filter(|(_, a)| a.is_running()) {
            *counted.entry(key.job).or_insert(0) += 1;
        }
        for (id, job) in &self.jobs.table {
            let counted = counted.get(id).copied().unwrap_or(0);
            assert_eq!(job.running_attempts(), counted, "job {}", job.spec.id);
        }
    }

    /// Log line that summarizes direct calls, unconfirmed starts and violated invariants.
    pub fn command_summary(&self) -> String {
        let counters = &self.fencing.counters;
        format!(
            "commands: direct_calls={} unconfirmed_starts={} ended_by_fencing_token={} ended_by_agent_epoch={} \
             unconfirmed_machines={} fencing_tokens_raised={} blocked_clears={} heartbeats_withheld={} \
             invariants_violated={}",
            counters.calls,
            counters.unconfirmed_starts,
            counters.ended_by_token,
            counters.ended_by_epoch,
            self.fencing.unconfirmed_machine_count(),
            counters.raises,
            self.fencing.blocked_clear_count(),
            counters.withheld,
            violation_count()
        )
    }

    /// Log line that summarizes the use of CPUs, for diagnosing why tasks wait.
    pub fn capacity_summary(&self, now: Moment) -> String {
        let (mut total, mut free, mut unusable) = (0, 0, 0);
        let mut held: BTreeMap<&str, i64> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.last_seen.is_some()) {
            total += machine.total.cpu;
            if self.is_usable(machine, now) {
                free += self.free_capacity(machine).cpu;
            } else {
                unusable += machine.total.cpu;
            }
            for (key, attempt) in machine.attempts.iter().filter(|(_, a)| a.holds_resources()) {
                let job = self.jobs.table.get(&key.job);
                let demand = job.map_or(0, |j| j.spec.demand.cpu);
                *held.entry(attempt_phase(attempt)).or_insert(0) += demand;
            }
        }
        let jobs = self.jobs.table.values();
        let waiting: i64 = jobs.map(|j| j.spec.demand.cpu * i64::from(j.ready())).sum();
        let held: String = held
            .iter()
            .map(|(phase, cpu)| format!(" {phase}={}", cpu / MILLICPUS_PER_CPU))
            .collect();
        format!(
            "CPUs: up={} unusable={} free={}{held} waiting={} jobs={}",
            total / MILLICPUS_PER_CPU,
            unusable / MILLICPUS_PER_CPU,
            free / MILLICPUS_PER_CPU,
            waiting / MILLICPUS_PER_CPU,
            self.jobs.table.len()
        )
    }
}

/// Name of the attempt's phase in the capacity summary.
fn attempt_phase(attempt: &Attempt) -> &'static str {
    match (attempt.desired, attempt.status) {
        (DesiredState::Stop { .. }, _) => "stopping",
        (_, None) => "starting",
        (_, Some(TaskStatus::Fetching)) => "fetching",
        (_, Some(TaskStatus::Running)) => "running",
        _ => "other",
    }
}
