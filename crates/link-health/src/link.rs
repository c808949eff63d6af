//! The links of a controller and the names of controllers.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The name of a controller: the `node` field of its settings.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
#[serde(transparent)]
pub struct NodeName(pub String);

impl fmt::Display for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl From<&str> for NodeName {
    fn from(name: &str) -> NodeName {
        NodeName(name.to_string())
    }
}

/// A network link of a controller. All its workers together count as one link, see [`crate::reachability`].
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, BorshSerialize, BorshDeserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// Reads and watches of the key-value store, and lease renewals.
    StateReads,
    /// Transactions in the key-value store.
    StateWrites,
    /// Requests to another controller.
    Peer(NodeName),
    /// Heartbeats of all workers together.
    Workers,
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Link::StateReads => f.pad("state-reads"),
            Link::StateWrites => f.pad("state-writes"),
            Link::Peer(name) => f.pad(&format!("peer {name}")),
            Link::Workers => f.pad("workers"),
        }
    }
}
