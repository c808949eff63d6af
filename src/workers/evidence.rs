//! What a report proves: which attempts a machine holds, which ended, and which never began.

use super::exits::{Exit, settle_exit};
use super::wire::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use super::{Attempt, AttemptKey, DesiredState, Orphan};
use crate::invariants::{self, Invariant};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use std::collections::BTreeSet;

/// A start that is stopped sooner doesn't count as one.
pub(super) const COUNTS_AFTER: Micros = Micros::from_secs(30);

impl SchedulerState {
    /// Takes in a report that is newer than what is known. `checked_in`: it came as a heartbeat,
    /// not as the answer of a direct call.
    pub(super) fn take_in(&mut self, report: &Heartbeat, by_heartbeat: bool, now: Moment) {
        let Some(machine) = self.machines.get(&report.machine) else {
            return;
        };
        let new_session = report.agent_epoch > machine.agent_epoch && machine.agent_epoch > 0;
        if new_session {
            self.end_epoch(&report.machine);
        }
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        if new_session {
            // It may have been away. It may also hear nothing of what is answered.
            machine.note_loss(now);
        }
        machine.agent_epoch = report.agent_epoch;
        machine.sequence = report.sequence;
        machine.lost = false;
        if machine.last_report.is_none() {
            machine.known_since = now;
        }
        machine.last_report = Some(now);
        machine.addr.clone_from(&report.addr);
        machine.type_name.clone_from(&report.type_name);
        machine.zone.clone_from(&report.zone);
        machine.spot = report.spot;
        machine.total = self.provisioning.capacity_of(&report.type_name);
        machine.has_preemption_notice = report.preemption_notice_s.is_some();
        machine.preempted_at = report
            .preemption_notice_s
            .map(|s| now + Micros::from_secs_f64(s.0));
        machine.seen_fencing_token = machine.seen_fencing_token.max(report.fencing_token);
        if !machine.reconciled && report.fencing_token >= self.term {
            machine.reconciled = true;
            log::debug!("machine {} counted in", machine.name);
            self.placement.due = true;
        }
        self.settle_doubts(&report.machine, now);
        self.apply_tasks(report, by_heartbeat, now);
        self.drain_recalled(&report.machine, now);
    }

