//! What the end of an attempt means for its task, its job and its machine.

use super::attempt::MIN_COUNTED_RUN;
use super::wire::ExitReason;
use super::{Attempt, AttemptKey, Machine};
use crate::jobs::Job;
use crate::time::{Micros, Moment};

/// A job that failed on at least this many machines is taken to be the cause of its errors, not the machines.
const JOB_AT_FAULT_FROM: usize = 3;
/// A machine on which tasks of at least this many jobs failed one after the other is taken to be faulty.
const MACHINE_AT_FAULT_FROM: usize = 2;

/// An attempt that a report shows as exited for the first time.
pub(super) struct Exit {
    pub key: AttemptKey,
    pub exit_reason: ExitReason,
    pub at: Moment,
}

/// What follows from an exit beyond its job and machine.
#[derive(Default)]
pub(super) struct ExitEffect {
    /// True if the job's last task completed: its final state is to be recorded.
    pub completes_job: bool,
    /// How long the attempt ran, if its task completed.
    pub run_time: Option<Micros>,
}

/// Settles an exit: the attempt's resources are free again. The first attempt of a task that completes
/// decides the task's outcome.
pub(super) fn settle_exit(
    exit: &Exit,
    job: &mut Job,
    machine: &mut Machine,
    attempt: &mut Attempt,
) -> ExitEffect {
    attempt.done = exit.exit_reason == ExitReason::Done && !job.spec.is_standing();
    let running_since = attempt.running_since;
    let effect = if job.spec.is_standing() {
        let lasted = running_since.is_some_and(|since| exit.at - since > MIN_COUNTED_RUN);
        settle_replica(exit, lasted, job, machine);
        ExitEffect::default()
    } else {
        settle_task(exit, running_since, job, machine)
    };
    if std::mem::take(&mut attempt.bound) {
        job.unbind(exit.key.task);
    }
    effect
}

/// The exit of a standing job's replica is no outcome: it runs again elsewhere. If replicas exit soon after
/// their start, on one machine after the other, the job waits longer and longer.
fn settle_replica(exit: &Exit, lasted: bool, job: &mut Job, machine: &mut Machine) {
    match exit.exit_reason {
        ExitReason::Done | ExitReason::Error if lasted => job.failed_on.clear(),
        ExitReason::Done => job.note_task_failure(&machine.name, exit.at),
        ExitReason::Error => note_error(exit, job, machine),
        _ => {}
    }
}

fn settle_task(
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

/// An error mostly means that the machine is faulty, unless the job fails wherever it runs.
fn note_error(exit: &Exit, job: &mut Job, machine: &mut Machine) {
    job.note_task_failure(&machine.name, exit.at);
    machine.error_streak.insert(exit.key.job);
    let is_job_at_fault = job.failed_on.len() >= JOB_AT_FAULT_FROM;
    if machine.error_streak.len() >= MACHINE_AT_FAULT_FROM && !is_job_at_fault {
        machine.faulty = true;
    }
}
