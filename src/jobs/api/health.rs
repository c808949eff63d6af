//! `/up`: whether this controller can take requests of users.

use super::messages::retry_soon;
use crate::controller::Controller;
use crate::http::server::Response;
use crate::peer::PeerClient;
use crate::time::Micros;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a peer has to answer a probe.
const PROBE_TIME: Duration = Duration::from_millis(150);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Without an answer of the store for this long, peers are probed.
const STORE_SILENCE: Micros = Micros::from_secs(6);

impl Controller {
    /// The answer to a health check: 200 if users' requests can be taken here, whether this controller
    /// leads or not. It must know the machine types.
    ///
    /// Without the store and without any peer it can't tell a user anything. In an outage that all
    /// controllers feel there are still peers, and it stays up.
    pub fn health_check(&self) -> Response {
        if self.catalog().is_none() || self.isolated.load(Ordering::Relaxed) {
            return retry_soon();
        }
        Response::new(200, Vec::new())
    }

    /// Probes peers while the store doesn't answer, for as long as the process lives, so that a health
    /// check never has to wait for it.
    pub fn peer_probe_loop(&self) {
        loop {
            self.os.sleep(PROBE_INTERVAL);
            let isolated = !self.hears_store() && !self.peers.is_empty() && !self.hears_peer();
            self.isolated.store(isolated, Ordering::Relaxed);
        }
    }

    fn hears_store(&self) -> bool {
        self.now() - self.store.last_answered_at() < STORE_SILENCE
    }

    fn hears_peer(&self) -> bool {
        let answers = |peer: &PeerClient| peer.is_reachable(PROBE_TIME);
        self.peers.values().any(answers)
    }
}
