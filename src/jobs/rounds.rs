//! Write rounds: which records are due, most urgent first, packed into few transactions.

use super::{
    DoneRecord, FinalRecord, FinalWrite, Job, JobId, Outcome, done_key, final_key, job_key,
};
use crate::http::cbor::json_len;
use crate::invariants::{self, Invariant};
use crate::scheduler::SchedulerState;
use crate::state_store::pages::PageImage;
use crate::state_store::{Change, Guard, to_value};
use crate::workers::DeliveryStatus;

/// The key prefix of claims: which tasks of which jobs may have started.
pub const WATERMARKS_PREFIX: &str = "claims/";

/// What a done set's record takes beside the set.
const RECORD_SPARE: usize = 40;

/// One write: the changes belong together, and so do their guards.
#[derive(Clone, Debug)]
pub struct Write {
    pub kind: WriteKind,
    pub guards: Vec<Guard>,
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug)]
pub enum WriteKind {
    Final(JobId, Outcome),
    Set {
        job: JobId,
        chunk: u32,
        text: String,
    },
    /// Only `final/<ref>` stays of the job.
    Retire(JobId, Outcome),
    /// Tasks numbered below these may start.
    Claims(PageImage<u32>),
    /// These machines may hold tasks.
    Registry(PageImage<u64>),
}

impl Write {
    pub fn is_registry(&self) -> bool {
        matches!(self.kind, WriteKind::Registry(_))
    }

    /// What it takes of a transaction, in bytes of JSON.
    fn json_len(&self) -> usize {
        json_len(&to_value(&self.guards)) + json_len(&to_value(&self.changes))
    }
}

/// A page's write, guarded by the page's own revision.
pub fn page_write<V: Clone + serde::Serialize>(
    prefix: &str,
    image: PageImage<V>,
    kind: impl Fn(PageImage<V>) -> WriteKind,
) -> Write {
    let key = format!("{prefix}{}", image.number);
    Write {
        guards: vec![Guard::new(key.clone(), image.revision)],
        changes: vec![Change::write(key, to_value(&image.entries))],
        kind: kind(image),
    }
}

impl SchedulerState {
    /// True if somebody waits for a record.
    pub fn records_wait(&self, txn_ops: usize) -> bool {
        !self.pending_watermark_writes().is_empty()
            || !self.pending_registry_writes(false).is_empty()
            || !self.pending_final_writes(txn_ops).is_empty()
    }

    /// Pages of claims that starts wait for.
    pub fn pending_watermark_writes(&self) -> Vec<Write> {
        let due = self.jobs.start_watermarks.due(false).into_iter();
        due.map(|image| page_write(WATERMARKS_PREFIX, image, WriteKind::Claims))
            .collect()
    }

    /// Final states that wait: they go out at once.
    pub fn pending_final_writes(&self, txn_ops: usize) -> Vec<Write> {
        self.jobs
            .table
            .iter()
            .filter(|(_, j)| j.outcome.is_none() && (j.complete() || j.is_cancel_asked()))
            // A start that is under way would come after the cancellation is confirmed. Its answer
            // comes soon, or the call is given up.
            .filter(|(id, j)| j.complete() || !self.starts_under_way(**id))
            .map(|(id, j)| {
                // A job whose tasks are all done when it is cancelled is done.
                let outcome = if j.complete() {
                    Outcome::Done
                } else {
                    Outcome::Cancelled
                };
                if self.leaves_nothing(*id, j)
                    && let Some(write) = retirement(*id, j, outcome, txn_ops)
                {
                    return write;
                }
                let key = done_key(&j.spec.id, 0);
                let record = DoneRecord {
                    state: Some(outcome),
                    set: String::new(),
                };
                Write {
                    kind: WriteKind::Final(*id, outcome),
                    // The revision keeps done and cancelled apart even if an unanswered
                    // transaction of ours is applied late.
                    guards: vec![Guard::new(key.clone(), j.revisions[0])],
                    changes: vec![Change::write(key, to_value(&record))],
                }
            })
            .collect()
    }

    /// Changed done sets, those with most unrecorded outcomes first.
    pub fn pending_done_sets(&self, budget: usize) -> Vec<Write> {
        let mut due: Vec<(u32, JobId)> = self
            .jobs
            .table
            .iter()
            .filter(|(_, j)| j.outcome.is_none() && !j.complete() && !j.is_cancel_asked())
            .map(|(id, j)| (j.done.len() - j.recorded.len(), *id))
            .filter(|(n, _)| *n > 0)
            .collect();
        due.sort_by_key(|(n, id)| (std::cmp::Reverse(*n), *id));
        let mut writes = Vec::new();
        for (_, id) in due {
            let job = &self.jobs.table[&id];
            for chunk in 0..job.done.chunks() {
                if writes.len() >= budget {
                    return writes;
                }
                let most = self.config.value_bytes.saturating_sub(RECORD_SPARE);
                let Some(text) = job.done.fitting_text(chunk, &job.recorded, most) else {
                    continue;
                };
                if text == job.recorded.chunk_text(chunk) {
                    continue;
                }
                let key = done_key(&job.spec.id, chunk);
                let record = DoneRecord {
                    state: None,
                    set: text.clone(),
                };
                writes.push(Write {
                    kind: WriteKind::Set {
                        job: id,
                        chunk,
                        text,
                    },
                    guards: vec![Guard::new(key.clone(), job.revisions[chunk as usize])],
                    changes: vec![Change::write(key, to_value(&record))],
                });
            }
        }
        writes
    }

