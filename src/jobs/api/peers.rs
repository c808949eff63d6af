//! Requests to peers on behalf of users.

use crate::controller::Controller;
use crate::os::time_left;
use crate::peer::{PeerClient, PeerReply, PeerRequest};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Maximum time that a request to a peer waits for the answer.
pub(super) const PEER_TIMEOUT: Micros = Micros::from_millis(500);

impl Controller {
    /// Calls the other controllers one after the other until one gives an answer other than [`PeerReply::Busy`].
    /// The first one is chosen at random: if it were always the same, every request would wait for its timeout
    /// while that controller is down.
    pub(super) fn call_any_peer(
        &self,
        request: &PeerRequest,
        deadline: Moment,
    ) -> Option<PeerReply> {
        let peers: Vec<&PeerClient> = self.peers.values().collect();
        let first = fastrand::usize(0..peers.len().max(1));
        (0..peers.len())
            .map(|i| peers[(first + i) % peers.len()])
            .filter_map(|peer| {
                let left = time_left(&*self.os, deadline)?;
                peer.call(request, PEER_TIMEOUT.duration().min(left)).ok()
            })
            .find(|reply| !matches!(reply, PeerReply::Busy))
    }

    /// Calls the leader, if it is known and is another controller.
    pub(super) fn call_leader(
        &self,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Option<PeerReply> {
        match self.peer_that_leads()?.call(request, timeout) {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!(error:%; "call to leader failed");
                None
            }
        }
    }

    /// Client of the leader, if it is known and is another controller.
    pub(super) fn peer_that_leads(&self) -> Option<&PeerClient> {
        let leader = self.state().known_leader.as_ref()?.node.clone();
        self.peers.get(&leader)
    }
}
