//! Messages between workers and controllers in their wire format.
//!
//! Only this module contains the wire names: `serde(rename)` maps each of them to the name that the rest of the
//! code uses.

use super::{AgentEpoch, FencingToken};
use crate::http::cbor::Number;
use serde::{Deserialize, Serialize};

/// Heartbeat of a worker. The answer to a direct call has the same format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the machine that the worker runs on.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which the worker accepts direct calls, as `address:port`; empty if it accepts none.
    #[serde(default)]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Current agent epoch of the worker. The first is 1; the worker increments it when its lease has expired.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the heartbeat within the agent epoch.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen; 0 if none.
    #[serde(rename = "baton", default)]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud preempts the machine; present once the worker has received a preemption notice.
    #[serde(rename = "recallS", default)]
    pub preemption_notice_s: Option<Number>,
    /// All attempts on the machine, including exited ones that were not cleared yet.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

/// The sender of a heartbeat; the other fields are ignored when decoding.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatSender {
    /// Name of the machine that the worker runs on.
    #[serde(rename = "host")]
    pub machine: String,
}

/// State of one attempt, as reported by the worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    /// Task in the form `<job id>/<task number>`.
    #[serde(rename = "piece")]
    pub task_id: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Phase of the attempt's execution.
    pub status: TaskStatus,
    /// Reason of the exit, if the attempt has exited.
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    /// Whether the attempt has saved a checkpoint.
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

impl ReportedTask {
    /// Splits `task_id` into the job's id and the task number; `None` if it is malformed.
    pub fn parts(&self) -> Option<(&str, u32)> {
        let (job_id, number) = self.task_id.rsplit_once('/')?;
        Some((job_id, number.parse().ok()?))
    }
}

/// Phase of an attempt's execution on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// The task's image is being fetched.
    Fetching,
    /// The task is running.
    Running,
    /// The task received a stop command and is saving its checkpoint.
    Flushing,
    /// The attempt has ended and no longer uses resources.
    Exited,
    /// A status unknown to this version. The attempt counts as using its resources.
    #[serde(other)]
    Other,
}

/// Reason of an attempt's exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// A stop command ended the attempt.
    Stopped,
    /// The task failed.
    Error,
    /// The machine had too few free resources for the task.
    Full,
    /// Another attempt of the same task was on the machine.
    Busy,
    /// The worker found no program for the task.
    NoSuch,
    /// A reason unknown to this version.
    #[serde(other)]
    Other,
}

/// Action that a command requests for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start the attempt, unless the worker already holds it.
    Run,
    /// End the attempt after a grace period, in which the task can save a checkpoint.
    Stop,
    /// Drop the exited attempt from the worker's list.
    Clear,
}

/// Command to a worker, concerning one attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    /// Requested action.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// Task in the form `<job id>/<task number>`.
    #[serde(rename = "piece")]
    pub task_id: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Grace period of a [`CommandKind::Stop`], in seconds.
    #[serde(rename = "leewayS", default, skip_serializing_if = "Option::is_none")]
    pub grace_period_s: Option<f64>,
}

/// `PartialEq` is reflexive here although it compares floats: grace periods are never NaN.
impl Eq for WorkerCommand {}

/// Reply of the leader to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReplyBody {
    /// The leader's fencing token for this machine.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Commands to the worker, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Reply to a heartbeat by a controller that isn't the leader.
#[derive(Debug, Serialize)]
pub struct NotLeaderReply {
    /// Node name of the leader, if known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Request body of a direct call. The worker refuses the commands if it has seen a higher fencing token or is
/// in another agent epoch.
#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    /// The leader's fencing token for this machine.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Agent epoch of the worker that the leader addresses.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Commands to the worker, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: &'a [WorkerCommand],
}
