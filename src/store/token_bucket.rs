//! Token buckets in front of the state service and the cloud.

use crate::time::{Micros, Moment};

/// Holds at most `burst` tokens and gains `rate` a second.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Moment,
}

impl TokenBucket {
    pub fn new(rate: f64, burst: f64, now: Moment) -> Self {
        let burst = burst.max(1.0);
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            filled: now,
        }
    }

    fn fill(&mut self, now: Moment) {
        let gained = (now - self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = self.filled.max(now);
    }

    pub fn available(&mut self, now: Moment) -> f64 {
        self.fill(now);
        self.tokens
    }

    pub fn take(&mut self, n: f64, now: Moment) -> bool {
        self.fill(now);
        let enough = self.tokens >= n;
        if enough {
            self.tokens -= n;
        }
        enough
    }

    /// For calls that never wait: they count, and others wait longer for it.
    pub fn force(&mut self, n: f64, now: Moment) {
        self.fill(now);
        self.tokens -= n;
    }

    /// The service said "too many": nothing more for a while.
    pub fn punish(&mut self, pause: Micros, now: Moment) {
        self.fill(now);
        self.tokens = self.tokens.min(-pause.as_secs_f64() * self.rate);
    }
}
