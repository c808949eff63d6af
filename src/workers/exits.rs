//! Effects of an attempt's exit on its task, its job and its machine.

use super::attempt::MIN_COUNTED_RUN;
use super::wire::ExitReason;
use super::{Attempt, AttemptKey, Machine};
use crate::jobs::Job;
use crate::time::{Micros, Moment};

/// Number of machines on which a job must have failed for its errors to be attributed to the job, not the machines.
const MIN_MACHINES_OF_FAULTY_JOB: usize = 3;
/// Number of jobs of which tasks must have failed on a machine, without a completed task in between, for the machine
/// to be considered faulty.
const MIN_JOBS_OF_FAULTY_MACHINE: usize = 2;

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
        ExitEffect::default()
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
            machine.error_streak.clear();
            ExitEffect {
                completes_job: is_first && job.is_complete(),
                run_time: running_since.map(|since| exit.at - since),
            }
        }
        ExitReason::Error => {
            note_error(exit, job, machine);
            ExitEffect::default()
        }
        _ => ExitEffect::default(),
    }
}

/// Counts an error against the job and the machine. Errors of several jobs on one machine usually mean that the
/// machine is faulty, unless the job fails on every machine.
fn note_error(exit: &Exit, job: &mut Job, machine: &mut Machine) {
    job.note_task_failure(&machine.name, exit.at);
    machine.error_streak.insert(exit.key.job);
    let is_job_at_fault = job.failed_on.len() >= MIN_MACHINES_OF_FAULTY_JOB;
    if machine.error_streak.len() >= MIN_JOBS_OF_FAULTY_MACHINE && !is_job_at_fault {
        machine.faulty = true;
    }
}
