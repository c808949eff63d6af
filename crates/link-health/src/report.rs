//! The report of a controller's links for operators.

use crate::link::{Link, NodeName};
use crate::monitor::LinkState;
use crate::observation::CallFailure;
use crate::permissions::Permissions;
use crate::reachability::Reachability;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::Serialize;

/// Version of the encoding: the first byte of an encoded report.
const REPORT_VERSION: u8 = 1;

/// The state of one link of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct LinkRow {
    /// The link that the row describes.
    pub link: Link,
    /// The link's current state.
    pub state: LinkState,
    /// Time since the link entered this state, in milliseconds.
    pub for_ms: u64,
    /// Time since the last answer in milliseconds, if there was one.
    pub answered_ms_ago: Option<u64>,
    /// Time since the last message from the other end in milliseconds, if there was one.
    #[serde(rename = "heard_ms_ago")]
    pub received_ms_ago: Option<u64>,
    /// Number of recent transitions to down.
    pub flaps: u32,
    /// The failure of the last failed call, if any failed.
    pub last_failure: Option<CallFailure>,
}

/// The state of the exchange of views with one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct PeerRow {
    /// The peer's name.
    pub peer: NodeName,
    /// Whether the peer exchanges views; also true if it hasn't answered yet.
    pub offers_views: bool,
    /// Age of the peer's last view in milliseconds, if there is one.
    pub view_ms_ago: Option<u64>,
    /// Number of workers that reach the peer, according to its last view.
    #[serde(rename = "hears")]
    pub reachable_workers: Option<u32>,
}

/// The link states of one controller, and the decisions that follow from them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct LinkReport {
    /// The controller's name.
    pub node: NodeName,
    /// The newest term that the controller knows of.
    pub term: u64,
    /// The leader of that term, if the controller knows it.
    pub leader: Option<NodeName>,
    /// Whether the controller leads, with a lease that has certainly not expired.
    pub leads: bool,
    /// How many workers reach the controller.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
    /// The decisions that the controller may make if it leads.
    pub permissions: Permissions,
    /// The controller's links.
    pub links: Vec<LinkRow>,
    /// The peers of the controller, and the age of their views.
    pub peers: Vec<PeerRow>,
    /// Number of views that were rejected since the process started.
    pub rejected_views: u64,
    /// Number of observations that were dropped because their queue was full, since the process started.
    #[serde(rename = "dropped_evidence")]
    pub dropped_observations: u64,
}

/// Reasons why an encoded report can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The first byte is not a version that this process knows.
    #[error("unknown version of the report encoding")]
    Version,
    /// The bytes don't encode a report.
    #[error("malformed report")]
    Malformed,
}

impl LinkReport {
    /// Encodes the report for sending.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![REPORT_VERSION];
        // Writing to a vector can't fail.
        let _ = borsh::to_writer(&mut bytes, self);
        bytes
    }

    /// Decodes a report. Fields that a later version appended are ignored.
    ///
    /// # Errors
    ///
    /// [`ReportError::Version`] or [`ReportError::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<LinkReport, ReportError> {
        match bytes.split_first() {
            Some((&REPORT_VERSION, mut rest)) => {
                LinkReport::deserialize(&mut rest).map_err(|_| ReportError::Malformed)
            }
            Some(_) => Err(ReportError::Version),
            None => Err(ReportError::Malformed),
        }
    }
}
