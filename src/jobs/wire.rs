//! Format of submissions on the wire and in the key-value store, and their only conversion to [`JobSpec`]. The
//! interface's older field names appear only here, as serde names.

use super::{JobKind, JobSpec, Priority};
use crate::http::cbor::{DecodeError, Number, decode};
use crate::placement::Resources;
use crate::time::{Micros, WallTime};
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Prefix of all job ids.
const ID_PREFIX: &str = "run-";
/// Maximum number of digits of a job id.
const MAX_ID_DIGITS: usize = 40;
/// Maximum value of the amounts in a submission: CPUs, GPUs, gigabytes and seconds.
const MAX_AMOUNT: f64 = 1e9;

/// Body of a user's request to submit a job, and value of the key `jobs/<ref>`.
///
/// Fields are encoded in the order of their declaration, so the stored bytes depend on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// Id of the job, assigned by the user (`run-` and digits).
    #[serde(rename = "ref")]
    pub id: String,
    /// Class of the job. Jobs of one class are expected to have similar run times.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose quota the job's tasks count against.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job: whether it ends by itself.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority in the placement of tasks.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u64,
    /// Number of CPUs that one task needs.
    pub cpus: Number,
    /// Number of GPUs that one task needs.
    pub gpus: Number,
    /// Memory that one task needs, in gigabytes.
    #[serde(rename = "ramGb")]
    pub ram_gb: Number,
    /// Name of the image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in gigabytes.
    #[serde(rename = "imageGb")]
    pub image_gb: Number,
    /// Machine types on which the tasks may run; `None` allows all.
    #[serde(rename = "builds", default)]
    pub machine_types: Option<Vec<String>>,
    /// Zone in which the tasks must run; `None` allows all.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// True if all tasks must run in the same zone, which can be any zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// True if the tasks must be spread over zones.
    pub spread: bool,
    /// True if the tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// User's estimate of the run time of one task, in seconds.
    #[serde(rename = "guessS")]
    pub estimate_s: Number,
    /// Seconds between two checkpoints of a task; 0 if the tasks make none.
    #[serde(rename = "bookmarkS")]
    pub checkpoint_interval_s: Number,
    /// Seconds needed to write one checkpoint.
    #[serde(rename = "stashS")]
    pub checkpoint_duration_s: Number,
    /// Seconds after acceptance within which the job should be done; `None` for no deadline.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<Number>,
    /// Time of acceptance in microseconds since 1970 by the accepting controller's clock. Requests of users don't
    /// contain it; it is set in the stored record.
    #[serde(rename = "acceptedUs", default)]
    pub accepted_us: u64,
}

/// Reason why the body of a request is not a valid submission. The text is part of the response to the user.
#[derive(Debug, thiserror::Error)]
pub enum MalformedSubmission {
    /// The body could not be decoded.
    #[error(transparent)]
    Body(#[from] DecodeError),
    /// The field with this name on the wire has a value that is not allowed.
    #[error("field `{0}`")]
    Field(&'static str),
}

/// True if the text is a valid job id: `run-` and 1 to [`MAX_ID_DIGITS`] digits.
pub(super) fn is_job_id(id: &str) -> bool {
    id.strip_prefix(ID_PREFIX).is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Extracts the job id from a body that is not a valid submission; `None` if it contains no valid id.
pub(super) fn job_id_of(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct OnlyId {
        #[serde(rename = "ref")]
        id: String,
    }
    let found: OnlyId = decode(body).ok()?;
    is_job_id(&found.id).then_some(found.id)
}

impl Submission {
    /// Decodes and validates the body of a request.
    ///
    /// # Errors
    ///
    /// [`MalformedSubmission`] with the decoding error, or with the first field whose value is not allowed.
    pub fn decode(body: &[u8]) -> Result<Submission, MalformedSubmission> {
        let submission: Submission = decode(body)?;
        submission.check()?;
        Ok(submission)
    }

    fn check(&self) -> Result<(), MalformedSubmission> {
        check_field("ref", is_job_id(&self.id))?;
        check_field("pieces", (1..=MAX_TASKS).contains(&self.tasks))?;
        for (field, amount) in self.amounts() {
            check_field(field, is_amount(amount))?;
        }
        check_field("cpus", self.cpus.0 > 0.0 || self.gpus.0 > 0.0)?;
        check_field("dueS", self.deadline_s.is_none_or(is_amount))?;
        check_field("bundle", !self.image.is_empty())
    }

    fn amounts(&self) -> [(&'static str, Number); 7] {
        [
            ("cpus", self.cpus),
            ("gpus", self.gpus),
            ("ramGb", self.ram_gb),
            ("imageGb", self.image_gb),
            ("guessS", self.estimate_s),
            ("bookmarkS", self.checkpoint_interval_s),
            ("stashS", self.checkpoint_duration_s),
        ]
    }

    /// Converts the submission to the specification of the job.
    pub fn spec(&self) -> JobSpec {
        JobSpec {
            id: self.id.clone(),
            class: self.class.clone(),
            team: self.team.clone(),
            priority: self.priority,
            tasks: self.tasks.min(MAX_TASKS) as u32,
            demand: Resources::demand(self.cpus.0, self.gpus.0, self.ram_gb.0),
            image: self.image.clone(),
            image_gb: self.image_gb.0,
            machine_types: self.machine_types.clone(),
            zone: self.zone.clone(),
            same_zone: self.same_zone,
            spread: self.spread,
            spot: self.spot,
            estimate: Micros::from_secs_f64(self.estimate_s.0),
            checkpoint_interval: Micros::from_secs_f64(self.checkpoint_interval_s.0),
            checkpoint_duration: Micros::from_secs_f64(self.checkpoint_duration_s.0),
            deadline: self.deadline_s.map(|s| Micros::from_secs_f64(s.0)),
            kind: self.kind,
            accepted_at: WallTime(self.accepted_us),
        }
    }
}

fn check_field(field: &'static str, is_allowed: bool) -> Result<(), MalformedSubmission> {
    match is_allowed {
        true => Ok(()),
        false => Err(MalformedSubmission::Field(field)),
    }
}

fn is_amount(number: Number) -> bool {
    (0.0..=MAX_AMOUNT).contains(&number.0)
}
