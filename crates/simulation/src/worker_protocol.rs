//! What every stand-in of a worker reads from the wire.

use aspenreel::http::cbor::decode;
use aspenreel::workers::wire::WorkerCommand;
use aspenreel::workers::{AgentEpoch, FencingToken};
use serde::Deserialize;

/// Commands that a controller sends to a worker's own address.
#[derive(Deserialize)]
pub(crate) struct DirectCommands {
    /// The sender's fencing token.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// The agent epoch that they are meant for.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// What to do.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

impl DirectCommands {
    /// Whether a worker in this agent epoch, which knows this fencing token, has to refuse them.
    pub fn are_refused(&self, fencing_token: FencingToken, agent_epoch: AgentEpoch) -> bool {
        self.fencing_token < fencing_token || self.agent_epoch != agent_epoch
    }
}

/// The controller that the refusal of a heartbeat names as leader.
pub(crate) fn leader_of(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct NotLeader {
        #[serde(rename = "foreman")]
        leader: Option<String>,
    }
    let reply: NotLeader = decode(body).unwrap();
    reply.leader
}

/// The job's id and the number of the task.
pub(crate) fn split_task_id(task_id: &str) -> (&str, u32) {
    let (job, task) = task_id.rsplit_once('/').unwrap();
    (job, task.parse().unwrap())
}
