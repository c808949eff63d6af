//! One write to the key-value store that waits to be sent.

use super::{JobId, Outcome};
use crate::http::cbor::json_len;
use crate::store::paged_map::PageImage;
use crate::store::{Change, Precondition, to_value};
use serde::Serialize;

/// One write: its changes belong together, and so do their preconditions.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// What it records, for whoever applies its result.
    pub kind: PendingWriteKind,
    /// The preconditions of the write.
    pub preconditions: Vec<Precondition>,
    /// What it changes.
    pub changes: Vec<Change>,
}

/// What a write records.
#[derive(Clone, Debug)]
pub enum PendingWriteKind {
    /// A job's final state.
    FinalState(JobId, Outcome),
    /// One chunk of a job's done set.
    DoneSet {
        /// The job.
        job: JobId,
        /// The chunk's number.
        chunk: u32,
        /// The chunk's tasks as they are written.
        text: String,
    },
    /// A job's final state, with all its other records deleted: only `final/<ref>` stays.
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

    /// What it takes of a transaction, in bytes of JSON.
    pub(super) fn json_len(&self) -> usize {
        json_len(&to_value(&self.preconditions)) + json_len(&to_value(&self.changes))
    }
}

/// The write of a page under a key prefix, on condition of the revision that the page had.
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
