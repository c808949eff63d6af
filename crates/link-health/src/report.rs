//! What a controller tells operators about its links.

use crate::evidence::{Failure, Link, NodeName};
use crate::monitor::LinkState;
use crate::permissions::Permissions;
use crate::workers::Hearing;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::Serialize;

/// The first byte of an encoded report.
const REPORT_VERSION: u8 = 1;

/// One link as a controller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct LinkRow {
    /// The link.
    pub link: Link,
    /// What is believed of it.
    pub state: LinkState,
    /// For how long, in milliseconds.
    pub for_ms: u64,
    /// The age of the last answer, if there was one.
    pub answered_ms_ago: Option<u64>,
    /// The age of the last message of the other end, if there was one.
    pub heard_ms_ago: Option<u64>,
    /// How often it was lost lately.
    pub flaps: u32,
    /// How it last failed.
    pub last_failure: Option<Failure>,
}

/// What is known of a peer's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct PeerRow {
    /// The peer.
    pub peer: NodeName,
    /// It exchanges views.
    pub offers_views: bool,
    /// The age of its last view, if there is one.
    pub view_ms_ago: Option<u64>,
    /// Workers that it hears.
    pub hears: Option<u32>,
}

/// What one controller believes about its links.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct LinkReport {
    /// The controller.
    pub node: NodeName,
    /// The newest term that it knows of.
    pub term: u64,
    /// Who leads it, as far as it knows.
    pub leader: Option<NodeName>,
    /// It leads, and its lease surely lives.
    pub leads: bool,
    /// Which workers it hears.
    pub hearing: Hearing,
    /// What it may decide if it leads.
    pub permissions: Permissions,
    /// Its links.
    pub links: Vec<LinkRow>,
    /// Its peers' views.
    pub peers: Vec<PeerRow>,
    /// Views that were without effect.
    pub rejected_views: u64,
    /// Observations that were dropped since too many came at once.
    pub dropped_evidence: u64,
}

/// A report that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// Of a version that isn't known here.
    #[error("its report has an unknown version")]
    Version,
    /// Not a report.
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
