//! The workers' messages as they stand on the wire.

use crate::http::cbor::Number;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    #[serde(rename = "host")]
    pub machine: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "build")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    #[serde(rename = "tick")]
    pub sequence: u64,
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    #[serde(rename = "recallS", default)]
    pub preemption_notice_s: Option<Number>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

/// Of a report, only whose it is.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatSender {
    #[serde(rename = "host")]
    pub machine: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    #[serde(rename = "piece")]
    pub task_id: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: TaskStatus,
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

impl ReportedTask {
    /// Job and task number.
    pub fn parts(&self) -> Option<(&str, u32)> {
        let (id, number) = self.task_id.rsplit_once('/')?;
        Some((id, number.parse().ok()?))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    Fetching,
    Running,
    Flushing,
    Exited,
    /// A state that this version doesn't know: the task is there, and holds its place.
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    Done,
    Stopped,
    Error,
    Full,
    Busy,
    NoSuch,
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    Run,
    Stop,
    Clear,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    #[serde(rename = "piece")]
    pub task_id: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "leewayS", default, skip_serializing_if = "Option::is_none")]
    pub grace_period_s: Option<f64>,
}

impl Eq for WorkerCommand {}

#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReplyBody {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

#[derive(Debug, Serialize)]
pub struct NotLeaderReply {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    #[serde(rename = "orders")]
    pub commands: &'a [WorkerCommand],
}
