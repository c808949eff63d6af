//! The sequence of a worker's heartbeats.

use super::AgentEpoch;
use super::wire::Heartbeat;

/// The place of a heartbeat among all heartbeats of one worker: a later one is greater.
///
/// A worker counts its agent epochs over its whole life and its heartbeats within each epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatPosition {
    /// The worker's agent epoch. 0 if nothing arrived from the worker yet.
    pub agent_epoch: AgentEpoch,
    /// The heartbeat's sequence number within the epoch.
    pub sequence: u64,
}

impl Heartbeat {
    /// Its place among the worker's heartbeats.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
        }
    }
}
