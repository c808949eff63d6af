//! What a worker's report shows of one attempt.

use super::attempt::MIN_COUNTED_RUN;
use super::exits::{Exit, settle_exit};
use super::wire::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use super::{Attempt, AttemptKey, DesiredState};
use crate::invariants::{self, Invariant};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

impl SchedulerState {
    /// Reconciles one reported attempt of a known job.
    pub(super) fn reconcile_task(
        &mut self,
        report: &Heartbeat,
        key: AttemptKey,
        task: &ReportedTask,
        now: Moment,
    ) {
        let cache_gb = self.provisioning.cache_gb_of(&report.type_name);
        let (Some(job), Some(machine)) = (
            self.jobs.table.get_mut(&key.job),
            self.machines.get_mut(&report.machine),
        ) else {
            return;
        };
        let known = machine.attempts.get(&key).cloned();
        let mut attempt = known.unwrap_or_else(|| discover_attempt(job, key, task, now));
        let previous = attempt.status.replace(task.status);
        if previous.is_none() {
            check_first_report(
                job,
                task,
                &report.machine,
                self.config.cancellation_bound,
                now,
            );
        }
        note_running(job, &mut attempt, now);
        stop_unwanted(job, key, &mut attempt);
        let mut run_time = None;
        if task.status == TaskStatus::Exited && previous != Some(TaskStatus::Exited) {
            let exit = Exit {
                key,
                exit_reason: task.exit_reason.unwrap_or(ExitReason::Other),
                at: now,
            };
            let effect = settle_exit(&exit, job, machine, &mut attempt);
            self.placement.due = true;
            self.writes_due |= effect.completes_job;
            run_time = effect.run_time;
        }
        let is_cached = task.status == TaskStatus::Running || attempt.done;
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        machine.images.note_use(image, gb, is_cached, cache_gb, now);
        machine.attempts.insert(key, attempt);
        if let Some(run_time) = run_time {
            self.record_run_time(key.job, run_time);
        }
    }
}

/// The state of an attempt that this leader doesn't know yet: an earlier leader's, or one whose start was
/// taken for lost.
fn discover_attempt(job: &mut Job, key: AttemptKey, task: &ReportedTask, now: Moment) -> Attempt {
    let bound = task.status != TaskStatus::Exited;
    if bound {
        job.bind(key.task);
    }
    Attempt::discovered(bound, now)
}

/// Checks that an attempt that is reported for the first time isn't of a job whose cancellation must be
/// complete by now.
fn check_first_report(
    job: &Job,
    task: &ReportedTask,
    machine: &str,
    cancel_time: Micros,
    now: Moment,
) {
    let is_late = job
        .cancel_requested_at
        .is_some_and(|at| now - at > cancel_time);
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

/// Notes since when the attempt runs, and whether its job counts as begun.
fn note_running(job: &mut Job, attempt: &mut Attempt, now: Moment) {
    if attempt.status == Some(TaskStatus::Running) {
        attempt.running_since.get_or_insert(now);
    }
    let Some(since) = attempt.running_since else {
        return;
    };
    if !job.ran_long_enough && now - since > MIN_COUNTED_RUN {
        job.ran_long_enough = true;
        let waited = since - job.accepted_at;
        log::debug!(
            job = job.spec.id,
            waited_s = waited.as_secs_f64();
            "job began"
        );
    }
}

/// Nobody needs the results of a closed job's attempts, or of those of a task that is done.
fn stop_unwanted(job: &Job, key: AttemptKey, attempt: &mut Attempt) {
    let is_unwanted = job.is_closed() || job.done.contains(key.task);
    if is_unwanted
        && attempt.status != Some(TaskStatus::Exited)
        && attempt.desired == DesiredState::Run
    {
        attempt.desired = DesiredState::KILL;
    }
}
