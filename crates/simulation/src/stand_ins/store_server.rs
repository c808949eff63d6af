//! The key-value store for real processes, and a way to it that may refuse one controller alone.

use crate::fake_store::{FakeStore, StoreResponse, Watch};
use crate::stand_ins::http_listener::listen;
use aspenreel::http::cbor::encode;
use aspenreel::http::server::{Handler, Request, Response};
use ciborium::{Value, cbor};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The key-value store.
pub struct StoreServer {
    /// The store itself.
    pub store: Mutex<FakeStore>,
    changed: Condvar,
    /// Refuses everything, as in an outage.
    pub down: Mutex<bool>,
    since: Instant,
}

impl StoreServer {
    /// A store, and its address.
    pub fn start() -> (Arc<StoreServer>, SocketAddr) {
        let state = Arc::new(StoreServer {
            store: Mutex::default(),
            changed: Condvar::new(),
            down: Mutex::new(false),
            since: Instant::now(),
        });
        let addr = listen(state.clone());
        (state, addr)
    }

    /// The value of a key.
    pub fn data(&self, key: &str) -> Option<Value> {
        self.store.lock().unwrap().data(key)
    }

    /// Puts a record there, as if a controller had written it.
    pub fn write(&self, key: &str, data: Value) {
        let body = cbor!({"guards" => [], "apply" => [{"write" => key, "data" => data}]});
        let (status, _) = self.store.lock().unwrap().multi(&encode(&body.unwrap()));
        assert_eq!(status, 200);
        self.changed.notify_all();
    }

    /// The end of an outage.
    pub fn end_outage(&self) {
        self.store.lock().unwrap().refresh(self.since.elapsed());
        *self.down.lock().unwrap() = false;
    }

    fn changes(&self, watch: &Watch) -> StoreResponse {
        let deadline = Instant::now() + watch.hold;
        let mut k = self.store.lock().unwrap();
        loop {
            k.expire(self.since.elapsed());
            if let Some(answer) = k.changes(watch) {
                return answer;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return k.no_changes();
            }
            let next_end = k.next_end().unwrap_or(Duration::MAX);
            let wait = left.min(next_end.saturating_sub(self.since.elapsed()));
            k = self.changed.wait_timeout(k, wait).unwrap().0;
        }
    }
}

/// A node's own way to the key-value store, which may refuse it alone.
pub struct StoreProxy {
    state: Arc<StoreServer>,
    /// Every request is refused.
    pub refuses: Mutex<bool>,
}

impl StoreProxy {
    /// A way to that store, and its address.
    pub fn to(state: &Arc<StoreServer>) -> (Arc<StoreProxy>, SocketAddr) {
        let door = Arc::new(StoreProxy {
            state: state.clone(),
            refuses: Mutex::new(false),
        });
        let addr = listen(door.clone());
        (door, addr)
    }
}

impl Handler for StoreProxy {
    fn handle(&self, r: Request) -> Response {
        let refuses = *self.refuses.lock().unwrap();
        match refuses {
            true => Response::new(503, Vec::new()),
            false => self.state.handle(r),
        }
    }
}

impl Handler for StoreServer {
    fn handle(&self, r: Request) -> Response {
        if *self.down.lock().unwrap() {
            return Response::new(503, Vec::new());
        }
        let (status, body) = if r.path.starts_with("/changes") {
            self.changes(&Watch::of(&r.path))
        } else {
            let mut keys = self.store.lock().unwrap();
            let answer = keys.call(&r.method, &r.path, &r.body, self.since.elapsed());
            self.changed.notify_all();
            answer
        };
        Response::new(status, body)
    }
}
