//! Token buckets: rate limits for requests to the store and to the cloud, and for writes.

use crate::time::{Micros, Moment};

/// A rate limit with bursts. It holds at most `burst` tokens and gains `rate` tokens per second; each request or
/// change takes one. The number of tokens may be below zero, after [`take_unconditionally`](TokenBucket::take_unconditionally) and
/// [`back_off`](TokenBucket::back_off).
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens gained per second.
    rate: f64,
    burst: f64,
    tokens: f64,
    /// When `tokens` was last brought up to date.
    refilled_at: Moment,
}

impl TokenBucket {
    /// A full bucket. `rate` is in tokens per second; a `burst` below one token is raised to one.
    pub fn new(rate: f64, burst: f64, now: Moment) -> Self {
        let burst = burst.max(1.0);
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// The tokens that are there at `now`; may be negative.
    pub fn available(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes `count` tokens if there are as many. False if there are not; none is taken then.
    pub fn take(&mut self, count: f64, now: Moment) -> bool {
        self.refill(now);
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }

    /// Takes `count` tokens whether or not they are there: for requests that are never delayed. Later ones wait
    /// longer for it.
    pub fn take_unconditionally(&mut self, count: f64, now: Moment) {
        self.refill(now);
        self.tokens -= count;
    }

    /// Leaves no token for `pause`: the server has answered that there were too many requests.
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
