//! Effects of the results of writes on the scheduler state.

use super::records::parse_done_key;
use super::{FinalWrite, JobId, JobTable, Outcome, PendingWrite, PendingWriteKind};
use crate::scheduler::SchedulerState;
use crate::store::Change;
use crate::store::paged_map::PageImage;

impl JobTable {
    /// Replaces [`Job::final_write`](super::Job::final_write) of each job whose final state is among these writes.
    fn update_final_writes(
        &mut self,
        writes: &[PendingWrite],
        next: impl Fn(FinalWrite) -> FinalWrite,
    ) {
        for write in writes {
            if let PendingWriteKind::FinalState(id, _) | PendingWriteKind::Retirement(id, _) =
                &write.kind
                && let Some(job) = self.table.get_mut(id)
            {
                job.final_write = next(job.final_write);
            }
        }
    }

    /// Notes that a key of a done set is absent from the store.
    pub(super) fn note_done_key_absent(&mut self, id: &str, chunk: u32) {
        if let Some(job_id) = self.find(id)
            && let Some(job) = self.table.get_mut(&job_id)
            && let Some(revision) = job.revisions.get_mut(chunk as usize)
        {
            *revision = 0;
        }
    }
}

impl SchedulerState {
    /// Marks the final states among these writes as sent; called just before they are sent.
    pub fn mark_sent(&mut self, writes: &[PendingWrite]) {
        self.jobs.update_final_writes(writes, |state| match state {
            FinalWrite::Idle => FinalWrite::Sent,
            other => other,
        });
    }

    /// Marks the final states among these writes as idle again: the writes are known not to have been executed. A
    /// final state of which an earlier write has an unknown outcome stays unknown.
    pub fn mark_not_written(&mut self, writes: &[PendingWrite]) {
        self.jobs.update_final_writes(writes, |state| match state {
            FinalWrite::Sent => FinalWrite::Idle,
            other => other,
        });
    }

    /// Marks the outcome of the final states among these writes as unknown: the writes may have been executed, or may
    /// still be.
    pub fn mark_outcome_unknown(&mut self, writes: &[PendingWrite]) {
        self.jobs
            .update_final_writes(writes, |_| FinalWrite::Unknown);
    }

    /// Applies a write that was committed at this revision.
    pub fn apply_written(&mut self, write: &PendingWrite, revision: u64) {
        match &write.kind {
            PendingWriteKind::FinalState(job, outcome) => {
                self.apply_final_state(*job, *outcome, revision);
            }
            PendingWriteKind::DoneSet { job, chunk, text } => {
                self.apply_done_set(*job, *chunk, text, &write.changes, revision);
            }
            PendingWriteKind::Retirement(job, outcome) => {
                self.apply_outcome(*job, *outcome);
                self.forget_job(*job);
            }
            PendingWriteKind::StartWatermarks(image) => {
                self.apply_start_watermarks(image, revision);
            }
            PendingWriteKind::MachineRegistry(image) => {
                self.apply_machine_registry(image, revision);
            }
        }
    }

    fn apply_final_state(&mut self, id: JobId, outcome: Outcome, revision: u64) {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return;
        };
        job.revisions[0] = revision;
        if outcome == Outcome::Done {
            job.recorded = job.done.clone();
        }
        self.apply_outcome(id, outcome);
    }

    /// Applies the write of a chunk of a done set, or the deletion of the higher chunks of a retired job's done set.
    fn apply_done_set(
        &mut self,
        id: JobId,
        chunk: u32,
        text: &str,
        changes: &[Change],
        revision: u64,
    ) {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return;
        };
        for change in changes {
            match change {
                Change::Delete { delete } => {
                    if let Some((_, chunk)) = parse_done_key(delete) {
                        job.revisions[chunk as usize] = 0;
                    }
                }
                Change::Write { .. } => {
                    job.revisions[chunk as usize] = revision;
                    // The text was created by this leader, so it isn't malformed.
                    let _ = job.recorded.add_chunk(chunk, text);
                }
            }
        }
    }

    /// Applies a written page of start watermarks: tasks below them may start now, and commands that waited for them
    /// become due.
    fn apply_start_watermarks(&mut self, image: &PageImage<u32>, revision: u64) {
        self.jobs
            .start_watermarks
            .mark_written(image.number, image.version, revision);
        for (name, watermark) in &image.entries {
            let Some(id) = self.jobs.find(name) else {
                continue;
            };
            if let Some(job) = self.jobs.table.get_mut(&id)
                && job.start_watermark < *watermark
            {
                job.start_watermark = *watermark;
                let waiting = self.commands.awaiting_watermark.remove(&id);
                self.commands.due.extend(waiting.into_iter().flatten());
            }
        }
    }

    /// Applies a written page of the machine registry: tasks may be placed on its machines now.
    fn apply_machine_registry(&mut self, image: &PageImage<u64>, revision: u64) {
        self.provisioning
            .registry
            .mark_written(image.number, image.version, revision);
        for (name, _) in &image.entries {
            if let Some(machine) = self.machines.get_mut(name)
                && !machine.registered
            {
                machine.registered = true;
                self.placement.due = true;
            }
        }
    }
}
