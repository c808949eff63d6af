//! What the store tells every controller about the leadership.

use serde::{Deserialize, Serialize};

/// The key of the [`LeaderRecord`]. It exists only while the leader's lease lives.
pub const LEADER_KEY: &str = "leader";

/// The key of the [`PreferredZone`].
pub const PREFERRED_ZONE_KEY: &str = "hint";

/// Who leads: the value of [`LEADER_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    pub node: String,
    /// Its term.
    pub term: u64,
    /// The lease with which the key ends.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// The zone whose controllers should campaign first, since the last leader received no heartbeats from there: the
/// value of [`PREFERRED_ZONE_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PreferredZone(
    /// The zone's name.
    pub String,
);
