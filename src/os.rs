//! Interface to the operating system for a controller's threads: clocks, sleeping, notifications and network calls.
//!
//! [`System`] implements the interface with the real operating system. The simulation in `crates/simulation`
//! implements [`Os`] with simulated time and simulated calls, and runs several controllers and the processes that
//! they call in one process. All code above this interface is the same in production and in the simulation.

#![warn(missing_docs)]

use crate::http::client::{CallError, Client, ClientResponse};
use crate::peer::{PeerTransport, TcpTransport};
use crate::time::{Clock, Micros, Moment, WallTime};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// The operating system functions that one controller uses.
pub trait Os: Send + Sync + 'static {
    /// The time of the monotonic clock. Only times of the same process can be compared.
    fn now(&self) -> Moment;

    /// The time of the wall clock. It may differ from that of other machines, and may jump.
    fn wall(&self) -> WallTime;

    /// Blocks the calling thread for `time`.
    fn sleep(&self, time: Duration);

    /// Creates an event count without waiting threads.
    fn event_count(&self) -> Arc<dyn EventCount>;

    /// Creates an HTTP client of the server at `addr`.
    fn http_client(&self, addr: SocketAddr) -> Arc<dyn HttpClient>;

    /// Creates a transport to the controller whose peer address is `addr`.
    fn peer_transport(&self, addr: SocketAddr) -> Arc<dyn PeerTransport>;
}

/// A client of one HTTP server.
pub trait HttpClient: Send + Sync {
    /// Sends a request and blocks until its response has arrived, or `timeout` has passed.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no response; it distinguishes whether the request may have been executed. A
    /// response with an error status is returned as `Ok`.
    fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError>;
}

/// The number of notifications of an [`EventCount`] that a thread observed before waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedCount(
    /// Number of notifications since the event count was created.
    pub u64,
);

/// An event count: lets threads wait for a change of state that is guarded by a lock, without holding the lock while
/// they wait.
///
/// A thread that finds nothing to do calls [`prepare_wait`](EventCount::prepare_wait) while it holds the lock,
/// releases the lock, and then waits. A notification between these steps ends the wait at once, so no change is
/// missed.
pub trait EventCount: Send + Sync {
    /// The current number of notifications. Must be called while the lock is held.
    fn prepare_wait(&self) -> ObservedCount;

    /// Blocks until a notification after `observed`, at most for `timeout`. May return earlier without a
    /// notification.
    fn wait(&self, observed: ObservedCount, timeout: Duration);

    /// Increments the count and wakes one of the waiting threads.
    fn notify_one(&self);

    /// Increments the count and wakes all waiting threads.
    fn notify_all(&self);
}

/// The implementation of [`Os`] by the operating system on which the process runs.
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

    fn peer_transport(&self, addr: SocketAddr) -> Arc<dyn PeerTransport> {
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

/// An event count that is implemented with a condition variable.
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

/// Sleeps for a random time between two bounds in milliseconds, so that several controllers don't repeat an operation
/// at the same time.
pub fn random_pause(os: &dyn Os, low_ms: u64, high_ms: u64) {
    os.sleep(Duration::from_millis(fastrand::u64(low_ms..=high_ms)));
}

/// The time left until `deadline`. `None` if the deadline has passed.
pub fn time_left(os: &dyn Os, deadline: Moment) -> Option<Duration> {
    let left = deadline - os.now();
    (left > Micros::ZERO).then(|| left.duration())
}
