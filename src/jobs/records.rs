//! Records of jobs in the key-value store: their formats and keys.

use serde::{Deserialize, Serialize};

/// Final state of a job. Once recorded it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// All tasks of the job succeeded.
    Done,
    /// The job was cancelled before all of its tasks were done.
    Cancelled,
}

/// Value of the key `done/<ref>/<chunk>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneRecord {
    /// Final state of the job, if it has one. Only chunk 0 holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Outcome>,
    /// Done tasks of the chunk, as text (see [`TaskSet`](super::TaskSet)).
    #[serde(default)]
    pub set: String,
}

/// Value of the key `final/<ref>`, the only record that remains of a retired job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Final state of the job.
    pub state: Outcome,
    /// Number of tasks that the job had.
    pub tasks: u32,
}

/// Prefix of the keys of accepted jobs.
pub const JOBS_PREFIX: &str = "jobs/";
/// Prefix of the keys of done sets, whose chunk 0 also holds the job's final state.
pub const DONE_PREFIX: &str = "done/";
/// Prefix of the keys of start watermark pages, which tell which tasks of which jobs may have started.
pub const WATERMARKS_PREFIX: &str = "claims/";
/// Prefix of the keys of the final records of retired jobs.
const FINAL_PREFIX: &str = "final/";

/// Key that exists while the leader's jobs take all the memory that they may take; it is deleted when the leader's
/// lease ends. Its absence is a precondition of every acceptance, so that no controller accepts a job for which the
/// leader has no memory.
pub const FULL_KEY: &str = "full";

/// Key of an accepted job's submission.
pub(super) fn job_key(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Key of one chunk of a job's done set.
pub(super) fn done_key(id: &str, chunk: u32) -> String {
    format!("{DONE_PREFIX}{id}/{chunk}")
}

/// Parses the key of a done set into the job's id and the chunk's number; `None` for other keys.
pub(super) fn parse_done_key(key: &str) -> Option<(&str, u32)> {
    let (id, chunk) = key.strip_prefix(DONE_PREFIX)?.split_once('/')?;
    Some((id, chunk.parse().ok()?))
}

/// Key of a retired job's final record.
pub(super) fn final_key(id: &str) -> String {
    format!("{FINAL_PREFIX}{id}")
}
