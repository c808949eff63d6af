//! Ordering of a worker's heartbeats.

use super::AgentEpoch;
use super::wire::Heartbeat;

/// Position of a heartbeat in the sequence of all heartbeats of one worker: a later heartbeat has a greater one.
///
/// A worker numbers its agent epochs over its whole lifetime and its heartbeats within each epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatPosition {
    /// Agent epoch of the worker; 0 if nothing has arrived from the worker yet.
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the heartbeat within the epoch.
    pub sequence: u64,
}

impl Heartbeat {
    /// Position in the sequence of the worker's heartbeats.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
        }
    }
}
