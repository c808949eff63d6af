//! Selection of the records that are due to be written.

use super::records::done_key;
use super::retirement::retirement;
use super::{
    DoneRecord, Job, JobId, Outcome, PendingWrite, PendingWriteKind, WATERMARKS_PREFIX, page_write,
};
use crate::scheduler::SchedulerState;
use crate::store::{Change, Precondition, to_value};
use std::cmp::Reverse;

/// Bytes that a done set's record takes in addition to the text of the set.
const DONE_RECORD_OVERHEAD: usize = 40;

impl SchedulerState {
    /// True if a task start or a user waits for a record. A transaction may have `max_changes` changes.
    pub(super) fn has_awaited_writes(&self, max_changes: usize) -> bool {
        !self.pending_watermark_writes().is_empty()
            || !self.pending_registry_writes(false).is_empty()
            || !self.pending_final_writes(max_changes).is_empty()
    }

    /// Pages of start watermarks that task starts wait for.
    pub fn pending_watermark_writes(&self) -> Vec<PendingWrite> {
        let due = self.jobs.start_watermarks.pages_due(false).into_iter();
        due.map(|image| page_write(WATERMARKS_PREFIX, image, PendingWriteKind::StartWatermarks))
            .collect()
    }

    /// Final states that users wait for: those of jobs that are complete or whose cancellation was requested. A
    /// transaction may have `max_changes` changes.
    pub fn pending_final_writes(&self, max_changes: usize) -> Vec<PendingWrite> {
        self.jobs
            .table
            .iter()
            .filter(|(_, job)| job.outcome.is_none())
            .filter(|(_, job)| job.is_complete() || job.is_cancel_requested())
            // A start command that is in flight could arrive after the cancellation is confirmed. Its delay is
            // short: the call is either answered or times out.
            .filter(|(id, job)| job.is_complete() || !self.has_start_in_flight(**id))
            .map(|(id, job)| self.final_write(*id, job, max_changes))
            .collect()
    }

    /// Creates the write of a job's final state. It retires the job as well if none of its tasks is left on any
    /// machine.
    fn final_write(&self, id: JobId, job: &Job, max_changes: usize) -> PendingWrite {
        // A job whose tasks are all done counts as done even if its cancellation was requested.
        let outcome = match job.is_complete() {
            true => Outcome::Done,
            false => Outcome::Cancelled,
        };
        if self.is_retirable(id, job)
            && let Some(write) = retirement(id, job, outcome, max_changes)
        {
            return write;
        }
        let key = done_key(&job.spec.id, 0);
        let record = DoneRecord {
            state: Some(outcome),
            set: String::new(),
        };
        PendingWrite {
            kind: PendingWriteKind::FinalState(id, outcome),
            // The precondition on the revision ensures that done and cancelled are never both recorded, even if an
            // earlier transaction of this leader whose outcome is unknown is applied late.
            preconditions: vec![Precondition::new(key.clone(), job.revisions[0])],
            changes: vec![Change::write(key, to_value(&record))],
        }
    }

    /// Writes of changed done sets with at most `max_changes` changes, those of the jobs with the most unrecorded
    /// tasks first.
    pub fn pending_done_sets(&self, max_changes: usize) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        for id in self.jobs_by_unrecorded_tasks() {
            let job = &self.jobs.table[&id];
            for chunk in 0..job.done.chunk_count() {
                if writes.len() >= max_changes {
                    return writes;
                }
                writes.extend(self.done_set_write(id, job, chunk));
            }
        }
        writes
    }

    /// Jobs that are neither closed nor complete and have unrecorded done tasks, those with the most first.
    fn jobs_by_unrecorded_tasks(&self) -> impl Iterator<Item = JobId> + use<> {
        let mut due: Vec<(u32, JobId)> = self
            .jobs
            .table
            .iter()
            .filter(|(_, job)| !job.is_closed() && !job.is_complete())
            .map(|(id, job)| (job.done.len() - job.recorded.len(), *id))
            .filter(|(unrecorded, _)| *unrecorded > 0)
            .collect();
        due.sort_by_key(|(unrecorded, id)| (Reverse(*unrecorded), *id));
        due.into_iter().map(|(_, id)| id)
    }

    /// Creates the write of one chunk of a done set; `None` if the chunk is already recorded as it is, or if no
    /// more of it fits into a value.
    fn done_set_write(&self, id: JobId, job: &Job, chunk: u32) -> Option<PendingWrite> {
        let max_len = self.config.value_bytes.saturating_sub(DONE_RECORD_OVERHEAD);
        let text = job.done.fitting_text(chunk, &job.recorded, max_len)?;
        if text == job.recorded.chunk_text(chunk) {
            return None;
        }
        let key = done_key(&job.spec.id, chunk);
        let record = DoneRecord {
            state: None,
            set: text.clone(),
        };
        Some(PendingWrite {
            kind: PendingWriteKind::DoneSet {
                job: id,
                chunk,
                text,
            },
            preconditions: vec![Precondition::new(
                key.clone(),
                job.revisions[chunk as usize],
            )],
            changes: vec![Change::write(key, to_value(&record))],
        })
    }
}
