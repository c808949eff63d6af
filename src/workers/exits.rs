//! Effects of an attempt's exit on its task, its job and its machine.

use super::attempt::MIN_COUNTED_RUN;
use super::wire::ExitReason;
use super::{Attempt, AttemptKey, Machine};
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// Number of machines on which a job must have failed for its errors to be attributed to the job, not the machines.
const MIN_MACHINES_OF_FAULTY_JOB: usize = 3;

/// Exit of an attempt, in the first report that shows it.
pub(super) struct Exit {
    pub key: AttemptKey,
    pub exit_reason: ExitReason,
    pub at: Moment,
}

/// Effects of an exit beyond its job and machine, to be applied by the caller.
#[derive(Default)]
pub(super) struct ExitEffect {
    /// True if the last task of the job has completed, so that its final state must be recorded.
    pub completes_job: bool,
    /// Run time of the attempt, if its task completed.
    pub run_time: Option<Micros>,
    /// True if the task failed.
    pub failed: bool,
}

/// Applies an exit, and frees the attempt's resources. The first attempt of a task that completes determines the
/// task's outcome.
pub(super) fn apply_exit(
    exit: &Exit,
    job: &mut Job,
    machine: &mut Machine,
    attempt: &mut Attempt,
) -> ExitEffect {
    attempt.done = exit.exit_reason == ExitReason::Done && !job.spec.is_standing();
    let running_since = attempt.running_since;
    let effect = if job.spec.is_standing() {
        let lasted = running_since.is_some_and(|since| exit.at - since > MIN_COUNTED_RUN);
        apply_replica_exit(exit, lasted, job, machine);
        ExitEffect {
            failed: exit.exit_reason == ExitReason::Error,
            ..ExitEffect::default()
        }
    } else {
        apply_task_exit(exit, running_since, job, machine)
    };
    if std::mem::take(&mut attempt.bound) {
        job.unbind(exit.key.task);
    }
    effect
}

/// Applies the exit of a standing job's replica, which is always started again. If replicas exit soon after their
/// start on several machines in a row, the job's next start is delayed by an increasing backoff.
fn apply_replica_exit(exit: &Exit, lasted: bool, job: &mut Job, machine: &mut Machine) {
    match exit.exit_reason {
        ExitReason::Done | ExitReason::Error if lasted => job.failed_on.clear(),
        ExitReason::Done => job.note_task_failure(&machine.name, exit.at),
        ExitReason::Error => note_error(exit, job, machine),
        _ => {}
    }
}

fn apply_task_exit(
    exit: &Exit,
    running_since: Option<Moment>,
    job: &mut Job,
    machine: &mut Machine,
) -> ExitEffect {
    match exit.exit_reason {
        ExitReason::Done => {
            let is_first = job.mark_done(exit.key.task);
            job.failed_on.clear();
            machine.failures.clear();
            ExitEffect {
                completes_job: is_first && job.is_complete(),
                run_time: running_since.map(|since| exit.at - since),
                failed: false,
            }
        }
        ExitReason::Error => {
            note_error(exit, job, machine);
            ExitEffect {
                failed: true,
                ..ExitEffect::default()
            }
        }
        _ => ExitEffect::default(),
    }
}

/// Counts an error against the job, and against the machine unless the job is at fault.
fn note_error(exit: &Exit, job: &mut Job, machine: &mut Machine) {
    job.note_task_failure(&machine.name, exit.at);
    if !is_at_fault(job) {
        machine.failures.note(exit.key.job, exit.at);
    }
}

/// True if the errors of the job are attributed to the job: its tasks fail on every machine, or it is cancelled, which is
/// what users do with a job that was submitted with a mistake.
fn is_at_fault(job: &Job) -> bool {
    job.failed_on.len() >= MIN_MACHINES_OF_FAULTY_JOB || job.is_cancel_requested()
}

impl SchedulerState {
    /// Withdraws the evidence of a job's failures against machines if the job is at fault.
    pub(crate) fn withdraw_failures_of_faulty_job(&mut self, id: JobId) {
        let job = self.jobs.table.get(&id);
        if !job.is_some_and(|job| job.failures > 0 && is_at_fault(job)) {
            return;
        }
        for machine in self.machines.values_mut() {
            self.placement.due |= machine.failures.withdraw(id);
        }
    }

    /// Lets tasks start again on machines that have counted as faulty for long enough.
    pub(crate) fn end_exclusions(&mut self, now: Moment) {
        for machine in self.machines.values_mut() {
            self.placement.due |= machine.failures.end_exclusion(now);
        }
    }
}
