//! Observations that the checker gets: jobs, places of tasks, and answers to requests.

use crate::scheduler::Time;

/// Job as a user submits it, with the properties that the rules and the simulated machines need.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Id of the job, assigned by the user.
    pub id: String,
    /// Team whose quota the job's tasks count against.
    pub team: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of CPUs that one task needs.
    pub cpus: f64,
    /// Run time of the first task, in seconds.
    pub run_s: f64,
    /// Difference between the run times of a task and the one before it, in seconds.
    pub run_increment_s: f64,
    /// True for a standing job: its tasks are replicas that run until it is cancelled, and one that ends runs again.
    pub standing: bool,
    /// Time that a stopped task needs to write a checkpoint, in seconds; 0 if it makes none.
    pub checkpoint_s: f64,
    /// Zone in which the tasks must run; `None` allows all.
    pub zone: Option<String>,
    /// True if all tasks must run in the same zone, which can be any zone.
    pub same_zone: bool,
    /// True if the tasks must be spread: no zone may run more than half of them, rounded up.
    pub spread: bool,
    /// True if the tasks may run on spot machines.
    pub spot: bool,
    /// Name of the priority on the wire.
    pub priority: &'static str,
}

impl JobPlan {
    /// Job array of team `a` whose tasks may run on any machine.
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

/// Machine on which a task runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Name of the machine.
    pub machine: String,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot machine.
    pub spot: bool,
}

/// Kind of a user's request to a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submission of the job, possibly repeated.
    Submit,
    /// Submission with the job's id whose body is malformed, so that it can't be accepted.
    MalformedSubmit,
    /// Query of the job's state.
    Status,
    /// Cancellation of the job.
    Cancel,
}

/// Answer that a user received before the timeout of the request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Number of the controller that got the request.
    pub node: usize,
    /// Time at which the request was sent.
    pub sent: Time,
    /// Time at which the answer arrived.
    pub got: Time,
    /// HTTP status of the answer.
    pub status: u16,
    /// State of the job, if the answer contains one.
    pub state: Option<String>,
}

impl Answer {
    /// State of the job, if the answer contains one and it is final.
    pub(crate) fn final_state(&self) -> Option<&str> {
        let state = self.state.as_deref();
        state.filter(|state| matches!(*state, "done" | "cancelled"))
    }
}
