//! The workers' messages as they stand on the wire.

use crate::http::cbor::Decimal;
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
    pub session: u64,
    pub tick: u64,
    #[serde(rename = "baton", default)]
    pub token: u64,
    #[serde(rename = "recallS", default)]
    pub recall: Option<Decimal>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

/// Of a report, only whose it is.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatSender {
    pub host: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedTask {
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: TaskStatus,
    #[serde(default)]
    pub cause: Option<ExitReason>,
    #[serde(default)]
    pub stored: Option<bool>,
}

impl ReportedTask {
    /// Job and task number.
    pub fn parts(&self) -> Option<(&str, u32)> {
        let (id, number) = self.piece.rsplit_once('/')?;
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
    pub verb: CommandKind,
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "leewayS", default, skip_serializing_if = "Option::is_none")]
    pub leeway_s: Option<f64>,
}

impl Eq for WorkerCommand {}

#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReplyBody {
    #[serde(rename = "baton")]
    pub token: u64,
    pub orders: Vec<WorkerCommand>,
}

#[derive(Debug, Serialize)]
pub struct NotLeaderReply {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub foreman: Option<String>,
}

#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    pub orders: &'a [WorkerCommand],
}
