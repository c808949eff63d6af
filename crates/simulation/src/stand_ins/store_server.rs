//! The key-value store for real controllers, and endpoints of it that can refuse the requests of one controller.

use crate::fake_store::{FakeStore, StoreResponse, Watch};
use crate::stand_ins::http_listener::listen;
use aspenreel::http::cbor::encode;
use aspenreel::http::server::{Handler, Request, Response};
use ciborium::{Value, cbor};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// HTTP server of a fake key-value store.
pub struct StoreServer {
    /// Keys, leases and changes of the store.
    pub store: Mutex<FakeStore>,
    /// Notified after each request and write, for watches that wait for changes.
    changed: Condvar,
    /// True during an outage: every request is refused with status 503.
    pub down: Mutex<bool>,
    /// Zero of the store's clock.
    started: Instant,
}

impl StoreServer {
    /// Starts an empty store, and returns it with its address.
    pub fn start() -> (Arc<StoreServer>, SocketAddr) {
        let server = Arc::new(StoreServer {
            store: Mutex::default(),
            changed: Condvar::new(),
            down: Mutex::new(false),
            started: Instant::now(),
        });
        let addr = listen(server.clone());
        (server, addr)
    }

    /// Returns the value of a key.
    pub fn data(&self, key: &str) -> Option<Value> {
        self.store.lock().unwrap().data(key)
    }

    /// Writes a value, as a controller would.
    pub fn write(&self, key: &str, data: Value) {
        let body = cbor!({"guards" => [], "apply" => [{"write" => key, "data" => data}]});
        let (status, _) = self
            .store
            .lock()
            .unwrap()
            .transaction(&encode(&body.unwrap()));
        assert_eq!(status, 200);
        self.changed.notify_all();
    }

    /// Ends an outage. Every lease gets its full lifetime again.
    pub fn end_outage(&self) {
        self.store
            .lock()
            .unwrap()
            .renew_all_leases(self.started.elapsed());
        *self.down.lock().unwrap() = false;
    }

    /// Answers a watch as soon as there are changes, or after its `max_wait`.
    fn changes(&self, watch: &Watch) -> StoreResponse {
        let deadline = Instant::now() + watch.max_wait;
        let mut store = self.store.lock().unwrap();
        loop {
            store.expire(self.started.elapsed());
            if let Some(answer) = store.changes(watch) {
                return answer;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return store.empty_changes();
            }
            let next_lease_end = store.next_lease_end().unwrap_or(Duration::MAX);
            let wait = left.min(next_lease_end.saturating_sub(self.started.elapsed()));
            store = self.changed.wait_timeout(store, wait).unwrap().0;
        }
    }
}

/// Endpoint of the store for one controller, which can refuse the requests of this controller alone.
pub struct StoreProxy {
    store: Arc<StoreServer>,
    /// True while every request is refused with status 503.
    pub refuses: Mutex<bool>,
}

impl StoreProxy {
    /// Starts an endpoint of this store, and returns it with its address.
    pub fn to(store: &Arc<StoreServer>) -> (Arc<StoreProxy>, SocketAddr) {
        let proxy = Arc::new(StoreProxy {
            store: store.clone(),
            refuses: Mutex::new(false),
        });
        let addr = listen(proxy.clone());
        (proxy, addr)
    }
}

impl Handler for StoreProxy {
    fn handle(&self, request: Request) -> Response {
        let refuses = *self.refuses.lock().unwrap();
        match refuses {
            true => Response::new(503, Vec::new()),
            false => self.store.handle(request),
        }
    }
}

impl Handler for StoreServer {
    fn handle(&self, request: Request) -> Response {
        if *self.down.lock().unwrap() {
            return Response::new(503, Vec::new());
        }
        let (status, body) = if request.path.starts_with("/changes") {
            self.changes(&Watch::parse(&request.path))
        } else {
            let mut store = self.store.lock().unwrap();
            let answer = store.call(
                &request.method,
                &request.path,
                &request.body,
                self.started.elapsed(),
            );
            self.changed.notify_all();
            answer
        };
        Response::new(status, body)
    }
}
