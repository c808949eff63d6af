//! The queue through which all threads report what their calls showed.

use crate::time::Moment;
use aspenreel_link_health::link::Link;
use aspenreel_link_health::observation::{CallOutcome, Observation};
use crossbeam_queue::ArrayQueue;
use std::sync::atomic::{AtomicU64, Ordering};

/// Far more observations than all threads together make between two drains of the queue.
const CAPACITY: usize = 1024;

/// A bounded lock-free queue of observations. When it is full the oldest one is dropped, since newer ones
/// say more about the present.
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
    /// Adds an observation; never blocks.
    pub fn record(&self, link: Link, outcome: CallOutcome, at: Moment) {
        let observation = Observation { link, outcome, at };
        if self.queue.force_push(observation).is_some() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Removes the oldest observation.
    pub(super) fn pop(&self) -> Option<Observation> {
        self.queue.pop()
    }

    /// The number of observations that were dropped.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
