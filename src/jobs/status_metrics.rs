//! Counters of status requests, by the source of the answer or the reason why there is none.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Source of the answer to a status request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusSource {
    /// Memory of the controller that was asked.
    Memory,
    /// The leader, asked by the controller that received the request.
    Leader,
    /// The key-value store.
    Store,
    /// A controller other than the leader.
    Peer,
    /// No source answered in time.
    Unanswered,
}

/// Totals of status lookups since the process started.
#[derive(Debug, Default)]
pub struct StatusMetrics {
    memory: AtomicU64,
    leader: AtomicU64,
    store: AtomicU64,
    peer: AtomicU64,
    unanswered: AtomicU64,
    leader_failures: AtomicU64,
    store_failures: AtomicU64,
}

/// The totals of [`StatusMetrics`] at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusTotals {
    /// Answers from the memory of the controller that was asked.
    pub memory: u64,
    /// Answers of the leader.
    pub leader: u64,
    /// Answers of the key-value store.
    pub store: u64,
    /// Answers of a controller other than the leader.
    pub peer: u64,
    /// Lookups without an answer: the user was asked to retry.
    pub unanswered: u64,
    /// Lookups that got no answer from the leader, whether or not another source answered.
    pub leader_failures: u64,
    /// Lookups whose read of the store failed or was not sent, whether or not another source answered.
    pub store_failures: u64,
}

impl StatusMetrics {
    /// Counts a lookup that was answered by `source`.
    pub fn note_answer(&self, source: StatusSource) {
        let total = match source {
            StatusSource::Memory => &self.memory,
            StatusSource::Leader => &self.leader,
            StatusSource::Store => &self.store,
            StatusSource::Peer => &self.peer,
            StatusSource::Unanswered => &self.unanswered,
        };
        total.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a lookup that got no answer from the leader.
    pub fn note_leader_failure(&self) {
        self.leader_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a lookup whose read of the store failed or was not sent.
    pub fn note_store_failure(&self) {
        self.store_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the present totals.
    pub fn totals(&self) -> StatusTotals {
        let load = |total: &AtomicU64| total.load(Ordering::Relaxed);
        StatusTotals {
            memory: load(&self.memory),
            leader: load(&self.leader),
            store: load(&self.store),
            peer: load(&self.peer),
            unanswered: load(&self.unanswered),
            leader_failures: load(&self.leader_failures),
            store_failures: load(&self.store_failures),
        }
    }
}

impl fmt::Display for StatusTotals {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "memory={} leader={} store={} peer={} unanswered={} leader_failures={} store_failures={}",
            self.memory,
            self.leader,
            self.store,
            self.peer,
            self.unanswered,
            self.leader_failures,
            self.store_failures
        )
    }
}
