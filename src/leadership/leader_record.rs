//! Stored records about the leader, which every controller reads.

use serde::{Deserialize, Serialize};

/// Store key of the [`LeaderRecord`], attached to the leader lease: it is deleted when that lease ends, if not
/// before.
pub const LEADER_KEY: &str = "leader";

/// Store key of the [`PreferredZone`].
pub const PREFERRED_ZONE_KEY: &str = "hint";

/// Current leader: the value of [`LEADER_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader.
    pub node: String,
    /// Term of the leader.
    pub term: u64,
    /// Id of the leader lease, whose end deletes the key.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// Zone whose controllers should campaign first, because the last leader received no heartbeats from workers in that
/// zone: the value of [`PREFERRED_ZONE_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PreferredZone(
    /// Name of the zone.
    pub String,
);
