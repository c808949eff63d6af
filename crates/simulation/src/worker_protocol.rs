//! Messages that simulated workers and stand-ins of workers decode.

use aspenreel::http::cbor::decode;
use aspenreel::workers::wire::WorkerCommand;
use aspenreel::workers::{AgentEpoch, FencingToken};
use serde::Deserialize;

/// Direct commands: the body of a request that a controller sends to a worker's own address.
#[derive(Deserialize)]
pub(crate) struct DirectCommands {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Agent epoch of the worker for which the commands are meant.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Commands to execute, in their order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

impl DirectCommands {
    /// True if a worker in this agent epoch which knows this fencing token must refuse the commands.
    pub fn are_refused(&self, fencing_token: FencingToken, agent_epoch: AgentEpoch) -> bool {
        self.fencing_token < fencing_token || self.agent_epoch != agent_epoch
    }
}

/// Name of the leader in the refusal of a heartbeat, if it names one.
pub(crate) fn leader_of(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct NotLeader {
        #[serde(rename = "foreman")]
        leader: Option<String>,
    }
    let reply: NotLeader = decode(body).unwrap();
    reply.leader
}

/// Splits a task id into the id of the job and the number of the task.
pub(crate) fn split_task_id(task_id: &str) -> (&str, u32) {
    let (job, task) = task_id.rsplit_once('/').unwrap();
    (job, task.parse().unwrap())
}
