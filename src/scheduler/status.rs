//! What the leader tells of jobs and of its machines.

use super::SchedulerState;
use crate::invariants::violation_count;
use crate::jobs::{FinalWrite, JobId, JobView, LocalStatus, ViewState};
use crate::time::Moment;
use crate::workers::wire::TaskStatus;
use crate::workers::{AttemptKey, DesiredState};
use std::collections::BTreeMap;

impl SchedulerState {
    pub fn view(&self, id: &str) -> LocalStatus {
        let (Some(job_id), Some(job)) = (self.jobs.find(id), self.jobs.get(id)) else {
            return LocalStatus::Nothing;
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

    fn running_of(&self, id: JobId) -> u32 {
        self.machines
            .values()
            .flat_map(|m| m.attempts.range(AttemptKey::all_of(id)))
            .filter(|(_, a)| a.status == Some(TaskStatus::Running))
            .count() as u32
    }

    /// One line on orders that went straight to workers, and those in doubt.
    pub fn command_summary(&self) -> String {
        let counters = &self.fencing.counters;
        format!(
            "orders: direct_calls={} starts_in_doubt={} ended_by_token={} ended_by_session={} \
             machines_in_doubt={} tokens_raised={} heartbeats_withheld={} invariants_violated={}",
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
    pub fn summary(&self, now: Moment) -> String {
        let (mut total, mut free, mut unusable) = (0, 0, 0);
        let mut by_state: BTreeMap<&str, i64> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.last_seen.is_some()) {
            total += m.total.cpu;
            if self.usable(m, now) {
                free += self.free_room(m).cpu;
            } else {
                unusable += m.total.cpu;
            }
            for (key, a) in m.attempts.iter().filter(|(_, a)| a.holds_resources()) {
                let state = match (a.desired, a.status) {
                    (DesiredState::Stop { .. }, _) => "stopping",
                    (_, None) => "starting",
                    (_, Some(TaskStatus::Fetching)) => "fetching",
                    (_, Some(TaskStatus::Running)) => "running",
                    _ => "other",
                };
                let need = self
                    .jobs
                    .table
                    .get(&key.job)
                    .map_or(0, |j| j.spec.demand.cpu);
                *by_state.entry(state).or_insert(0) += need;
            }
        }
        let waiting: i64 = self
            .jobs
            .table
            .values()
            .map(|j| j.spec.demand.cpu * i64::from(j.ready()))
            .sum();
        let by_state: Vec<String> = by_state
            .iter()
            .map(|(state, cpu)| format!("{} {state}", cpu / 1000))
            .collect();
        format!(
            "CPUs: {} up, {} on machines that take no work, {} free, {}; {} waited for by {} jobs",
            total / 1000,
            unusable / 1000,
            free / 1000,
            by_state.join(", "),
            waiting / 1000,
            self.jobs.table.len()
        )
    }
}
