//! Token buckets, which limit the rate of requests to the store and to the cloud, and of writes.

use crate::time::{Micros, Moment};

/// Rate limit that allows bursts. It holds at most `burst` tokens and gains `rate` tokens per second; each request or
/// change takes one. The number of tokens can become negative through [`TokenBucket::take_unconditionally`] and
/// [`TokenBucket::back_off`].
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens gained per second.
    rate: f64,
    burst: f64,
    tokens: f64,
    /// Time at which `tokens` was last updated.
    refilled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket. `rate` is in tokens per second; a `burst` below one token is raised to one.
    pub fn new(rate: f64, burst: f64, now: Moment) -> Self {
        let burst = burst.max(1.0);
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Number of tokens available at `now`, which may be negative.
    pub fn available(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes `count` tokens if that many are available. Otherwise takes none and returns false.
    pub fn take(&mut self, count: f64, now: Moment) -> bool {
        self.refill(now);
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }

    /// Takes `count` tokens even if fewer are available, for requests that must not be delayed. Later requests wait
    /// correspondingly longer.
    pub fn take_unconditionally(&mut self, count: f64, now: Moment) {
        self.refill(now);
        self.tokens -= count;
    }

    /// Removes tokens so that none is available for `pause`, after the server has answered that there were too many
    /// requests.
    pub fn back_off(&mut self, pause: Micros, now: Moment) {
        self.refill(now);
        self.tokens = self.tokens.min(-pause.as_secs_f64() * self.rate);
    }

    fn refill(&mut self, now: Moment) {
        let gained = (now - self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
