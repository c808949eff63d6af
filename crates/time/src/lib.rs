//! Whole-microsecond time: points on the steady clock, spans between them and the time of day.
//!
//! Wire units (seconds, milliseconds) are converted at the edges only.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A span of time in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// No time.
    pub const ZERO: Micros = Micros(0);

    /// So many seconds.
    pub const fn from_secs(s: u64) -> Self {
        Micros(s * 1_000_000)
    }

    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Micros(ms * 1_000)
    }

    /// Converts seconds from the wire; negative, absurd or undefined amounts are clamped.
    pub fn from_secs_f64(s: f64) -> Self {
        if s.is_nan() || s <= 0.0 {
            return Micros(0);
        }
        Micros((s.min(1e12) * 1e6).round() as u64)
    }

    /// In seconds, for the wire and for people.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// As the standard library's span.
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// The difference, zero if `other` is longer.
    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// This span scaled, for safety margins and weights.
    pub fn scaled(self, by: f64) -> Micros {
        Micros::from_secs_f64(self.as_secs_f64() * by)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, rhs: Micros) -> Micros {
        Micros(self.0.saturating_add(rhs.0))
    }
}

/// A point on this process's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Add<Micros> for Moment {
    type Output = Moment;
    fn add(self, rhs: Micros) -> Moment {
        Moment(self.0.saturating_add(rhs.0))
    }
}

impl Sub<Moment> for Moment {
    type Output = Micros;
    /// Saturates at zero: "how long since" is never negative.
    fn sub(self, rhs: Moment) -> Micros {
        Micros(self.0.saturating_sub(rhs.0))
    }
}

/// A point on the time of day, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(pub u64);

/// How far back before a process's start its moments reach.
const LONG_BEFORE: Micros = Micros::from_secs(365 * 24 * 3600);

/// The clocks of one process.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// The steady clock.
    ///
    /// It starts late enough that what happened long before the process can be expressed: jobs and
    /// machines are older than a controller that was just restarted, and keep their age.
    pub fn now(&self) -> Moment {
        Moment(LONG_BEFORE.0 + self.origin.elapsed().as_micros() as u64)
    }

    /// The time of day; the epoch if the system's clock stands before it.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        WallTime(since.as_micros() as u64)
    }
}

/// Spans measured on different machines' steady clocks disagree by at most this share.
pub const DRIFT: f64 = 0.001;

/// What `span` measured on another machine lasts at most on this one.
pub fn max_with_drift(span: Micros) -> Micros {
    span.scaled(1.0 + DRIFT)
}

/// What `span` measured on another machine lasts at least on this one.
pub fn min_with_drift(span: Micros) -> Micros {
    span.scaled(1.0 - DRIFT)
}
