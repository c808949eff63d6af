//! The newest view of each peer, and the checks that decide whether a view may be used.
//!
//! A view is accepted only if it comes from the controller that was asked, is addressed to this controller, and
//! is newer than the known view of the same process. Other views are counted as rejected and have no further
//! effect. An accepted view may be used until it expires.

use crate::link::NodeName;
use crate::view::{LinkView, ViewError};
use aspenreel_time::{Micros, Moment};
use std::collections::BTreeMap;

/// The state of the exchange of views with one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PeerView {
    /// No view has arrived yet.
    #[default]
    NotReceived,
    /// The peer answers, but doesn't exchange views: it runs an earlier version, or without the flag.
    Unsupported,
    /// A view was accepted.
    Known {
        /// The newest accepted view.
        view: LinkView,
        /// Time at which the answered request was sent, so that the view is from this time or later. For a stored
        /// view, the earliest time at which it can have been made.
        requested_at: Moment,
        /// Time at which the view expires.
        valid_until: Moment,
    },
}

/// Lifetimes of views, by the way in which they arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewLifetimes {
    /// Lifetime of views that a peer sent as an answer. Must be shorter than the silence after which a worker
    /// counts as unreachable: otherwise a view from before a network partition could count in favor of a peer
    /// that is beyond the partition.
    pub direct: Micros,
    /// Lifetime of views from the key-value store, which are written and read every few seconds. A peer writes
    /// them only while it doesn't reach the leader, so they are never from before a partition.
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
    /// Creates the state before any view has arrived from `peers`.
    pub fn new(own_name: NodeName, peers: &[NodeName], lifetimes: ViewLifetimes) -> PeerViews {
        let peers = peers.iter().cloned();
        PeerViews {
            own_name,
            peers: peers.map(|name| (name, PeerView::NotReceived)).collect(),
            rejected: 0,
            lifetimes,
        }
    }

    /// Stores the view in a peer's answer to a request that was sent at `requested_at`.
    ///
    /// # Errors
    ///
    /// The reason why the view is rejected. In this case only the count of rejected views changes.
    pub fn accept(
        &mut self,
        peer: &NodeName,
        bytes: &[u8],
        requested_at: Moment,
    ) -> Result<(), ViewError> {
        self.accept_until(
            peer,
            bytes,
            requested_at,
            requested_at + self.lifetimes.direct,
        )
    }

    /// Stores a view that a peer wrote to the key-value store, and that was true at `at`.
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
        requested_at: Moment,
        valid_until: Moment,
    ) -> Result<(), ViewError> {
        let view = self
            .check(peer, bytes)
            .inspect_err(|_| self.rejected += 1)?;
        let known = PeerView::Known {
            view,
            requested_at,
            valid_until,
        };
        self.peers.insert(peer.clone(), known);
        Ok(())
    }

    /// Records that the peer answers, but doesn't exchange views.
    pub fn mark_unsupported(&mut self, peer: &NodeName) {
        self.peers.insert(peer.clone(), PeerView::Unsupported);
    }

    /// The state of each peer, in order of their names.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeName, &PeerView)> {
        self.peers.iter()
    }

    /// The views that have not expired, in order of the peers' names.
    pub fn fresh(&self, now: Moment) -> Vec<&LinkView> {
        let fresh = self.peers.values().filter_map(|peer| match peer {
            PeerView::Known {
                view, valid_until, ..
            } => (now < *valid_until).then_some(view),
            PeerView::NotReceived | PeerView::Unsupported => None,
        });
        fresh.collect()
    }

    /// Whether any peer answers without exchanging views, so that its link states can't be known.
    pub fn any_unsupported(&self) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| *peer == PeerView::Unsupported)
    }

    /// Counts a view that the caller has rejected.
    pub fn count_rejected(&mut self) {
        self.rejected += 1;
    }

    /// Number of rejected views.
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
        // Views of different processes have no order, since the wall clock may step back between their starts.
        if known.process == view.process && known.sequence >= view.sequence {
            return Err(ViewError::Stale);
        }
        Ok(view)
    }
}
