//! A job as the controllers work with it, independent of its form on the wire.

use crate::placement::Resources;
use crate::time::{Micros, WallTime};
use serde::{Deserialize, Serialize};

/// How urgent a job is. The order of the variants is the order of urgency, the least urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs on what nothing else needs.
    Low,
    /// The default of users.
    Normal,
    /// Before normal work.
    High,
    /// Services that users depend on.
    Production,
}

/// Whether a job ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to its end.
    Array,
    /// Tasks (replicas) that run until the job is cancelled.
    Standing,
}

/// An accepted job's specification. It never changes.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The id that its user gave it (`run-` and digits).
    pub id: String,
    /// Jobs of one class are expected to run for similar times.
    pub class: String,
    /// Whose quota its tasks count against.
    pub team: String,
    /// How urgent it is.
    pub priority: Priority,
    /// Number of tasks; they are numbered from 0.
    pub tasks: u32,
    /// Resources that one task takes of its machine.
    pub demand: Resources,
    /// The image that its tasks run.
    pub image: String,
    /// The image's size in gigabytes.
    pub image_gb: f64,
    /// Machine types on which its tasks may run; `None` allows all.
    pub machine_types: Option<Vec<String>>,
    /// The only zone in which its tasks may run, if it names one.
    pub zone: Option<String>,
    /// All of its tasks must run in one zone, whichever that is.
    pub same_zone: bool,
    /// Its tasks must be spread over zones.
    pub spread: bool,
    /// Its tasks may run on spot machines.
    pub spot: bool,
    /// The user's estimate of a task's run time.
    pub estimate: Micros,
    /// Time between two checkpoints of a task; zero if it makes none.
    pub checkpoint_interval: Micros,
    /// Time that one checkpoint takes.
    pub checkpoint_duration: Micros,
    /// Time from acceptance by which it should be done, if it has a deadline.
    pub deadline: Option<Micros>,
    /// Whether it ends by itself.
    pub kind: JobKind,
    /// When it was accepted, by the accepting controller's clock.
    pub accepted_at: WallTime,
}

impl JobSpec {
    /// True for a job whose tasks are replicas that run until it is cancelled.
    pub fn is_standing(&self) -> bool {
        self.kind == JobKind::Standing
    }
}
