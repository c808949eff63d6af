//! A write to the key-value store that is waiting to be sent.

use super::{JobId, Outcome};
use crate::http::cbor::json_len;
use crate::store::paged_map::PageImage;
use crate::store::{Change, Precondition, to_value};
use serde::Serialize;

/// A group of changes and preconditions that must be sent in the same transaction.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// Kind of record, by which the result of the write is applied to the scheduler state.
    pub kind: PendingWriteKind,
    /// Conditions that must hold in the store for the changes to be made.
    pub preconditions: Vec<Precondition>,
    /// Keys to be written or deleted.
    pub changes: Vec<Change>,
}

/// Kind of record that a write stores.
#[derive(Clone, Debug)]
pub enum PendingWriteKind {
    /// A job's final state.
    FinalState(JobId, Outcome),
    /// One chunk of a job's done set.
    DoneSet {
        /// Job that the done set belongs to.
        job: JobId,
        /// Number of the chunk, from 0.
        chunk: u32,
        /// Stored text of the chunk's done tasks (see [`TaskSet`](super::TaskSet)).
        text: String,
    },
    /// A job's final state and the deletion of all its other records: only `final/<ref>` remains.
    Retirement(JobId, Outcome),
    /// A page of start watermarks: tasks numbered below these may start.
    StartWatermarks(PageImage<u32>),
    /// A page of the machine registry: these machines may hold tasks.
    MachineRegistry(PageImage<u64>),
}

impl PendingWrite {
    /// True for a page of the machine registry.
    pub(super) fn is_registry(&self) -> bool {
        matches!(self.kind, PendingWriteKind::MachineRegistry(_))
    }

    /// Size in JSON bytes that the write adds to a transaction.
    pub(super) fn json_len(&self) -> usize {
        json_len(&to_value(&self.preconditions)) + json_len(&to_value(&self.changes))
    }
}

/// Creates the write of a page under a key prefix. Its precondition is the revision that the page had.
pub fn page_write<V: Clone + Serialize>(
    prefix: &str,
    image: PageImage<V>,
    kind: impl Fn(PageImage<V>) -> PendingWriteKind,
) -> PendingWrite {
    let key = format!("{prefix}{}", image.number);
    PendingWrite {
        preconditions: vec![Precondition::new(key.clone(), image.revision)],
        changes: vec![Change::write(key, to_value(&image.entries))],
        kind: kind(image),
    }
}
