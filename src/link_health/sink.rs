//! Where every thread leaves what its calls showed, without waiting for anybody.

use aspenreel_link_health::evidence::{Evidence, Link, Outcome};
use crossbeam_queue::ArrayQueue;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::time::Moment;

/// Far more than all threads together observe between two drains.
const CAPACITY: usize = 1024;

/// A bounded lock-free queue of evidence. When it is full the oldest entry goes: newer ones say more.
#[derive(Debug)]
pub struct EvidenceSink {
    queue: ArrayQueue<Evidence>,
    dropped: AtomicU64,
}

impl Default for EvidenceSink {
    fn default() -> Self {
        EvidenceSink {
            queue: ArrayQueue::new(CAPACITY),
            dropped: AtomicU64::new(0),
        }
    }
}

impl EvidenceSink {
    /// Leaves an observation.
    pub fn note(&self, link: Link, outcome: Outcome, at: Moment) {
        let evidence = Evidence { link, outcome, at };
        if self.queue.force_push(evidence).is_some() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The oldest observation that wasn't taken yet.
    pub fn take(&self) -> Option<Evidence> {
        self.queue.pop()
    }

    /// How many observations were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
