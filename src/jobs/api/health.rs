//! Health check `/up`: whether this controller can handle requests of users.

use super::messages::retry_soon;
use crate::controller::Controller;
use crate::http::server::Response;
use crate::peer::PeerClient;
use crate::time::Micros;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum time that a probe waits for the peer's answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer of the store after which peers are probed.
const STORE_SILENCE_THRESHOLD: Micros = Micros::from_secs(6);

impl Controller {
    /// Handles a health check: 200 if this controller can handle requests of users, whether it leads or not. To do
    /// so it must know the machine types.
    ///
    /// A controller that reaches neither the store nor any peer can't answer users and is not healthy. In a store
    /// outage that affects all controllers peers are still reachable, and the controller stays healthy.
    pub fn health_check(&self) -> Response {
        if self.catalog().is_none() || self.isolated.load(Ordering::Relaxed) {
            return retry_soon();
        }
        Response::new(200, Vec::new())
    }

    /// Thread body of the peer probe: probes peers while the store doesn't answer, so that health checks never wait
    /// for a probe. Never returns.
    pub fn peer_probe_loop(&self) {
        loop {
            self.os.sleep(PROBE_INTERVAL);
            let isolated = !self.has_recent_store_answer()
                && !self.peers.is_empty()
                && !self.is_any_peer_reachable();
            let was_isolated = self.isolated.swap(isolated, Ordering::Relaxed);
            if isolated != was_isolated {
                log::info!(isolated; "reachability of store and peers changed");
            }
        }
    }

    fn has_recent_store_answer(&self) -> bool {
        self.now() - self.store.last_answered_at() < STORE_SILENCE_THRESHOLD
    }

    fn is_any_peer_reachable(&self) -> bool {
        let is_reachable = |peer: &PeerClient| peer.is_reachable(PROBE_TIMEOUT);
        self.peers.values().any(is_reachable)
    }
}
