//! What controllers tell each other about their links.
//!
//! A view is advice about liveness. It is believed only as long as it is young, only from the controller
//! that was asked, and only if it is newer than what is known of that controller's process. Anything
//! else is counted and has no effect.

use crate::evidence::NodeName;
use crate::monitor::LinkState;
use crate::workers::Hearing;
use aspenreel_time::{Micros, Moment};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first byte of an encoded view. A later version appends fields and keeps it, or changes it where
/// an earlier one could misread them.
const VIEW_VERSION: u8 = 1;
/// More than any view takes: two node names and a few numbers.
pub const MAX_VIEW_BYTES: usize = 2048;

/// One controller's view of its links.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct LinkView {
    /// Whose view it is.
    pub from: NodeName,
    /// For whom it was made.
    pub to: NodeName,
    /// When the sender's process began, as its time of day in microseconds: tells processes apart.
    pub process: u64,
    /// Rises with each view of that process.
    pub sequence: u64,
    /// The newest term that the sender knows of.
    pub term: u64,
    /// It leads that term.
    pub leads: bool,
    /// Its link for reads of the state service.
    pub state_reads: LinkState,
    /// Its link for writes.
    pub state_writes: LinkState,
    /// Which workers it hears.
    pub hearing: Hearing,
}

/// Why a view has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ViewError {
    /// Longer than any view.
    #[error("it is too large")]
    TooLarge,
    /// Of a version that isn't known here.
    #[error("its version is unknown")]
    Version,
    /// Not a view.
    #[error("it is malformed")]
    Malformed,
    /// From another controller than the one that was asked.
    #[error("it is of another controller")]
    WrongSender,
    /// Made for another controller.
    #[error("it is for another controller")]
    WrongReceiver,
    /// No newer than the one that is known.
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

    /// It can read and write the state service, as far as it knows.
    pub fn has_state(&self) -> bool {
        self.state_reads == LinkState::Up && self.state_writes == LinkState::Up
    }
}

/// What is known of one peer's view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PeerView {
    /// It wasn't heard yet.
    #[default]
    Unheard,
    /// It answers, but doesn't exchange views: an earlier version, or without the flag.
    NotOffered,
    /// Its newest view, and when it was surely still true: when the question was sent.
    Known {
        /// The view.
        view: LinkView,
        /// When the question that it answers was sent.
        asked: Moment,
        /// Until when it is believed.
        believed_until: Moment,
    },
}

/// How long views are believed, by the way that they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BelievedFor {
    /// Those that a peer answered with. Shorter than workers are silent before it shows: else a view from
    /// before a cut would speak for a peer that is beyond it.
    pub direct: Micros,
    /// Those from the state service. A peer leaves them there only once it doesn't reach the leader, so they
    /// are younger than the cut; they come every few seconds, and are read as often.
    pub stored: Micros,
}

/// The views of all peers.
#[derive(Debug)]
pub struct ViewBook {
    own: NodeName,
    peers: BTreeMap<NodeName, PeerView>,
    rejected: u64,
    believed_for: BelievedFor,
}

impl ViewBook {
    /// An empty book.
    pub fn new(own: NodeName, peers: &[NodeName], believed_for: BelievedFor) -> ViewBook {
        let peers = peers
            .iter()
            .map(|name| (name.clone(), PeerView::Unheard))
            .collect();
        ViewBook {
            own,
            peers,
            rejected: 0,
            believed_for,
        }
    }

    /// Takes in a peer's answer. On an error nothing is changed but the count of rejected views.
    pub fn take(&mut self, peer: &NodeName, bytes: &[u8], asked: Moment) -> Result<(), ViewError> {
        self.take_until(peer, bytes, asked, asked + self.believed_for.direct)
    }

    /// Takes in a view that a peer left in the state service, true at `at`.
    pub fn take_stored(
        &mut self,
        peer: &NodeName,
        bytes: &[u8],
        at: Moment,
    ) -> Result<(), ViewError> {
        self.take_until(peer, bytes, at, at + self.believed_for.stored)
    }

    fn take_until(
        &mut self,
        peer: &NodeName,
        bytes: &[u8],
        asked: Moment,
        believed_until: Moment,
    ) -> Result<(), ViewError> {
        let result = self.check(peer, bytes);
        match result {
            Ok(view) => {
                let known = PeerView::Known {
                    view,
                    asked,
                    believed_until,
                };
                self.peers.insert(peer.clone(), known);
                Ok(())
            }
            Err(error) => {
                self.rejected += 1;
                Err(error)
            }
        }
    }

    /// The peer answers, but not with views.
    pub fn not_offered(&mut self, peer: &NodeName) {
        self.peers.insert(peer.clone(), PeerView::NotOffered);
    }

    /// What is known of each peer.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeName, &PeerView)> {
        self.peers.iter()
    }

    /// The views that are young enough to be believed.
    pub fn fresh(&self, now: Moment) -> Vec<&LinkView> {
        let mut fresh = Vec::new();
        for peer in self.peers.values() {
            if let PeerView::Known {
                view,
                believed_until,
                ..
            } = peer
                && now < *believed_until
            {
                fresh.push(view);
            }
        }
        fresh
    }

    /// Some peer answers without exchanging views: of it nothing can be known.
    pub fn some_not_offered(&self) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| *peer == PeerView::NotOffered)
    }

    /// Something that should be a view had no effect.
    pub fn reject(&mut self) {
        self.rejected += 1;
    }

    /// How many views were without effect.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    fn check(&self, peer: &NodeName, bytes: &[u8]) -> Result<LinkView, ViewError> {
        let view = LinkView::decode(bytes)?;
        if view.from != *peer {
            return Err(ViewError::WrongSender);
        }
        if view.to != self.own {
            return Err(ViewError::WrongReceiver);
        }
        let Some(PeerView::Known { view: known, .. }) = self.peers.get(peer) else {
            return Ok(view);
        };
        // Times of day may step back a little between processes; a sequence never does within one.
        if known.process == view.process && known.sequence >= view.sequence {
            return Err(ViewError::Late);
        }
        Ok(view)
    }
}
