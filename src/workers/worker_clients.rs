//! Pool of HTTP clients with open connections to workers.

use crate::os::{HttpClient, Os};
use crate::time::{Micros, Moment};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Idle time after which a client may be closed when the pool is full.
const IDLE_TIMEOUT: Micros = Micros::from_secs(60);

/// Pool of HTTP clients with open connections to workers, by address.
#[derive(Default)]
pub struct WorkerClientPool(Mutex<HashMap<SocketAddr, PooledClient>>);

struct PooledClient {
    client: Arc<dyn HttpClient>,
    last_used: Moment,
}

impl WorkerClientPool {
    /// Returns the pooled client for this address. If there is none, a new client is created. It is added to the pool
    /// if the pool holds fewer than `max_clients`; otherwise it serves this call only. `max_clients` may decrease
    /// as more workers and users connect; then the least recently used clients are closed.
    pub fn get(&self, os: &dyn Os, addr: SocketAddr, max_clients: usize) -> Arc<dyn HttpClient> {
        let now = os.now();
        let mut clients = self.clients();
        if clients.len() > max_clients {
            close_least_recently_used(&mut clients, max_clients);
        }
        if let Some(pooled) = clients.get_mut(&addr) {
            pooled.last_used = now;
            return pooled.client.clone();
        }
        if clients.len() >= max_clients {
            clients.retain(|_, pooled| now - pooled.last_used < IDLE_TIMEOUT);
        }
        let client = os.http_client(addr);
        if clients.len() < max_clients {
            let pooled = PooledClient {
                client: client.clone(),
                last_used: now,
            };
            clients.insert(addr, pooled);
        }
        client
    }

    /// True if the pool holds a client for this address.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        self.clients().contains_key(&addr)
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, PooledClient>> {
        // A panic in another thread can't leave the map in an inconsistent state, so a poisoned lock is usable.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Closes the least recently used clients until at most `max_clients` are left.
fn close_least_recently_used(clients: &mut HashMap<SocketAddr, PooledClient>, max_clients: usize) {
    let mut uses: Vec<Moment> = clients.values().map(|pooled| pooled.last_used).collect();
    uses.sort_unstable();
    let last_closed = uses[clients.len() - max_clients - 1];
    clients.retain(|_, pooled| pooled.last_used > last_closed);
}
