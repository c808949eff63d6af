//! What a checker is told: jobs, places of tasks, questions and answers.

use crate::scheduler::Time;

/// What a user submits, as far as the rules and the machines need it.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// The id under which it is submitted.
    pub id: String,
    /// The team that it is charged to.
    pub team: String,
    /// How many tasks it has.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// How long the first task runs, in seconds.
    pub run_s: f64,
    /// Each task runs by so much longer than the one before.
    pub run_increment_s: f64,
    /// Its tasks are replicas: they run until it is cancelled, and one that ends runs again.
    pub standing: bool,
    /// A task saves within this when it is stopped; 0: it never saves.
    pub checkpoint_s: f64,
    /// The only zone in which its tasks may run, if it names one.
    pub zone: Option<String>,
    /// Its tasks must all be in one zone.
    pub same_zone: bool,
    /// No zone may have more than half of its tasks.
    pub spread: bool,
    /// Its tasks may run on spot machines.
    pub spot: bool,
    /// Its priority, by the name on the wire.
    pub priority: &'static str,
}

impl JobPlan {
    /// An array of team `a`, with no demands on places.
    pub fn new(id: u32, tasks: u32, cpus: f64, run_s: f64) -> JobPlan {
        JobPlan {
            id: format!("run-{id}"),
            team: "a".into(),
            tasks,
            cpus,
            run_s,
            run_increment_s: 0.0,
            standing: false,
            checkpoint_s: 0.0,
            zone: None,
            same_zone: false,
            spread: false,
            spot: true,
            priority: "normal",
        }
    }
}

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The machine's name.
    pub machine: String,
    /// The machine's zone.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
}

/// What a user asks a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The submission of the job, perhaps once more.
    Submit,
    /// A body with the job's name that can't be accepted by itself.
    MalformedSubmit,
    /// How far the job is.
    Status,
    /// To cancel the job.
    Cancel,
}

/// An answer that a user got in time.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What was asked.
    pub kind: RequestKind,
    /// The controller that was asked.
    pub node: usize,
    /// When the question was sent.
    pub sent: Time,
    /// When the answer arrived.
    pub got: Time,
    /// The HTTP status.
    pub status: u16,
    /// The job's state, if the answer tells one.
    pub state: Option<String>,
}

impl Answer {
    /// The final state that it tells, if it tells one.
    pub(crate) fn final_state(&self) -> Option<&str> {
        let state = self.state.as_deref();
        state.filter(|state| matches!(*state, "done" | "cancelled"))
    }
}
