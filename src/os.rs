//! What a controller's threads need from the operating system: clocks, sleeping, wake-ups and calls.
//!
//! [`System`] is the operating system itself. The simulation of `crates/simulation` implements [`Os`] with
//! simulated time and simulated calls, and puts several controllers and their peers into one process;
//! everything above this interface is the code that runs in production.

#![warn(missing_docs)]

use crate::http::client::{CallError, Client, ClientResponse};
use crate::peer::{PeerTransport, TcpTransport};
use crate::time::{Clock, Micros, Moment, WallTime};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// The operating system, as seen by one controller.
pub trait Os: Send + Sync + 'static {
    /// The time of the monotonic clock. It is comparable only within one process.
    fn now(&self) -> Moment;

    /// The time of the wall clock, which may differ from that of other machines and may jump.
    fn wall(&self) -> WallTime;

    /// Blocks the calling thread for `time`.
    fn sleep(&self, time: Duration);

    /// A new event count, on which no thread waits.
    fn event_count(&self) -> Arc<dyn EventCount>;

    /// A new HTTP client of the server at `addr`.
    fn http_client(&self, addr: SocketAddr) -> Arc<dyn HttpClient>;

    /// A new link to the controller whose peer address is `addr`.
    fn peer_link(&self, addr: SocketAddr) -> Arc<dyn PeerTransport>;
}

/// A client of one HTTP server.
pub trait HttpClient: Send + Sync {
    /// Sends a request and blocks until its response has arrived, or `timeout` is over.
    ///
    /// # Errors
    ///
    /// [`CallError`] tells whether the request may have been executed. A response with an error
    /// status is a success here.
    fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError>;
}

/// How many notifications an [`EventCount`] has had, as a thread saw it before its wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedCount(
    /// The number of notifications.
    pub u64,
);

/// An event count: wakes threads that wait for a change of something that a lock guards, without
/// holding that lock while they wait.
///
/// A thread that finds nothing to do calls [`prepare_wait`](EventCount::prepare_wait) under the lock,
/// releases it, and then waits. A notification in between ends the wait at once, so that no change is
/// missed.
pub trait EventCount: Send + Sync {
    /// The present count. Called while the lock is held.
    fn prepare_wait(&self) -> ObservedCount;

    /// Blocks until there was a notification since `observed`, for `timeout` at the longest. It may
    /// return sooner without one.
    fn wait(&self, observed: ObservedCount, timeout: Duration);

    /// Counts a notification and wakes one of the waiting threads.
    fn notify_one(&self);

    /// Counts a notification and wakes all waiting threads.
    fn notify_all(&self);
}

/// The operating system that the process runs on.
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

    fn event_count(&self) -> Arc<dyn EventCount> {
        Arc::new(CondvarEventCount::default())
    }

    fn http_client(&self, addr: SocketAddr) -> Arc<dyn HttpClient> {
        Arc::new(Client::new(addr))
    }

    fn peer_link(&self, addr: SocketAddr) -> Arc<dyn PeerTransport> {
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
    ) -> Result<ClientResponse, CallError> {
        Client::call(self, method, path, body, timeout)
    }
}

/// An event count on a condition variable.
#[derive(Default)]
struct CondvarEventCount {
    notifications: Mutex<u64>,
    notified: Condvar,
}

impl CondvarEventCount {
    fn notifications(&self) -> MutexGuard<'_, u64> {
        self.notifications
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl EventCount for CondvarEventCount {
    fn prepare_wait(&self) -> ObservedCount {
        ObservedCount(*self.notifications())
    }

    fn wait(&self, observed: ObservedCount, timeout: Duration) {
        let notifications = self.notifications();
        if ObservedCount(*notifications) == observed {
            drop(self.notified.wait_timeout(notifications, timeout));
        }
    }

    fn notify_one(&self) {
        *self.notifications() += 1;
        self.notified.notify_one();
    }

    fn notify_all(&self) {
        *self.notifications() += 1;
        self.notified.notify_all();
    }
}

/// Sleeps for a random time between two bounds in milliseconds, so that controllers that repeat a
/// step don't do it all at the same moment.
pub fn random_pause(os: &dyn Os, low_ms: u64, high_ms: u64) {
    os.sleep(Duration::from_millis(fastrand::u64(low_ms..=high_ms)));
}

/// The time left until `deadline`; `None` if it has passed.
pub fn time_left(os: &dyn Os, deadline: Moment) -> Option<Duration> {
    let left = deadline - os.now();
    (left > Micros::ZERO).then(|| left.duration())
}
