//! Kept-open connections to workers.

use crate::os::{HttpClient, Os};
use crate::time::{Micros, Moment};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// A connection that wasn't used for this long may be closed when there are many.
const UNUSED_AFTER: Micros = Micros::from_secs(60);

/// Kept-open connections to workers, by address.
#[derive(Default)]
pub struct WorkerClientPool(Mutex<HashMap<SocketAddr, KeptClient>>);

struct KeptClient {
    client: Arc<dyn HttpClient>,
    last_used: Moment,
}

impl WorkerClientPool {
    /// The kept client for this address. Without one, a new client is kept if there are fewer than
    /// `max_clients`, and else used for this call only. `max_clients` may fall, as more workers and users
    /// connect: then the clients that were not used for longest are closed.
    pub fn get(&self, os: &dyn Os, addr: SocketAddr, max_clients: usize) -> Arc<dyn HttpClient> {
        let now = os.now();
        let mut clients = self.clients();
        if clients.len() > max_clients {
            close_least_recently_used(&mut clients, max_clients);
        }
        if let Some(kept) = clients.get_mut(&addr) {
            kept.last_used = now;
            return kept.client.clone();
        }
        if clients.len() >= max_clients {
            clients.retain(|_, kept| now - kept.last_used < UNUSED_AFTER);
        }
        let client = os.http_client(addr);
        if clients.len() < max_clients {
            let kept = KeptClient {
                client: client.clone(),
                last_used: now,
            };
            clients.insert(addr, kept);
        }
        client
    }

    /// True if a connection to this address is kept.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        self.clients().contains_key(&addr)
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, KeptClient>> {
        // A panic elsewhere can't leave the map half-changed.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Closes clients until at most `max_clients` are left.
fn close_least_recently_used(clients: &mut HashMap<SocketAddr, KeptClient>, max_clients: usize) {
    let mut uses: Vec<Moment> = clients.values().map(|kept| kept.last_used).collect();
    uses.sort_unstable();
    let last_closed = uses[clients.len() - max_clients - 1];
    clients.retain(|_, kept| kept.last_used > last_closed);
}
