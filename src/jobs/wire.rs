//! Submissions as they stand on the wire and in the key-value store, and their one conversion to
//! [`JobSpec`]. The interface's older words stand here, in serde names, and nowhere else.

use super::{JobKind, JobSpec, Priority};
use crate::http::cbor::{DecodeError, Number, decode};
use crate::placement::Resources;
use crate::time::{Micros, WallTime};
use serde::{Deserialize, Serialize};

/// The largest number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// The prefix of all job ids.
const ID_PREFIX: &str = "run-";
/// The largest number of digits of a job id.
const MAX_ID_DIGITS: usize = 40;
/// Amounts of resources and times in seconds up to this are accepted.
const MAX_AMOUNT: f64 = 1e9;

/// A submission: the body of a user's request, and the value of `jobs/<ref>`.
///
/// Fields are written in this order: the stored bytes depend on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id (`run-` and digits).
    #[serde(rename = "ref")]
    pub id: String,
    /// Jobs of one class are expected to run for similar times.
    #[serde(rename = "lane")]
    pub class: String,
    /// Whose quota its tasks count against.
    #[serde(rename = "crew")]
    pub team: String,
    /// Whether it ends by itself.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// How urgent it is.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u64,
    /// CPUs of one task.
    pub cpus: Number,
    /// GPUs of one task.
    pub gpus: Number,
    /// Memory of one task in gigabytes.
    #[serde(rename = "ramGb")]
    pub ram_gb: Number,
    /// The image that its tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// The image's size in gigabytes.
    #[serde(rename = "imageGb")]
    pub image_gb: Number,
    /// Machine types on which its tasks may run; `None` allows all.
    #[serde(rename = "builds", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only zone in which its tasks may run, if it names one.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All of its tasks must run in one zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// Its tasks must be spread over zones.
    pub spread: bool,
    /// Its tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "guessS")]
    pub estimate_s: Number,
    /// Seconds between two checkpoints of a task; 0 if it makes none.
    #[serde(rename = "bookmarkS")]
    pub checkpoint_interval_s: Number,
    /// Seconds that one checkpoint takes.
    #[serde(rename = "stashS")]
    pub checkpoint_duration_s: Number,
    /// Seconds from acceptance by which it should be done.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<Number>,
    /// When it was accepted, in microseconds since 1970 by the accepting controller's clock. Users don't
    /// send it; only the stored record has it.
    #[serde(rename = "acceptedUs", default)]
    pub accepted_us: u64,
}

/// Why a body is not a submission. Users are told the text.
#[derive(Debug, thiserror::Error)]
pub enum MalformedSubmission {
    /// The body has another form.
    #[error(transparent)]
    Body(#[from] DecodeError),
    /// A field, here with its name on the wire, has a value that is not allowed.
    #[error("field `{0}`")]
    Field(&'static str),
}

/// Whether an id has the form that users give to jobs (`run-` and digits).
pub(super) fn is_job_id(id: &str) -> bool {
    id.strip_prefix(ID_PREFIX).is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// The job id in a body that is not a submission otherwise.
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
    /// Decodes and checks the body of a request.
    ///
    /// # Errors
    ///
    /// [`MalformedSubmission`] with the first field whose value is not allowed, or with what is wrong with
    /// the body's form.
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

    /// The job that it asks for.
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
