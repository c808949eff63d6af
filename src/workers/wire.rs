//! The messages between workers and controllers, as they stand on the wire.
//!
//! This is the one place that knows the wire's names; each is mapped to a name of ours by its `serde(rename)`.

use super::{AgentEpoch, FencingToken};
use crate::http::cbor::Number;
use serde::{Deserialize, Serialize};

/// A worker's heartbeat. The answer of a direct call has the same form.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "host")]
    pub machine: String,
    /// Where the worker takes direct commands, as `address:port`. Empty: nowhere.
    #[serde(default)]
    pub addr: String,
    /// The name of the machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// The machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True if it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker's agent epoch, from 1. It rises whenever the worker's lease has expired.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// The heartbeat's sequence number within the agent epoch.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen, 0 if none.
    #[serde(rename = "baton", default)]
    pub fencing_token: FencingToken,
    /// After a preemption notice: the seconds until the cloud takes the machine.
    #[serde(rename = "recallS", default)]
    pub preemption_notice_s: Option<Number>,
    /// All attempts on the machine, also exited ones that were not cleared yet.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

/// Of a heartbeat, only whose it is.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatSender {
    /// The machine's name.
    #[serde(rename = "host")]
    pub machine: String,
}

/// One attempt on a machine, as its worker reports it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    /// The job's id, a slash and the task's number.
    #[serde(rename = "piece")]
    pub task_id: String,
    /// The attempt's number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// What the attempt is doing.
    pub status: TaskStatus,
    /// Why it exited, if it has.
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether it has saved a checkpoint.
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

impl ReportedTask {
    /// The job's id and the task's number, if `task_id` has that form.
    pub fn parts(&self) -> Option<(&str, u32)> {
        let (job_id, number) = self.task_id.rsplit_once('/')?;
        Some((job_id, number.parse().ok()?))
    }
}

/// What an attempt is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// Its image is being fetched.
    Fetching,
    /// It runs.
    Running,
    /// It was told to stop and saves its checkpoint.
    Flushing,
    /// It has ended and uses no resources any more.
    Exited,
    /// A state that this version doesn't know. The attempt uses its resources.
    #[serde(other)]
    Other,
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// A command stopped it.
    Stopped,
    /// The task failed.
    Error,
    /// The machine had too few free resources for it.
    Full,
    /// Another attempt of the task was on the machine.
    Busy,
    /// The worker found nothing to run under the task's name.
    NoSuch,
    /// A reason that this version doesn't know.
    #[serde(other)]
    Other,
}

/// What a worker is to do with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start it, unless it is there already.
    Run,
    /// End it, after a grace period for a checkpoint.
    Stop,
    /// Forget that it exited.
    Clear,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    /// What is to be done.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// The job's id, a slash and the task's number.
    #[serde(rename = "piece")]
    pub task_id: String,
    /// The attempt's number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// For [`CommandKind::Stop`], the grace period in seconds.
    #[serde(rename = "leewayS", default, skip_serializing_if = "Option::is_none")]
    pub grace_period_s: Option<f64>,
}

/// Grace periods are never NaN.
impl Eq for WorkerCommand {}

/// The leader's reply to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReplyBody {
    /// The leader's fencing token for this machine.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// What the worker is to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The reply to a heartbeat of a controller that doesn't lead.
#[derive(Debug, Serialize)]
pub struct NotLeaderReply {
    /// The leader's node name, if it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Commands that go directly to a worker. It refuses them if it has seen a higher fencing token or is in
/// another agent epoch.
#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    /// The leader's fencing token for this machine.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// The worker's agent epoch, as the leader knows it.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// What the worker is to do, in this order.
    #[serde(rename = "orders")]
    pub commands: &'a [WorkerCommand],
}
