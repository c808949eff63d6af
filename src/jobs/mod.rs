//! Jobs: submission, the leader's table of jobs, the records of jobs in the key-value store, and the status that is
//! reported to users.
//!
//! The completion of a task is held in memory until the job's done set is written; only then is the task reported as
//! done. A job is final (done or cancelled) once its final state is recorded, never before.
//!
//! Domain types are in `spec`, `wire`, `records` and `status`; state is in `job`, `table`, `task_set` and
//! `admission_gate`. Decisions are in `admission`, `feasibility`, `completion`, `pending_writes`, `retirement` and
//! `write_results`; these modules do no I/O. All I/O is done by their callers: the record writer, the request
//! handlers in `api`, and the job watch in the `leadership` module.

#![warn(missing_docs)]

mod admission;
mod admission_gate;
mod api;
mod committed_writes;
mod completion;
mod feasibility;
mod gate_writer;
mod job;
mod pending_write;
mod pending_writes;
mod read_back;
mod record_writer_loop;
mod records;
mod retirement;
mod spec;
mod status;
mod status_batches;
mod status_metrics;
mod table;
mod task_set;
mod transactions;
mod wire;
mod write_authority;
mod write_results;

pub use admission_gate::AdmissionGate;
pub use api::STATUS_SENDER_THREADS;
pub use feasibility::Infeasible;
pub use job::{Job, JobId, RunTimes};
pub use pending_write::{PendingWrite, PendingWriteKind, page_write};
pub use records::{
    DONE_PREFIX, DoneRecord, FULL_KEY, FinalRecord, JOBS_PREFIX, Outcome, WATERMARKS_PREFIX,
};
pub use spec::{JobKind, JobSpec, Priority};
pub use status::{FinalWrite, JobView, LocalStatus, ViewState};
pub use status_batches::{LeaderAnswer, PendingLookup, StatusBatches};
pub use status_metrics::{StatusMetrics, StatusSource, StatusTotals};
pub use table::JobTable;
pub use task_set::{MalformedChunk, TaskSet};
pub use transactions::{pack_transactions, take_affordable};
pub use wire::{MAX_TASKS, MalformedSubmission, Submission};
