//! What may be said of a job, and what the leader knows of its final write.

use super::Outcome;
use borsh::{BorshDeserialize, BorshSerialize};

/// What is known of a final state that was sent to the key-value store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FinalWrite {
    /// None is under way.
    #[default]
    Idle,
    /// One is under way.
    Sent,
    /// One got no answer: it may have been applied, or may yet be.
    Unknown,
}

/// What one controller can say of a job by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalStatus {
    /// The job's status.
    View(JobView),
    /// A final state is under way to the store. Another controller may have read it there, and told it
    /// to a user, before its writer knows: until then only the store tells.
    FinalWriteInFlight,
    /// The job isn't known here.
    Unknown,
}

/// What a user may be told of a job. Controllers send it to each other: its fields keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobView {
    /// The job's state.
    pub state: ViewState,
    /// Tasks that are recorded as done.
    pub done: u32,
    /// Tasks that run, as workers report them.
    pub running: u32,
}

/// A job's state as users are told it. Controllers send it to each other: variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ViewState {
    /// Accepted; none of its tasks runs.
    Queued,
    /// Some of its tasks run.
    Running,
    /// Recorded as done.
    Done,
    /// Recorded as cancelled.
    Cancelled,
}

impl ViewState {
    /// Its name in answers to users.
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
    /// The view of an accepted job of which nothing runs and nothing is done.
    pub(super) const QUEUED: JobView = JobView {
        state: ViewState::Queued,
        done: 0,
        running: 0,
    };

    /// The view of a job of so many tasks that ended like this.
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

    /// True if the state never changes any more.
    pub fn is_final(&self) -> bool {
        matches!(self.state, ViewState::Done | ViewState::Cancelled)
    }
}
