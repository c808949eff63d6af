//! Write rounds: which records are due, most urgent first, packed into few transactions.

use super::{DoneRecord, FinalRecord, JobId, Outcome, done_key, final_key, job_key};
use crate::cluster::Cluster;
use crate::state_store::{Change, Guard, to_value};
use crate::workers::Direct;

/// One job's write: the changes belong together, and so do their guards.
#[derive(Clone, Debug)]
pub struct Write {
    pub job: JobId,
    pub kind: WriteKind,
    pub guards: Vec<Guard>,
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug)]
pub enum WriteKind {
    Final(Outcome),
    Set { chunk: u32, text: String },
    Retire,
}

impl Cluster {
    /// Final states that wait: they go out at once.
    pub fn due_finals(&self) -> Vec<Write> {
        self.jobs
            .table
            .iter()
            .filter(|(_, j)| j.outcome.is_none() && (j.complete() || j.cancel_asked))
            .map(|(id, j)| {
                // A job whose tasks are all done when it is withdrawn is done.
                let outcome = if j.complete() {
                    Outcome::Done
                } else {
                    Outcome::Cancelled
                };
                let key = done_key(&j.spec.id, 0);
                let record = DoneRecord {
                    state: Some(outcome),
                    set: String::new(),
                };
                Write {
                    job: *id,
                    kind: WriteKind::Final(outcome),
                    // The stamp keeps done and cancelled apart even if an unanswered
                    // transaction of ours is applied late.
                    guards: vec![Guard::new(key.clone(), j.stamps[0])],
                    changes: vec![Change::write(key, to_value(&record))],
                }
            })
            .collect()
    }

    /// Changed done sets, those with most unrecorded outcomes first.
    pub fn due_sets(&self, budget: usize) -> Vec<Write> {
        let mut due: Vec<(u32, JobId)> = self
            .jobs
            .table
            .iter()
            .filter(|(_, j)| j.outcome.is_none() && !j.complete() && !j.cancel_asked)
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
                let text = job.done.chunk_text(chunk);
                if text == job.recorded.chunk_text(chunk) {
                    continue;
                }
                let key = done_key(&job.spec.id, chunk);
                let record = DoneRecord {
                    state: None,
                    set: text.clone(),
                };
                writes.push(Write {
                    job: id,
                    kind: WriteKind::Set { chunk, text },
                    guards: vec![Guard::new(key.clone(), job.stamps[chunk as usize])],
                    changes: vec![Change::write(key, to_value(&record))],
                });
            }
        }
        writes
    }

    /// Final jobs of which nothing is left on any machine: only `final/<ref>` stays, so that a
    /// new leader reads no more than what still matters.
    pub fn due_retirements(&self, budget: usize, txn_ops: usize) -> Vec<Write> {
        let mut writes = Vec::new();
        let mut ops = 0;
        for (id, job) in &self.jobs.table {
            let Some(outcome) = job.outcome else { continue };
            // An unseen machine may still run tasks of a held job: its team's limit needs them.
            if job.held || !job.bound.is_empty() || self.has_open_starts(*id) {
                continue;
            }
            let spec_id = &job.spec.id;
            let mut changes = Vec::new();
            let mut guards = Vec::new();
            let chunks: Vec<u32> = (0..job.done.chunks())
                .rev()
                .filter(|c| job.stamps[*c as usize] > 0)
                .collect();
            let small = chunks.len() + 2 <= txn_ops;
            for chunk in chunks {
                if !small && chunk == 0 {
                    break;
                }
                if changes.len() >= txn_ops {
                    break;
                }
                let key = done_key(spec_id, chunk);
                guards.push(Guard::new(key.clone(), job.stamps[chunk as usize]));
                changes.push(Change::delete(key));
            }
            let kind = if small {
                changes.push(Change::write(
                    final_key(spec_id),
                    to_value(&FinalRecord {
                        state: outcome,
                        tasks: job.spec.tasks,
                    }),
                ));
                changes.push(Change::delete(job_key(spec_id)));
                guards.push(Guard::new(job_key(spec_id), job.job_stamp));
                WriteKind::Retire
            } else {
                // Too many chunks for one transaction: the higher ones go first.
                let chunk = 0;
                WriteKind::Set {
                    chunk,
                    text: String::new(),
                }
            };
            ops += changes.len();
            if ops > budget {
                break;
            }
            writes.push(Write {
                job: *id,
                kind,
                guards,
                changes,
            });
        }
        writes
    }

    /// A start without an answer may still arrive: its attempt must not be cleared, so its job
    /// stays known.
    fn has_open_starts(&self, id: JobId) -> bool {
        self.machines
            .values()
            .flat_map(|m| m.attempts.range((id, 0, 0)..=(id, u32::MAX, u64::MAX)))
            .any(|(_, a)| a.direct != Direct::Settled)
    }

    /// A write was committed at this revision.
    pub fn written(&mut self, write: &Write, epoch: u64) {
        let Some(job) = self.jobs.table.get_mut(&write.job) else {
            return;
        };
        match &write.kind {
            WriteKind::Final(outcome) => {
                job.stamps[0] = epoch;
                let outcome = *outcome;
                if outcome == Outcome::Done {
                    job.recorded = job.done.clone();
                }
                self.finish(write.job, outcome);
            }
            WriteKind::Set { chunk, text } => {
                for change in &write.changes {
                    if let Change::Delete { delete } = change
                        && let Some(c) = delete
                            .rsplit_once('/')
                            .and_then(|(_, c)| c.parse::<usize>().ok())
                    {
                        job.stamps[c] = 0;
                    }
                }
                if write
                    .changes
                    .iter()
                    .any(|c| matches!(c, Change::Write { .. }))
                {
                    job.stamps[*chunk as usize] = epoch;
                    let _ = job.recorded.add_chunk(*chunk, text);
                }
            }
            WriteKind::Retire => {
                let id = job.spec.id.clone();
                self.forget_job(&id);
            }
        }
    }

    /// A retired job leaves memory. What workers still report of it are exited attempts: they
    /// are told to clear them.
    pub fn forget_job(&mut self, id: &str) {
        let Some(job_id) = self.jobs.find(id) else {
            return;
        };
        self.jobs.remove(job_id);
        for m in self.machines.values_mut() {
            m.attempts.retain(|k, _| k.0 != job_id);
        }
    }

    /// A done set's key turned out to be absent.
    pub fn done_key_absent(&mut self, id: &str, chunk: u32) {
        if let Some(job_id) = self.jobs.find(id)
            && let Some(job) = self.jobs.table.get_mut(&job_id)
            && let Some(stamp) = job.stamps.get_mut(chunk as usize)
        {
            *stamp = 0;
        }
    }
}

/// Packs writes into transactions of at most `ops` changes, keeping each write whole.
pub fn pack(writes: Vec<Write>, ops: usize) -> Vec<Vec<Write>> {
    let mut packs: Vec<Vec<Write>> = Vec::new();
    let mut size = 0;
    for write in writes {
        let n = write.changes.len();
        match packs.last_mut() {
            Some(pack) if size + n <= ops => {
                pack.push(write);
                size += n;
            }
            _ => {
                packs.push(vec![write]);
                size = n;
            }
        }
    }
    packs
}
