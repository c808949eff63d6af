//! The number of a worker's agent epoch.

use log::kv::{ToValue, Value};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of an agent epoch: a span of a worker's life in which its lease never expired.
///
/// Only the worker raises it, by one, when its lease has expired; it has ended all of its attempts by then. Its
/// first epoch is 1. It never falls, so commands that name an older epoch are refused for good.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// The epoch of a worker from which nothing arrived yet. No worker reports it.
    pub const UNKNOWN: AgentEpoch = AgentEpoch(0);

    /// The epoch that the worker begins after this one.
    pub fn next(self) -> AgentEpoch {
        AgentEpoch(self.0 + 1)
    }
}

impl fmt::Display for AgentEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A log line shows the bare number.
impl ToValue for AgentEpoch {
    fn to_value(&self) -> Value<'_> {
        self.0.to_value()
    }
}
