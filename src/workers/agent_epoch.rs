//! Numbering of a worker's agent epochs.

use log::kv::{ToValue, Value};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of an agent epoch, which is a period during which the worker's lease didn't expire.
///
/// Only the worker increments the number, by one, after its lease has expired and it has ended all of its attempts.
/// The first epoch is 1. The number never decreases, so commands that name an older epoch are refused permanently.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// Epoch of a worker from which nothing has arrived yet. No worker reports this number.
    pub const UNKNOWN: AgentEpoch = AgentEpoch(0);

    /// Number of the epoch that follows this one.
    pub fn next(self) -> AgentEpoch {
        AgentEpoch(self.0 + 1)
    }
}

impl fmt::Display for AgentEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Logged as the plain number.
impl ToValue for AgentEpoch {
    fn to_value(&self) -> Value<'_> {
        self.0.to_value()
    }
}
