//! What is kept of jobs in the key-value store: the forms of the records, and their keys.

use serde::{Deserialize, Serialize};

/// How a job ended. Once recorded it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// All of its tasks ended well.
    Done,
    /// It was cancelled before all of its tasks were done.
    Cancelled,
}

/// The value of `done/<ref>/<chunk>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneRecord {
    /// The job's final state, if it has one: only in chunk 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Outcome>,
    /// The chunk's tasks that are done, as text (see [`TaskSet`](super::TaskSet)).
    #[serde(default)]
    pub set: String,
}

/// The value of `final/<ref>`, all that stays of a job when nothing of it is left on any machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    /// How it ended.
    pub state: Outcome,
    /// How many tasks it had.
    pub tasks: u32,
}

/// The key prefix of accepted jobs.
pub const JOBS_PREFIX: &str = "jobs/";
/// The key prefix of done sets and final states.
pub const DONE_PREFIX: &str = "done/";
/// The key prefix of pages of start watermarks: which tasks of which jobs may have started.
pub const WATERMARKS_PREFIX: &str = "claims/";
/// The key prefix of what stays of retired jobs.
const FINAL_PREFIX: &str = "final/";

/// This key exists while the leader holds as many jobs as its memory allows; it vanishes with the leader's
/// lease. Its absence is a precondition of every acceptance, so that no controller accepts what no leader
/// could hold.
pub const FULL_KEY: &str = "full";

/// The key of an accepted job.
pub(super) fn job_key(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// The key of one chunk of a job's done set.
pub(super) fn done_key(id: &str, chunk: u32) -> String {
    format!("{DONE_PREFIX}{id}/{chunk}")
}

/// The job and the chunk that a done set's key names; `None` for other keys.
pub(super) fn parse_done_key(key: &str) -> Option<(&str, u32)> {
    let (id, chunk) = key.strip_prefix(DONE_PREFIX)?.split_once('/')?;
    Some((id, chunk.parse().ok()?))
}

/// The key of what stays of a retired job.
pub(super) fn final_key(id: &str) -> String {
    format!("{FINAL_PREFIX}{id}")
}