    /// Final jobs of which nothing is left on any machine: only `final/<ref>` stays, so that a
    /// new leader reads no more than what still matters.
    pub fn pending_retirements(&self, budget: usize, txn_ops: usize) -> Vec<Write> {
        let mut writes = Vec::new();
        let mut ops = 0;
        for (id, job) in &self.jobs.table {
            let Some(outcome) = job.outcome else { continue };
            if !self.leaves_nothing(*id, job) {
                continue;
            }
            let write = retirement(*id, job, outcome, txn_ops)
                .unwrap_or_else(|| fewer_chunks(*id, job, txn_ops));
            ops += write.changes.len();
            if ops > budget {
                break;
            }
            writes.push(write);
        }
        writes
    }

    /// Nothing of the job can be on any machine, or arrive there.
    fn leaves_nothing(&self, id: JobId, job: &Job) -> bool {
        // An unseen machine may still run tasks of a held job: its team's limit needs them.
        job.held_below == 0 && !job.is_bound() && !self.has_open_starts(id)
    }

    /// A start without an answer may still arrive: its attempt must not be cleared, so its job
    /// stays known.
    fn has_open_starts(&self, id: JobId) -> bool {
        self.any_start(id, DeliveryStatus::may_arrive)
    }

    fn starts_under_way(&self, id: JobId) -> bool {
        self.any_start(id, |delivery| delivery == DeliveryStatus::InFlight)
    }

    fn any_start(&self, id: JobId, is: impl Fn(DeliveryStatus) -> bool) -> bool {
        self.machines
            .values()
            .flat_map(|m| m.attempts.range((id, 0, 0)..=(id, u32::MAX, u64::MAX)))
            .any(|(_, a)| is(a.delivery))
    }

    /// These writes are about to be sent.
    pub fn sending(&mut self, writes: &[Write]) {
        self.decide(writes, |was| match was {
            FinalWrite::Idle => FinalWrite::Sent,
            was => was,
        });
    }

    /// These writes were surely not carried out.
    pub fn not_written(&mut self, writes: &[Write]) {
        self.decide(writes, |was| match was {
            FinalWrite::Sent => FinalWrite::Idle,
            was => was,
        });
    }

    /// These writes got no answer: they may have been carried out, or may yet be.
    pub fn unanswered(&mut self, writes: &[Write]) {
        self.decide(writes, |_| FinalWrite::Unknown);
    }

    fn decide(&mut self, writes: &[Write], next: impl Fn(FinalWrite) -> FinalWrite) {
        for write in writes {
            if let WriteKind::Final(id, _) | WriteKind::Retire(id, _) = &write.kind
                && let Some(job) = self.jobs.table.get_mut(id)
            {
                job.final_write = next(job.final_write);
            }
        }
    }

    /// A write was committed at this revision.
    pub fn written(&mut self, write: &Write, revision: u64) {
        match &write.kind {
            WriteKind::Final(id, outcome) => {
                let Some(job) = self.jobs.table.get_mut(id) else {
                    return;
                };
                job.revisions[0] = revision;
                if *outcome == Outcome::Done {
                    job.recorded = job.done.clone();
                }
                self.finish(*id, *outcome);
            }
            WriteKind::Set { job, chunk, text } => {
                let Some(job) = self.jobs.table.get_mut(job) else {
                    return;
                };
                for change in &write.changes {
                    if let Change::Delete { delete } = change
                        && let Some(c) = delete
                            .rsplit_once('/')
                            .and_then(|(_, c)| c.parse::<usize>().ok())
                    {
                        job.revisions[c] = 0;
                    }
                }
                if write
                    .changes
                    .iter()
                    .any(|c| matches!(c, Change::Write { .. }))
                {
                    job.revisions[*chunk as usize] = revision;
                    let _ = job.recorded.add_chunk(*chunk, text);
                }
            }
            WriteKind::Retire(id, outcome) => {
                self.finish(*id, *outcome);
                if let Some(job) = self.jobs.table.get(id) {
                    let id = job.spec.id.clone();
                    self.forget_job(&id);
                }
            }
            WriteKind::Claims(image) => {
                self.jobs
                    .start_watermarks
                    .written(image.number, image.version, revision);
                for (id, below) in &image.entries {
                    let Some(id) = self.jobs.find(id) else {
                        continue;
                    };
                    if let Some(job) = self.jobs.table.get_mut(&id)
                        && job.start_watermark < *below
                    {
                        job.start_watermark = *below;
                        let waiting = self.commands.awaiting_watermark.remove(&id);
                        self.commands.due.extend(waiting.into_iter().flatten());
                    }
                }
            }
            WriteKind::Registry(image) => {
                self.provisioning
                    .registry
                    .written(image.number, image.version, revision);
                for (name, _) in &image.entries {
                    if let Some(m) = self.machines.get_mut(name)
                        && !m.recorded
                    {
                        m.recorded = true;
                        self.placement.due = true;
                    }
                }
            }
        }
    }

