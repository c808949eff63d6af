//! What a controller's threads take from the system that they run on: clocks, waits and calls.
//!
//! In production that is the operating system. The model of `crates/testbed` puts several controllers,
//! and whatever they talk to, into one process on simulated time: it gives them clocks, waits and
//! calls of its own, and everything else is the code that runs in production.

use crate::http::client::{CallError, Client};
use crate::peer::{PeerTransport, TcpTransport};
use crate::time::{Clock, Micros, Moment, WallTime};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

pub trait Os: Send + Sync + 'static {
    fn now(&self) -> Moment;
    fn wall(&self) -> WallTime;
    fn sleep(&self, time: Duration);
    fn signal(&self) -> Arc<dyn Signal>;
    /// A client of one address that speaks HTTP.
    fn http(&self, addr: SocketAddr) -> Arc<dyn HttpClient>;
    /// A link to one other controller.
    fn peer(&self, addr: SocketAddr) -> Arc<dyn PeerTransport>;
}

pub trait HttpClient: Send + Sync {
    fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), CallError>;
}

/// Wakes threads that wait for something under a lock. A ticket is taken under that lock, so that
/// whatever changes after it is released is not slept through.
pub trait Signal: Send + Sync {
    fn ticket(&self) -> u64;
    /// Returns when notified since the ticket was taken, or after a time; or sooner, for nothing.
    fn wait(&self, ticket: u64, most: Duration);
    fn notify_one(&self);
    fn notify_all(&self);
}

/// The operating system.
#[derive(Debug, Default)]
pub struct System {
    clock: Clock,
}

impl Os for System {
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn wall(&self) -> WallTime {
        self.clock.wall()
    }

    fn sleep(&self, time: Duration) {
        std::thread::sleep(time);
    }

    fn signal(&self) -> Arc<dyn Signal> {
        Arc::new(EventCount::default())
    }

    fn http(&self, addr: SocketAddr) -> Arc<dyn HttpClient> {
        Arc::new(Client::new(addr))
    }

    fn peer(&self, addr: SocketAddr) -> Arc<dyn PeerTransport> {
        Arc::new(TcpTransport::new(addr))
    }
}

impl HttpClient for Client {
    fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        Client::call(self, method, path, body, timeout)
    }
}

#[derive(Default)]
struct EventCount {
    count: Mutex<u64>,
    condvar: Condvar,
}

impl EventCount {
    fn count(&self) -> MutexGuard<'_, u64> {
        self.count.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Signal for EventCount {
    fn ticket(&self) -> u64 {
        *self.count()
    }

    fn wait(&self, ticket: u64, most: Duration) {
        let count = self.count();
        if *count == ticket {
            drop(self.condvar.wait_timeout(count, most));
        }
    }

    fn notify_one(&self) {
        *self.count() += 1;
        self.condvar.notify_one();
    }

    fn notify_all(&self) {
        *self.count() += 1;
        self.condvar.notify_all();
    }
}

/// A pause of random length, so that nodes don't go in step.
pub fn pause(os: &dyn Os, low_ms: u64, high_ms: u64) {
    os.sleep(Duration::from_millis(fastrand::u64(low_ms..=high_ms)));
}

/// The time left until then, none if it is over.
pub fn left(os: &dyn Os, deadline: Moment) -> Option<Duration> {
    let left = deadline - os.now();
    (left > Micros::ZERO).then(|| left.duration())
}
