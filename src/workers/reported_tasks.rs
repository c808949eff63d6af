//! Reconciliation of a single attempt with a worker's report.

use super::attempt::MIN_COUNTED_RUN;
use super::exits::{Exit, ExitEffect, apply_exit};
use super::wire::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use super::{Attempt, AttemptKey, DeliveryStatus, DesiredState, FencingToken};
use crate::invariants::{self, Invariant};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

impl SchedulerState {
    /// Applies the reported state of one attempt whose job is known.
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
        let start = possible_start(key, self.term, self.fencing.newest());
        let mut attempt = known.unwrap_or_else(|| discover_attempt(job, key, task, start, now));
        let was_running = attempt.is_running();
        let previous = attempt.status.replace(task.status);
        job.count_running(was_running, attempt.is_running());
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
        let mut effect = ExitEffect::default();
        if task.status == TaskStatus::Exited && previous != Some(TaskStatus::Exited) {
            let exit = Exit {
                key,
                exit_reason: task.exit_reason.unwrap_or(ExitReason::Other),
                at: now,
            };
            effect = apply_exit(&exit, job, machine, &mut attempt);
            self.placement.due = true;
            self.writes_due |= effect.completes_job;
        }
        let is_cached = task.status == TaskStatus::Running || attempt.done;
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        machine.images.note_use(image, gb, is_cached, cache_gb, now);
        machine.attempts.insert(key, attempt);
        if let Some(run_time) = effect.run_time {
            self.record_run_time(key.job, run_time);
        }
        if effect.failed {
            self.withdraw_failures_of_faulty_job(key.job);
        }
    }
}

/// Creates the state of a reported attempt that is unknown to this leader: an earlier leader started it, or its start
/// command was considered lost.
fn discover_attempt(
    job: &mut Job,
    key: AttemptKey,
    task: &ReportedTask,
    delivery: DeliveryStatus,
    now: Moment,
) -> Attempt {
    let bound = task.status != TaskStatus::Exited;
    if bound {
        job.bind(key.task);
    }
    Attempt::discovered(bound, delivery, now)
}

/// Delivery status of the start command of an attempt that this leader doesn't know. If the attempt is of this
/// leader's term, the command may have been sent in a direct call with any of its tokens so far.
fn possible_start(key: AttemptKey, term: u64, newest: FencingToken) -> DeliveryStatus {
    match key.term() == term {
        true => DeliveryStatus::Answered(newest),
        // Replies carry this leader's tokens, which are above those of earlier leaders.
        false => DeliveryStatus::Settled,
    }
}

/// Checks that an attempt that is reported for the first time doesn't belong to a job whose cancellation must be
/// complete by now.
fn check_first_report(
    job: &Job,
    task: &ReportedTask,
    machine: &str,
    cancellation_bound: Micros,
    now: Moment,
) {
    let is_late = job
        .cancel_requested_at
        .is_some_and(|at| now - at > cancellation_bound);
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

/// Records when the attempt started running, and whether it has run long enough for its job to count as started.
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
            "job started"
        );
    }
}

/// Kills the attempt if its results are not needed because its job is closed or its task is done.
fn stop_unwanted(job: &Job, key: AttemptKey, attempt: &mut Attempt) {
    let is_unwanted = job.is_closed() || job.done.contains(key.task);
    if is_unwanted
        && attempt.status != Some(TaskStatus::Exited)
        && attempt.desired == DesiredState::Run
    {
        attempt.desired = DesiredState::KILL;
    }
}
