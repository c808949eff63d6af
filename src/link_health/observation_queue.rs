//! The queue in which all threads record the outcomes of their calls.

use crate::time::Moment;
use aspenreel_link_health::link::Link;
use aspenreel_link_health::observation::{CallOutcome, Observation};
use crossbeam_queue::ArrayQueue;
use std::sync::atomic::{AtomicU64, Ordering};

/// Capacity of the queue: far more observations than all threads together make between two drains of it.
const CAPACITY: usize = 1024;

/// A bounded lock-free queue of observations. If it is full, the oldest observation is dropped, since newer ones
/// are more relevant to the present state of the links.
#[derive(Debug)]
pub struct ObservationQueue {
    queue: ArrayQueue<Observation>,
    dropped: AtomicU64,
}

impl Default for ObservationQueue {
    fn default() -> Self {
        ObservationQueue {
            queue: ArrayQueue::new(CAPACITY),
            dropped: AtomicU64::new(0),
        }
    }
}

impl ObservationQueue {
    /// Adds an observation. Never blocks.
    pub fn record(&self, link: Link, outcome: CallOutcome, at: Moment) {
        let observation = Observation { link, outcome, at };
        if self.queue.force_push(observation).is_some() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Removes and returns the oldest observation.
    pub(super) fn pop(&self) -> Option<Observation> {
        self.queue.pop()
    }

    /// Number of observations that were dropped since the process started.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
