//! Status of jobs as reported to users, and the progress of the write of a final state.

use super::Outcome;
use borsh::{BorshDeserialize, BorshSerialize};

/// Progress of the write of a job's final state to the key-value store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FinalWrite {
    /// No such write is in flight.
    #[default]
    Idle,
    /// A write is in flight.
    Sent,
    /// The outcome of a write is unknown: it may have been applied, or may still be.
    Unknown,
}

/// Status of a job as known to one controller without asking its peers or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalStatus {
    /// Known status of the job.
    View(JobView),
    /// The write of a final state is in flight. Another controller may read that state in the store and report it
    /// to a user before the writer gets the answer, so until then only the store can tell the status.
    FinalWriteInFlight,
    /// The job is not known to this controller.
    Unknown,
}

/// Status of a job as reported to users. Controllers send it to each other in Borsh, so the order of the fields
/// must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobView {
    /// State of the job.
    pub state: ViewState,
    /// Number of tasks that are recorded as done.
    pub done: u32,
    /// Number of running tasks, as reported by workers.
    pub running: u32,
}

/// State of a job as reported to users. Controllers send it to each other in Borsh, so the order of the variants
/// must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ViewState {
    /// Accepted; no task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// Recorded as done.
    Done,
    /// Recorded as cancelled.
    Cancelled,
}

impl ViewState {
    /// Name of the state in responses to users.
    pub fn name(self) -> &'static str {
        match self {
            ViewState::Queued => "queued",
            ViewState::Running => "running",
            ViewState::Done => "done",
            ViewState::Cancelled => "cancelled",
        }
    }
}

impl JobView {
    /// View of an accepted job without running or done tasks.
    pub(super) const QUEUED: JobView = JobView {
        state: ViewState::Queued,
        done: 0,
        running: 0,
    };

    /// View of a job with this final outcome and this number of tasks.
    pub fn of_final(outcome: Outcome, tasks: u32) -> JobView {
        let (state, done) = match outcome {
            Outcome::Done => (ViewState::Done, tasks),
            Outcome::Cancelled => (ViewState::Cancelled, 0),
        };
        JobView {
            state,
            done,
            running: 0,
        }
    }

    /// True if the state is final: it never changes any more.
    pub fn is_final(&self) -> bool {
        matches!(self.state, ViewState::Done | ViewState::Cancelled)
    }
}
