//! Counters of a server, which other modules read and log.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Number of open connections, and what the server did at its limits. All totals count since the server started.
#[derive(Debug, Default)]
pub struct ServerMetrics {
    /// Number of open connections.
    pub open_connections: AtomicUsize,
    /// Number of open connections whose latest request had low priority.
    pub low_priority_connections: AtomicUsize,
    /// Total of connections that were refused because the maximum number was open.
    pub refused_connections: AtomicU64,
    /// Total of requests that were rejected because the queue of the thread pool was full.
    pub rejected_requests: AtomicU64,
    /// Longest time in microseconds that a request waited for a pool thread, since it was last taken.
    longest_queue_wait_us: AtomicU64,
}

impl ServerMetrics {
    /// Records how long a request waited for a pool thread.
    pub(super) fn note_queue_wait(&self, wait: Duration) {
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        self.longest_queue_wait_us
            .fetch_max(wait_us, Ordering::Relaxed);
    }

    /// Returns the longest wait for a pool thread since the previous call.
    pub fn take_longest_queue_wait(&self) -> Duration {
        Duration::from_micros(self.longest_queue_wait_us.swap(0, Ordering::Relaxed))
    }
}
