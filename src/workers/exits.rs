//! What the end of an attempt means for its task, its job and its machine.

use super::evidence::COUNTS_AFTER;
use super::wire::ExitReason;
use super::{Attempt, AttemptKey, Machine};
use crate::jobs::Job;
use crate::time::{Micros, Moment};

/// After errors on fewer machines than this the machines are suspected, not the job.
const JOB_SUSPECTED_AFTER: usize = 3;
/// Jobs in a row whose tasks fail on a machine that is then taken to be faulty.
const FAULTY_AFTER: usize = 2;

/// An attempt that a report shows as exited for the first time.
pub(super) struct Exit {
    pub key: AttemptKey,
    pub exit_reason: ExitReason,
    pub at: Moment,
}

/// What follows from an exit beyond its job and machine.
#[derive(Default)]
pub(super) struct ExitEffect {
    /// The job's last outcome came in: its final state waits to be recorded.
    pub completes_job: bool,
    /// How long the task ran, if it got done.
    pub ran: Option<Micros>,
}

/// Settles an exit. The first settle of a task wins; its place is free again.
pub(super) fn settle_exit(
    exit: &Exit,
    job: &mut Job,
    machine: &mut Machine,
    attempt: &mut Attempt,
) -> ExitEffect {
    attempt.done = exit.exit_reason == ExitReason::Done && !job.spec.is_standing();
    let since = attempt.running_since;
    let effect = if job.spec.is_standing() {
        let lasted = since.is_some_and(|t| exit.at - t > COUNTS_AFTER);
        settle_replica(exit, lasted, job, machine);
        ExitEffect::default()
    } else {
        settle_task(exit, since, job, machine)
    };
    if std::mem::take(&mut attempt.bound) {
        job.unbind(exit.key.1);
    }
    effect
}

/// A replica's end is no outcome: it runs again elsewhere. One that ends soon after its start, on one
/// machine after the other, waits longer and longer.
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
    since: Option<Moment>,
    job: &mut Job,
    machine: &mut Machine,
) -> ExitEffect {
    match exit.exit_reason {
        ExitReason::Done => {
            let is_first = job.mark_done(exit.key.1);
            job.failed_on.clear();
            machine.error_streak.clear();
            ExitEffect {
                completes_job: is_first && job.is_complete(),
                ran: since.map(|t| exit.at - t),
            }
        }
        ExitReason::Error => {
            note_error(exit, job, machine);
            ExitEffect::default()
        }
        _ => ExitEffect::default(),
    }
}

/// An error mostly means a faulty machine, unless the job fails wherever it runs.
fn note_error(exit: &Exit, job: &mut Job, machine: &mut Machine) {
    job.note_task_failure(&machine.name, exit.at);
    machine.error_streak.insert(exit.key.0);
    let suspects_machine = job.failed_on.len() < JOB_SUSPECTED_AFTER;
    if machine.error_streak.len() >= FAULTY_AFTER && suspects_machine {
        machine.faulty = true;
    }
}
