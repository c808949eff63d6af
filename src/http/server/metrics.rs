//! Counters of a server, which other modules read and log.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Age of a request from which its response counts as late: users wait two seconds for the status of a job.
const LATE_RESPONSE_AGE: Duration = Duration::from_secs(2);

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
    /// Total of responses that took longer than most clients wait, from the arrival of the request to the response. Only
    /// requests that the thread pool answers are timed.
    pub late_responses: AtomicU64,
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

    /// Counts the response to a request that arrived `age` ago if it is late.
    pub(super) fn note_response(&self, age: Duration) {
        if age > LATE_RESPONSE_AGE {
            self.late_responses.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the longest wait for a pool thread since the previous call.
    pub fn take_longest_queue_wait(&self) -> Duration {
        Duration::from_micros(self.longest_queue_wait_us.swap(0, Ordering::Relaxed))
    }
}
