//! The workers whose heartbeats a controller that doesn't lead has refused recently.

use aspenreel_time::{Micros, Moment};
use std::collections::HashMap;

/// The workers whose heartbeats a controller has refused within a time window.
///
/// A worker tries another controller only if its current one doesn't answer. Each entry is therefore a worker
/// that can't reach the leader and can reach this controller.
#[derive(Debug)]
pub struct RefusedHeartbeats {
    last_refused: HashMap<String, Moment>,
    capacity: usize,
    window: Micros,
}

impl RefusedHeartbeats {
    /// Keeps at most `capacity` workers, each for `window` after its last refused heartbeat.
    pub fn new(capacity: usize, window: Micros) -> RefusedHeartbeats {
        RefusedHeartbeats {
            last_refused: HashMap::new(),
            capacity,
            window,
        }
    }

    /// Records a refused heartbeat. A worker without an entry is ignored while the capacity is used up.
    pub fn record(&mut self, worker: &str, at: Moment) {
        if let Some(last_refused) = self.last_refused.get_mut(worker) {
            *last_refused = at;
            return;
        }
        if self.last_refused.len() >= self.capacity {
            self.remove_expired(at);
        }
        if self.last_refused.len() < self.capacity {
            self.last_refused.insert(worker.to_string(), at);
        }
    }

    /// Number of distinct workers within the window.
    pub fn count(&mut self, now: Moment) -> u32 {
        self.remove_expired(now);
        self.last_refused.len() as u32
    }

    fn remove_expired(&mut self, now: Moment) {
        let window = self.window;
        self.last_refused.retain(|_, at| now - *at < window);
    }
}
