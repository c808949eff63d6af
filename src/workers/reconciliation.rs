//! Reconciliation of the leader's state with a worker's report, which arrives as a heartbeat or as the answer to a
//! direct call: which attempts the machine holds, which have ended, and which never started.

use super::wire::{Heartbeat, ReportedTask, TaskStatus};
use super::{AgentEpoch, AttemptKey, DesiredState, FencingToken, Machine, Orphan};
use crate::invariants::{self, Invariant};
use crate::placement::Resources;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use std::collections::BTreeSet;

/// Message in which a worker's report reached the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportSource {
    /// A heartbeat.
    Heartbeat,
    /// The answer to a direct call.
    DirectCall,
}

impl SchedulerState {
    /// Reconciles the state of a known machine with a report that is newer than the last reconciled one.
    pub(super) fn reconcile(&mut self, report: &Heartbeat, source: ReportSource, now: Moment) {
        self.end_older_epoch(report, now);
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        let total = self.provisioning.capacity_of(&report.type_name);
        machine.update_from_report(report, total, now);
        let is_reconciled_now = machine.note_seen_fencing_token(report.fencing_token, self.term);
        self.placement.due |= is_reconciled_now;
        self.settle_starts(&report.machine, now);
        self.reconcile_tasks(report, source, now);
        self.drain_preempted(&report.machine, now);
    }

    /// Ends the machine's current agent epoch if the report belongs to a newer one. The lease of the newer one counts
    /// from its first report: the epoch may have begun just before, whether or not the report is answered.
    fn end_older_epoch(&mut self, report: &Heartbeat, now: Moment) {
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        let current = machine.agent_epoch();
        if report.agent_epoch <= current {
            return;
        }
        machine.lease_renewed_at = now;
        if current == AgentEpoch::UNKNOWN {
            return;
        }
        // The worker may have been disconnected or stopped. It may also send heartbeats without receiving the replies.
        machine.note_undelivered(now);
        self.end_epoch(&report.machine);
    }

    /// Preempts the attempts that can't finish before the cloud preempts the machine. Their tasks can then start
    /// on other machines at once, rather than after the machine's lease has expired.
    fn drain_preempted(&mut self, name: &str, now: Moment) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let Some(preempted_at) = machine.preempted_at else {
            return;
        };
        let unfinishable: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.holds_resources())
            .filter(|(_, attempt)| attempt.desired == DesiredState::Run)
            .filter(|(key, attempt)| {
                let job = self.jobs.table.get(&key.job);
                let run_time = job.map_or(Micros::ZERO, |job| self.expected_run_time(job));
                attempt.running_since.unwrap_or(now) + run_time > preempted_at
            })
            .map(|(key, _)| *key)
            .collect();
        for key in unfinishable {
            self.preempt_attempt(name, key);
        }
    }

    /// Reconciles the attempts on the machine with the report's list of tasks, which is always complete.
    fn reconcile_tasks(&mut self, report: &Heartbeat, source: ReportSource, now: Moment) {
        let was_full = self.is_report_full(&report.machine);
        let mut reported = BTreeSet::new();
        let mut orphans = Vec::new();
        for task in &report.tasks {
            match self.attempt_key(task) {
                Some(key) => {
                    reported.insert(key);
                    self.reconcile_task(report, key, task, now);
                }
                None => {
                    self.check_orphan(&report.machine, task, now);
                    orphans.push(Orphan {
                        task_id: task.task_id.clone(),
                        attempt: task.attempt,
                        exited: task.status == TaskStatus::Exited,
                    });
                }
            }
        }
        self.drop_missing_attempts(report, &reported, source, now);
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        machine.orphans = orphans;
        machine.free_resources.set(None);
        if machine.is_busy() {
            machine.idle_since = None;
        } else {
            machine.idle_since.get_or_insert(now);
        }
        self.placement.due |= was_full && !self.is_report_full(&report.machine);
    }

    fn is_report_full(&self, name: &str) -> bool {
        let machine = self.machines.get(name);
        machine.is_some_and(|machine| machine.is_report_full(&self.jobs))
    }

    /// Key of the reported attempt; `None` if its job is unknown.
    fn attempt_key(&self, task: &ReportedTask) -> Option<AttemptKey> {
        let (job_id, number) = task.parts()?;
        Some(AttemptKey {
            job: self.jobs.find(job_id)?,
            task: number,
            attempt: task.attempt,
        })
    }

    /// Checks that an attempt of an unknown job isn't one that this leader started. Such an attempt would belong to
    /// a job that this leader has retired, and a job is retired only once none of its attempts can be left.
    fn check_orphan(&self, machine: &str, task: &ReportedTask, now: Moment) {
        let known = self.machines.get(machine);
        // The first report of a machine may be a duplicate of a very old one.
        let is_known = known.is_some_and(|m| m.known_since < now);
        let is_running = task.status != TaskStatus::Exited;
        if is_known && is_running && task.attempt >> 32 == self.term {
            invariants::report_violation(
                Invariant::ReleasedWithoutProof,
                format_args!(
                    "machine={machine} task={} attempt={}",
                    task.task_id, task.attempt
                ),
            );
        }
    }
}

impl Machine {
    /// Copies the report's data about the machine itself.
    fn update_from_report(&mut self, report: &Heartbeat, total: Resources, now: Moment) {
        self.reconciled_position = report.position();
        self.unreachable = false;
        if self.last_seen.is_none() {
            self.known_since = now;
        }
        self.last_seen = Some(now);
        self.addr.clone_from(&report.addr);
        self.type_name.clone_from(&report.type_name);
        self.zone.clone_from(&report.zone);
        self.spot = report.spot;
        self.total = total;
        self.has_preemption_notice = report.preemption_notice_s.is_some();
        self.preempted_at = report
            .preemption_notice_s
            .map(|notice_s| now + Micros::from_secs_f64(notice_s.0));
    }

    /// Stores the highest fencing token that the worker has seen. Returns true if this completes the
    /// reconciliation of the machine in this term.
    fn note_seen_fencing_token(&mut self, fencing_token: FencingToken, term: u64) -> bool {
        self.seen_fencing_token = self.seen_fencing_token.max(fencing_token);
        if self.reconciled || fencing_token < FencingToken::of_term(term) {
            return false;
        }
        self.reconciled = true;
        log::debug!(machine = self.name, term = term; "machine reconciled");
        true
    }
}