    /// Stops what can't finish before the cloud takes the machine: elsewhere it can start at
    /// once, instead of when the loss of the machine is certain.
    fn drain_recalled(&mut self, name: &str, now: Moment) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let Some(preempted_at) = machine.preempted_at else {
            return;
        };
        let doomed: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(_, a)| a.holds() && a.desired == DesiredState::Run)
            .filter(|(k, a)| {
                let run = self
                    .jobs
                    .table
                    .get(&k.0)
                    .map_or(Micros::ZERO, |j| self.expected_run_time(j));
                a.running_since.unwrap_or(now) + run > preempted_at
            })
            .map(|(k, _)| *k)
            .collect();
        for key in doomed {
            self.preempt_attempt(name, key);
        }
    }

    /// Takes in a report's list of tasks, as a whole.
    fn apply_tasks(&mut self, report: &Heartbeat, by_heartbeat: bool, now: Moment) {
        let mut shown = BTreeSet::new();
        let mut orphans = Vec::new();
        for task in &report.tasks {
            match self.key_of(task) {
                Some(key) => {
                    shown.insert(key);
                    self.take_task(report, key, task, now);
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
        self.drop_absent(report, &shown, by_heartbeat, now);
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        machine.orphans = orphans;
        machine.rooms.set(None);
        if machine.busy() {
            machine.idle_since = None;
        } else {
            machine.idle_since.get_or_insert(now);
        }
    }

    /// The attempt that a worker tells of, if its job is known.
    fn key_of(&self, task: &ReportedTask) -> Option<AttemptKey> {
        let (id, number) = task.parts()?;
        Some((self.jobs.find(id)?, number, task.attempt))
    }

    /// What one task's line in a report shows.
    fn take_task(&mut self, report: &Heartbeat, key: AttemptKey, task: &ReportedTask, now: Moment) {
        let (job_id, number, _) = key;
        let cache_gb = self.provisioning.cache_gb_of(&report.type_name);
        let (Some(job), Some(machine)) = (
            self.jobs.table.get_mut(&job_id),
            self.machines.get_mut(&report.machine),
        ) else {
            return;
        };
        let known = machine.attempts.get(&key).cloned();
        let mut attempt = known.unwrap_or_else(|| found_attempt(job, number, task, now));
        let before = attempt.status.replace(task.status);
        if before.is_none() {
            check_start(
                job,
                task,
                &report.machine,
                self.config.cancellation_bound,
                now,
            );
        }
        note_running(job, &mut attempt, now);
        stop_unwanted(job, number, &mut attempt);
        let mut ran = None;
        if task.status == TaskStatus::Exited && before != Some(TaskStatus::Exited) {
            let exit = Exit {
                key,
                exit_reason: task.exit_reason.unwrap_or(ExitReason::Other),
                at: now,
            };
            let effect = settle_exit(&exit, job, machine, &mut attempt);
            self.placement.due = true;
            self.writes_due |= effect.completes_job;
            ran = effect.ran;
        }
        let (image, gb) = (job.spec.image.clone(), job.spec.image_gb);
        let is_cached = task.status == TaskStatus::Running || attempt.done;
        machine.note_image(&image, gb, is_cached, cache_gb, now);
        machine.attempts.insert(key, attempt);
        if let Some(ran) = ran {
            self.record_run_time(job_id, ran);
        }
    }

    /// A job that this leader let go must not run: nothing of it could be left.
    fn check_orphan(&self, machine: &str, task: &ReportedTask, now: Moment) {
        let own = self.machines.get(machine);
        // The first thing heard of a machine may be a copy of what was long ago.
        let is_known = own.is_some_and(|m| m.known_since < now);
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

/// An earlier leader's attempt, or one of an order thought lost.
fn found_attempt(job: &mut Job, number: u32, task: &ReportedTask, now: Moment) -> Attempt {
    let bound = task.status != TaskStatus::Exited;
    if bound {
        job.bind(number);
    }
    Attempt::new(bound, now)
}

/// A task shows up for the first time: not of a job whose cancellation must be complete.
fn check_start(job: &Job, task: &ReportedTask, machine: &str, cancel: Micros, now: Moment) {
    let is_late = job.cancel_requested_at.is_some_and(|at| now - at > cancel);
    if is_late && task.status != TaskStatus::Exited {
        invariants::report_violation(
            Invariant::CancelledTaskStartedLate,
            format_args!(
                "machine={machine} task={} attempt={}",
                task.task_id, task.attempt
            ),
        );
    }
}

/// Since when it runs, and whether its job has begun by that.
fn note_running(job: &mut Job, attempt: &mut Attempt, now: Moment) {
    if attempt.status == Some(TaskStatus::Running) {
        attempt.running_since.get_or_insert(now);
    }
    let Some(since) = attempt.running_since else {
        return;
    };
    if !job.ran_long_enough && now - since > COUNTS_AFTER {
        job.ran_long_enough = true;
        let waited = since - job.accepted_at;
        log::debug!("{} began after {} s", job.spec.id, waited.as_secs_f64());
    }
}

/// Nobody has a use for what a closed job's task does, or one that is done.
fn stop_unwanted(job: &Job, number: u32, attempt: &mut Attempt) {
    let is_unwanted = job.is_closed() || job.done.contains(number);
    if is_unwanted
        && attempt.status != Some(TaskStatus::Exited)
        && attempt.desired == DesiredState::Run
    {
        attempt.desired = DesiredState::Stop {
            grace_period: Micros::ZERO,
        };
    }
}
