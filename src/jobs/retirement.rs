//! Retirement of final jobs: all their records except `final/<ref>` are deleted, so that a new leader reads only
//! records that are still needed.

use super::records::{done_key, final_key, job_key};
use super::{FinalRecord, Job, JobId, Outcome, PendingWrite, PendingWriteKind};
use crate::invariants::{self, Invariant};
use crate::scheduler::SchedulerState;
use crate::store::{Change, Precondition, to_value};
use crate::workers::{AttemptKey, DeliveryStatus};

/// Number of changes of a retirement in addition to the deletion of the done set's chunks: the write of
/// `final/<ref>` and the deletion of `jobs/<ref>`.
const CHANGES_WITHOUT_CHUNKS: usize = 2;

impl SchedulerState {
    /// Retirements of final jobs that have no tasks left on any machine, with at most `max_changes` changes in all
    /// and `max_transaction_changes` in one transaction.
    pub fn pending_retirements(
        &self,
        max_changes: usize,
        max_transaction_changes: usize,
    ) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        let mut changes = 0;
        for (id, job) in &self.jobs.table {
            let Some(outcome) = job.outcome else { continue };
            if !self.is_retirable(*id, job) {
                continue;
            }
            let write = retirement(*id, job, outcome, max_transaction_changes)
                .unwrap_or_else(|| chunk_deletion(*id, job, max_transaction_changes));
            changes += write.changes.len();
            if changes > max_changes {
                break;
            }
            writes.push(write);
        }
        writes
    }

    /// True if no attempt of the job can be on any machine or still arrive there.
    pub(super) fn is_retirable(&self, id: JobId, job: &Job) -> bool {
        // A machine that is not reconciled may still run tasks of the job, which count against the team's quota.
        job.unreconciled_below == 0 && !job.is_bound() && !self.has_executable_start(id, job)
    }

    /// True while a start command may start a task of the job. Its attempt must not be cleared, so the job must stay
    /// in memory. Copies of the commands of a job that is done are harmless: the workers have kept its results.
    fn has_executable_start(&self, id: JobId, job: &Job) -> bool {
        let is_done = job
            .outcome
            .map_or(job.is_complete(), |outcome| outcome == Outcome::Done);
        match is_done {
            true => self.has_attempt(id, DeliveryStatus::may_arrive),
            false => self.has_attempt(id, DeliveryStatus::is_executable),
        }
    }

    /// True while a call that carries a start command of the job is in flight.
    pub(super) fn has_start_in_flight(&self, id: JobId) -> bool {
        self.has_attempt(id, |delivery| delivery == DeliveryStatus::InFlight)
    }

    fn has_attempt(&self, id: JobId, matches: impl Fn(DeliveryStatus) -> bool) -> bool {
        self.machines
            .values()
            .flat_map(|m| m.attempts.range(AttemptKey::range_of_job(id)))
            .any(|(_, attempt)| matches(attempt.delivery))
    }

    /// Removes a retired job from memory. Workers can only report exited attempts of it from now on; they get the
    /// command to clear them.
    pub fn forget_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let name = &job.spec.id;
        if self.has_executable_start(id, job) {
            invariants::report_violation(
                Invariant::ReleasedWithoutProof,
                format_args!("job={name} reason=retired"),
            );
        }
        log::debug!(job = name, term = self.term; "job retired");
        self.jobs.remove(id);
        self.commands.awaiting_watermark.remove(&id);
        for machine in self.machines.values_mut() {
            let before = machine.attempts.len();
            machine.attempts.retain(|key, _| key.job != id);
            if machine.attempts.len() < before {
                machine.free_resources.set(None);
            }
        }
    }
}

/// Creates the write after which only `final/<ref>` is left of the job; `None` if the done set has too many chunks
/// for one transaction.
pub(super) fn retirement(
    id: JobId,
    job: &Job,
    outcome: Outcome,
    max_changes: usize,
) -> Option<PendingWrite> {
    let chunks: Vec<u32> = stored_chunks(job).collect();
    if chunks.len() + CHANGES_WITHOUT_CHUNKS > max_changes {
        return None;
    }
    let (mut preconditions, mut changes) = deletions(job, chunks);
    let name = &job.spec.id;
    if job.revisions[0] == 0 {
        // Without this precondition a cancellation by this leader whose outcome is unknown could be recorded as well.
        preconditions.push(Precondition::new(done_key(name, 0), 0));
    }
    preconditions.push(Precondition::new(job_key(name), job.job_revision));
    let record = FinalRecord {
        state: outcome,
        tasks: job.spec.tasks,
    };
    changes.push(Change::write(final_key(name), to_value(&record)));
    changes.push(Change::delete(job_key(name)));
    Some(PendingWrite {
        kind: PendingWriteKind::Retirement(id, outcome),
        preconditions,
        changes,
    })
}

/// Creates the deletion of the higher chunks of a done set that has too many chunks for one transaction. Chunk 0,
/// which holds the final state, is deleted last, by the retirement itself.
fn chunk_deletion(id: JobId, job: &Job, max_changes: usize) -> PendingWrite {
    let chunks = stored_chunks(job).filter(|chunk| *chunk > 0);
    let (preconditions, changes) = deletions(job, chunks.take(max_changes));
    PendingWrite {
        kind: PendingWriteKind::DoneSet {
            job: id,
            chunk: 0,
            text: String::new(),
        },
        preconditions,
        changes,
    }
}

/// Preconditions and changes that delete these chunks of a done set if their revisions are unchanged.
fn deletions(job: &Job, chunks: impl IntoIterator<Item = u32>) -> (Vec<Precondition>, Vec<Change>) {
    let deletion = |chunk: u32| {
        let key = done_key(&job.spec.id, chunk);
        let precondition = Precondition::new(key.clone(), job.revisions[chunk as usize]);
        (precondition, Change::delete(key))
    };
    chunks.into_iter().map(deletion).unzip()
}

/// Chunks of the done set that have a key in the store, the highest first.
fn stored_chunks(job: &Job) -> impl Iterator<Item = u32> + '_ {
    (0..job.done.chunk_count())
        .rev()
        .filter(|chunk| job.revisions[*chunk as usize] > 0)
}
