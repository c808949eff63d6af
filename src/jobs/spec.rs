//! Specification of a job, independent of its wire format.

use crate::placement::Resources;
use crate::time::{Micros, WallTime};
use serde::{Deserialize, Serialize};

/// Priority of a job. The variants are ordered from the least to the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Jobs that run on capacity that no other job needs.
    Low,
    /// Priority that users request by default.
    Normal,
    /// Jobs that are placed before those of normal priority.
    High,
    /// Services that users depend on.
    Production,
}

/// Kind of a job: whether it ends by itself.
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
    /// Id assigned by the user (`run-` and digits).
    pub id: String,
    /// Class of the job. Jobs of one class are expected to have similar run times.
    pub class: String,
    /// Team whose quota the job's tasks count against.
    pub team: String,
    /// Priority in the placement of tasks.
    pub priority: Priority,
    /// Number of tasks; they are numbered from 0.
    pub tasks: u32,
    /// Resources that one task needs on its machine.
    pub demand: Resources,
    /// Name of the image that the tasks run.
    pub image: String,
    /// Size of the image in gigabytes.
    pub image_gb: f64,
    /// Machine types on which the tasks may run; `None` allows all.
    pub machine_types: Option<Vec<String>>,
    /// Zone in which the tasks must run; `None` allows all.
    pub zone: Option<String>,
    /// True if all tasks must run in the same zone, which can be any zone.
    pub same_zone: bool,
    /// True if the tasks must be spread over zones.
    pub spread: bool,
    /// True if the tasks may run on spot machines.
    pub spot: bool,
    /// User's estimate of the run time of one task.
    pub estimate: Micros,
    /// Time between two checkpoints of a task; zero if the tasks make none.
    pub checkpoint_interval: Micros,
    /// Time needed to write one checkpoint.
    pub checkpoint_duration: Micros,
    /// Time after acceptance within which the job should be done, if it has a deadline.
    pub deadline: Option<Micros>,
    /// Kind of the job: whether it ends by itself.
    pub kind: JobKind,
    /// Time of acceptance by the accepting controller's clock.
    pub accepted_at: WallTime,
}

impl JobSpec {
    /// True for a job whose tasks are replicas that run until it is cancelled.
    pub fn is_standing(&self) -> bool {
        self.kind == JobKind::Standing
    }
}
