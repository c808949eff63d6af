//! What a controller tells operators about its links.

use crate::link::{Link, NodeName};
use crate::monitor::LinkState;
use crate::observation::CallFailure;
use crate::permissions::Permissions;
use crate::reachability::Reachability;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::Serialize;

/// The first byte of an encoded report.
const REPORT_VERSION: u8 = 1;

/// One link as a controller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct LinkRow {
    /// The link.
    pub link: Link,
    /// Its state.
    pub state: LinkState,
    /// How long it has been in this state, in milliseconds.
    pub for_ms: u64,
    /// The age of the last answer in milliseconds, if there was one.
    pub answered_ms_ago: Option<u64>,
    /// The age of the last message from the other end in milliseconds, if there was one.
    #[serde(rename = "heard_ms_ago")]
    pub received_ms_ago: Option<u64>,
    /// How often it went down lately.
    pub flaps: u32,
    /// How its last failed call failed.
    pub last_failure: Option<CallFailure>,
}

/// What is known of a peer's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct PeerRow {
    /// The peer.
    pub peer: NodeName,
    /// Whether it exchanges views.
    pub offers_views: bool,
    /// The age of its last view in milliseconds, if there is one.
    pub view_ms_ago: Option<u64>,
    /// The number of workers that reach it, according to that view.
    #[serde(rename = "hears")]
    pub reachable_workers: Option<u32>,
}

/// What one controller concludes about its links.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct LinkReport {
    /// The controller.
    pub node: NodeName,
    /// The newest term that it knows of.
    pub term: u64,
    /// The leader of that term, as far as it knows.
    pub leader: Option<NodeName>,
    /// Whether it leads, with a lease that has surely not expired.
    pub leads: bool,
    /// How many workers reach it.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
    /// Which decisions it may make if it leads.
    pub permissions: Permissions,
    /// Its links.
    pub links: Vec<LinkRow>,
    /// Its peers' views.
    pub peers: Vec<PeerRow>,
    /// The number of views that were rejected.
    pub rejected_views: u64,
    /// The number of observations that were dropped because too many came at once.
    #[serde(rename = "dropped_evidence")]
    pub dropped_observations: u64,
}

/// Why a report can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The version is unknown here.
    #[error("its report has an unknown version")]
    Version,
    /// The bytes are no report.
    #[error("its report is malformed")]
    Malformed,
}

impl LinkReport {
    /// The report as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![REPORT_VERSION];
        // Writing to memory doesn't fail.
        let _ = borsh::to_writer(&mut bytes, self);
        bytes
    }

    /// Reads a report. Fields that a later version appended are ignored.
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
