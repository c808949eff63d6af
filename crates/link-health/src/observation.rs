//! Observations of a link: the outcomes of single calls, and received messages.

use crate::link::Link;
use aspenreel_time::Moment;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::Serialize;
use std::fmt;

/// Why a call over a link failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallFailure {
    /// The other end answered that it can't serve the request at present.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The request was sent and no answer arrived in time.
    NoAnswer,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            CallFailure::Refused => "refused",
            CallFailure::Unreachable => "unreachable",
            CallFailure::NoAnswer => "no answer",
        })
    }
}

/// What the outcome of one call, or one received message, proves about a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// An answer arrived: both directions work.
    Answered,
    /// No answer arrived: at least one direction doesn't work.
    Failed(CallFailure),
    /// A message from the other end arrived: that direction works, the other is unknown.
    MessageReceived,
}

/// One observation of one link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The link that was used.
    pub link: Link,
    /// The outcome of the call, or the receipt of a message.
    pub outcome: CallOutcome,
    /// Time at which the outcome became known.
    pub at: Moment,
}
