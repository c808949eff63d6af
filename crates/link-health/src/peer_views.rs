//! The newest view of each peer, and which of them may be used.
//!
//! A view counts only while it is young, only if it comes from the controller that was asked, and only if it is
//! newer than the one known of the same process. All others are counted as rejected and change nothing.

use crate::link::NodeName;
use crate::view::{LinkView, ViewError};
use aspenreel_time::{Micros, Moment};
use std::collections::BTreeMap;

/// What is known of one peer's view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PeerView {
    /// No view has arrived yet.
    #[default]
    NotReceived,
    /// The peer answers, but doesn't exchange views: an earlier version, or one without the flag.
    Unsupported,
    /// The newest view.
    Known {
        /// The view.
        view: LinkView,
        /// A moment at which it was surely still true: when the request that it answers was sent.
        asked: Moment,
        /// Until when it may be used.
        valid_until: Moment,
    },
}

/// How long views may be used, by the way in which they arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewLifetimes {
    /// Of views that a peer answered with. Must be shorter than the silence after which a worker counts as
    /// unreachable: otherwise a view from before a network partition could speak for a peer beyond it.
    pub direct: Micros,
    /// Of views from the key-value store. A peer writes them only once it doesn't reach the leader, so they are
    /// never from before a partition; they are written and read every few seconds.
    pub stored: Micros,
}

/// The views of all peers of one controller.
#[derive(Debug)]
pub struct PeerViews {
    own_name: NodeName,
    peers: BTreeMap<NodeName, PeerView>,
    rejected: u64,
    lifetimes: ViewLifetimes,
}

impl PeerViews {
    /// No view has arrived from any of `peers`.
    pub fn new(own_name: NodeName, peers: &[NodeName], lifetimes: ViewLifetimes) -> PeerViews {
        let peers = peers.iter().cloned();
        PeerViews {
            own_name,
            peers: peers.map(|name| (name, PeerView::NotReceived)).collect(),
            rejected: 0,
            lifetimes,
        }
    }

    /// Takes in the view in a peer's answer to a request that was sent at `asked`.
    ///
    /// # Errors
    ///
    /// Why the view is rejected; then only the count of rejected views changes.
    pub fn accept(
        &mut self,
        peer: &NodeName,
        bytes: &[u8],
        asked: Moment,
    ) -> Result<(), ViewError> {
        self.accept_until(peer, bytes, asked, asked + self.lifetimes.direct)
    }

    /// Takes in a view that a peer wrote to the key-value store, and that was true at `at`.
    ///
    /// # Errors
    ///
    /// As [`PeerViews::accept`].
    pub fn accept_stored(
        &mut self,
        peer: &NodeName,
        bytes: &[u8],
        at: Moment,
    ) -> Result<(), ViewError> {
        self.accept_until(peer, bytes, at, at + self.lifetimes.stored)
    }

    fn accept_until(
        &mut self,
        peer: &NodeName,
        bytes: &[u8],
        asked: Moment,
        valid_until: Moment,
    ) -> Result<(), ViewError> {
        let view = self
            .check(peer, bytes)
            .inspect_err(|_| self.rejected += 1)?;
        let known = PeerView::Known {
            view,
            asked,
            valid_until,
        };
        self.peers.insert(peer.clone(), known);
        Ok(())
    }

    /// The peer answers, but not with views.
    pub fn mark_unsupported(&mut self, peer: &NodeName) {
        self.peers.insert(peer.clone(), PeerView::Unsupported);
    }

    /// What is known of each peer, by name.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeName, &PeerView)> {
        self.peers.iter()
    }

    /// The views that may be used now, by name of the peer.
    pub fn fresh(&self, now: Moment) -> Vec<&LinkView> {
        let fresh = self.peers.values().filter_map(|peer| match peer {
            PeerView::Known {
                view, valid_until, ..
            } => (now < *valid_until).then_some(view),
            PeerView::NotReceived | PeerView::Unsupported => None,
        });
        fresh.collect()
    }

    /// Whether some peer answers without exchanging views, so that its links can't be known.
    pub fn any_unsupported(&self) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| *peer == PeerView::Unsupported)
    }

    /// Counts a view that was rejected elsewhere.
    pub fn count_rejected(&mut self) {
        self.rejected += 1;
    }

    /// The number of rejected views.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    fn check(&self, peer: &NodeName, bytes: &[u8]) -> Result<LinkView, ViewError> {
        let view = LinkView::decode(bytes)?;
        if view.from != *peer {
            return Err(ViewError::WrongSender);
        }
        if view.to != self.own_name {
            return Err(ViewError::WrongReceiver);
        }
        let Some(PeerView::Known { view: known, .. }) = self.peers.get(peer) else {
            return Ok(view);
        };
        // Views of different processes have no order: the time of day may step back between them.
        if known.process == view.process && known.sequence >= view.sequence {
            return Err(ViewError::Late);
        }
        Ok(view)
    }
}
