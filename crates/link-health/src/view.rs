//! What controllers tell each other about their links.
//!
//! A view is advice about liveness only. [`crate::peer_views`] decides which views count.

use crate::link::NodeName;
use crate::monitor::LinkState;
use crate::reachability::Reachability;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// The first byte of an encoded view. A version that only appends fields keeps it; one whose views an
/// earlier version could misread changes it.
const VIEW_VERSION: u8 = 1;
/// An upper bound of the encoded size: two node names and a few numbers.
pub const MAX_VIEW_BYTES: usize = 2048;

/// One controller's view of its links.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct LinkView {
    /// The sender.
    pub from: NodeName,
    /// The only controller that may use it.
    pub to: NodeName,
    /// When the sender's process began, its time of day in microseconds. Distinguishes its processes.
    pub process: u64,
    /// Rises with each view of the process.
    pub sequence: u64,
    /// The newest term that the sender knows of.
    pub term: u64,
    /// Whether the sender leads that term.
    pub leads: bool,
    /// Its link for reads of the key-value store.
    pub state_reads: LinkState,
    /// Its link for writes to the key-value store.
    pub state_writes: LinkState,
    /// How many workers reach it.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
}

/// Why a view is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ViewError {
    /// Longer than [`MAX_VIEW_BYTES`].
    #[error("it is too large")]
    TooLarge,
    /// The version is unknown here.
    #[error("its version is unknown")]
    Version,
    /// The bytes are no view.
    #[error("it is malformed")]
    Malformed,
    /// It comes from another controller than the one that was asked.
    #[error("it is of another controller")]
    WrongSender,
    /// It was made for another controller.
    #[error("it is for another controller")]
    WrongReceiver,
    /// It is no newer than the one already known.
    #[error("it is late")]
    Late,
}

impl LinkView {
    /// The view as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![VIEW_VERSION];
        // Writing to memory doesn't fail.
        let _ = borsh::to_writer(&mut bytes, self);
        bytes
    }

    /// Reads a view. Fields that a later version appended are ignored.
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

    /// As far as the sender knows, it can read and write the key-value store.
    pub fn reaches_store(&self) -> bool {
        self.state_reads == LinkState::Up && self.state_writes == LinkState::Up
    }
}
