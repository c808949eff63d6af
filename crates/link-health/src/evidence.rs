//! What calls and messages prove about a link.

use aspenreel_time::Moment;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The name of a controller, as the platform's settings give it.
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

/// One link of a controller. Workers are watched as a set, see [`crate::workers`].
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, BorshSerialize, BorshDeserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// Reads and watches of the state service, and lease renewals.
    StateReads,
    /// Transactions in the state service.
    StateWrites,
    /// Requests to another controller.
    Peer(NodeName),
    /// Heartbeats of the workers, as a set.
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

/// Why a call over a link failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The other end answered that it doesn't serve.
    Refused,
    /// No connection came about.
    Unreachable,
    /// The request was sent and no answer came in time.
    NoAnswer,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Failure::Refused => "refused",
            Failure::Unreachable => "unreachable",
            Failure::NoAnswer => "no answer",
        })
    }
}

/// What one call proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer came back: both directions work.
    Answered,
    /// At least one direction doesn't.
    Failed(Failure),
    /// A message of the other end arrived: its direction works, ours is unknown.
    Heard,
}

/// One observation of one link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The link that was used.
    pub link: Link,
    /// What came of it.
    pub outcome: Outcome,
    /// When the outcome was known.
    pub at: Moment,
}