    /// A retired job leaves memory. What workers still report of it are exited attempts: they
    /// are told to clear them.
    pub fn forget_job(&mut self, id: &str) {
        let Some(job_id) = self.jobs.find(id) else {
            return;
        };
        if self.has_open_starts(job_id) {
            invariants::report_violation(
                Invariant::ReleasedWithoutProof,
                format_args!("job={id} reason=retired"),
            );
        }
        log::debug!("job retired: job={id} term={}", self.term);
        self.jobs.remove(job_id);
        self.jobs.start_watermarks.remove(id);
        self.commands.awaiting_watermark.remove(&job_id);
        for m in self.machines.values_mut() {
            let before = m.attempts.len();
            m.attempts.retain(|k, _| k.0 != job_id);
            if m.attempts.len() < before {
                m.free_capacity.set(None);
            }
        }
    }

    /// A done set's key turned out to be absent.
    pub fn done_key_absent(&mut self, id: &str, chunk: u32) {
        if let Some(job_id) = self.jobs.find(id)
            && let Some(job) = self.jobs.table.get_mut(&job_id)
            && let Some(revision) = job.revisions.get_mut(chunk as usize)
        {
            *revision = 0;
        }
    }
}

/// The transaction after which only `final/<ref>` is left; None if it has too many chunks.
fn retirement(id: JobId, job: &Job, outcome: Outcome, txn_ops: usize) -> Option<Write> {
    let spec_id = &job.spec.id;
    let chunks: Vec<u32> = stored_chunks(job).collect();
    if chunks.len() + 2 > txn_ops {
        return None;
    }
    let keys = chunks.iter().map(|c| done_key(spec_id, *c));
    let mut guards: Vec<Guard> = chunks
        .iter()
        .map(|c| Guard::new(done_key(spec_id, *c), job.revisions[*c as usize]))
        .collect();
    if job.revisions[0] == 0 {
        // Else a cancellation of ours that got no answer could stand beside this.
        guards.push(Guard::new(done_key(spec_id, 0), 0));
    }
    guards.push(Guard::new(job_key(spec_id), job.job_revision));
    let mut changes: Vec<Change> = keys.map(Change::delete).collect();
    let record = FinalRecord {
        state: outcome,
        tasks: job.spec.tasks,
    };
    changes.push(Change::write(final_key(spec_id), to_value(&record)));
    changes.push(Change::delete(job_key(spec_id)));
    Some(Write {
        kind: WriteKind::Retire(id, outcome),
        guards,
        changes,
    })
}

/// Chunks of the done set that have a key, the highest first.
fn stored_chunks(job: &Job) -> impl Iterator<Item = u32> + '_ {
    (0..job.done.chunks())
        .rev()
        .filter(|c| job.revisions[*c as usize] > 0)
}

/// Too many chunks for one transaction: the higher ones go first, the final state last.
fn fewer_chunks(id: JobId, job: &Job, txn_ops: usize) -> Write {
    let chunks = stored_chunks(job).filter(|c| *c > 0).take(txn_ops);
    let (guards, changes) = chunks
        .map(|c| {
            let key = done_key(&job.spec.id, c);
            let guard = Guard::new(key.clone(), job.revisions[c as usize]);
            (guard, Change::delete(key))
        })
        .unzip();
    Write {
        kind: WriteKind::Set {
            job: id,
            chunk: 0,
            text: String::new(),
        },
        guards,
        changes,
    }
}

/// Packs writes into transactions of at most `ops` changes and `bytes` bytes, keeping each write whole.
pub fn pack(writes: Vec<Write>, ops: usize, bytes: usize) -> Vec<Vec<Write>> {
    let mut packs: Vec<Vec<Write>> = Vec::new();
    let (mut packed_ops, mut packed_bytes) = (0, 0);
    for write in writes {
        let (own_ops, own_bytes) = (write.changes.len(), write.json_len());
        let fits = packed_ops + own_ops <= ops && packed_bytes + own_bytes <= bytes;
        match packs.last_mut() {
            Some(pack) if fits => {
                pack.push(write);
                packed_ops += own_ops;
                packed_bytes += own_bytes;
            }
            _ => {
                packs.push(vec![write]);
                (packed_ops, packed_bytes) = (own_ops, own_bytes);
            }
        }
    }
    packs
}

/// As many of the writes, in their order, as there are tokens for. One that is too large stops
/// the others: else small ones would always go before it.
pub fn affordable(writes: Vec<Write>, left: &mut usize) -> Vec<Write> {
    let mut taken = Vec::new();
    for write in writes {
        let n = write.changes.len();
        if n > *left {
            break;
        }
        *left -= n;
        taken.push(write);
    }
    taken
}
