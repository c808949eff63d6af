//! Views: the link states that controllers send to each other.
//!
//! Views affect liveness only, not safety. [`crate::peer_views`] decides which views may be used.

use crate::link::NodeName;
use crate::monitor::LinkState;
use crate::reachability::Reachability;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Version of the encoding: the first byte of an encoded view. Appending fields doesn't change it. A change that
/// an earlier version could misread requires a new value.
const VIEW_VERSION: u8 = 1;
/// Maximum size of an encoded view in bytes. A view holds two node names and a few numbers.
pub const MAX_VIEW_BYTES: usize = 2048;

/// The states of one controller's links, as sent to one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct LinkView {
    /// Name of the sender.
    pub from: NodeName,
    /// Name of the receiver, the only controller that may use the view.
    pub to: NodeName,
    /// Wall-clock time at which the sender's process started, in microseconds since the Unix epoch. Distinguishes
    /// the processes of one sender.
    pub process: u64,
    /// Sequence number, which increases with each view of the process.
    pub sequence: u64,
    /// The newest term that the sender knows of.
    pub term: u64,
    /// Whether the sender leads that term.
    pub leads: bool,
    /// State of the sender's link for reads of the key-value store.
    pub state_reads: LinkState,
    /// State of the sender's link for writes to the key-value store.
    pub state_writes: LinkState,
    /// How many workers reach the sender.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
}

/// Reasons why a view is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ViewError {
    /// The encoded view is longer than [`MAX_VIEW_BYTES`].
    #[error("view is larger than {MAX_VIEW_BYTES} bytes")]
    TooLarge,
    /// The first byte is not a version that this process knows.
    #[error("unknown version of the view encoding")]
    Version,
    /// The bytes don't encode a view.
    #[error("malformed view")]
    Malformed,
    /// The sender is not the controller that was asked, or not a configured peer.
    #[error("view is from an unexpected sender")]
    WrongSender,
    /// The receiver is another controller.
    #[error("view is addressed to another controller")]
    WrongReceiver,
    /// The view is not newer than the known one of the same process.
    #[error("view is not newer than the known one")]
    Stale,
}

impl LinkView {
    /// Encodes the view for sending.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![VIEW_VERSION];
        // Writing to a vector can't fail.
        let _ = borsh::to_writer(&mut bytes, self);
        bytes
    }

    /// Decodes a view. Fields that a later version appended are ignored.
    ///
    /// # Errors
    ///
    /// [`ViewError::TooLarge`], [`ViewError::Version`] or [`ViewError::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<LinkView, ViewError> {
        if bytes.len() > MAX_VIEW_BYTES {
            return Err(ViewError::TooLarge);
        }
        match bytes.split_first() {
            Some((&VIEW_VERSION, mut rest)) => {
                BorshDeserialize::deserialize(&mut rest).map_err(|_| ViewError::Malformed)
            }
            Some(_) => Err(ViewError::Version),
            None => Err(ViewError::Malformed),
        }
    }

    /// Whether the sender can read and write the key-value store, as far as it knows.
    pub fn reaches_store(&self) -> bool {
        self.state_reads == LinkState::Up && self.state_writes == LinkState::Up
    }
}
