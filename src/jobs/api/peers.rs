//! Questions to peers on behalf of users.

use crate::controller::Controller;
use crate::os::time_left;
use crate::peer::{PeerClient, PeerReply, PeerRequest};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// How long a peer has to answer a question.
pub(super) const PEER_TIME: Micros = Micros::from_millis(500);

impl Controller {
    /// Asks the other controllers in turn until one can tell, beginning with a random one: if the first
    /// were always the same, a dead one would cost every question its time.
    pub(super) fn ask_any(&self, request: &PeerRequest, deadline: Moment) -> Option<PeerReply> {
        let peers: Vec<&PeerClient> = self.peers.values().collect();
        let first = fastrand::usize(0..peers.len().max(1));
        (0..peers.len())
            .map(|i| peers[(first + i) % peers.len()])
            .filter_map(|peer| {
                let left = time_left(&*self.os, deadline)?;
                peer.call(request, PEER_TIME.duration().min(left)).ok()
            })
            .find(|reply| !matches!(reply, PeerReply::Busy))
    }

    /// Asks the leader, if it is known and another controller.
    pub(super) fn ask_leader(&self, request: &PeerRequest, timeout: Duration) -> Option<PeerReply> {
        let leader = self.state().known_leader.as_ref()?.node.clone();
        match self.peers.get(&leader)?.call(request, timeout) {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!(node = leader, error:%; "leader not reached");
                None
            }
        }
    }
}
