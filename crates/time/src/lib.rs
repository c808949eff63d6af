//! Time in whole microseconds: durations, monotonic time and wall-clock time.
//!
//! Other units (seconds and milliseconds in messages and settings) are converted on input and output only.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A duration in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// A duration of zero.
    pub const ZERO: Micros = Micros(0);

    /// Creates a duration from whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Micros(seconds * 1_000_000)
    }

    /// Creates a duration from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis * 1_000)
    }

    /// Creates a duration from seconds, rounded to microseconds. NaN and negative values become zero, and values
    /// above 1e12 seconds become 1e12 seconds.
    pub fn from_secs_f64(seconds: f64) -> Self {
        if seconds.is_nan() || seconds <= 0.0 {
            return Micros(0);
        }
        Micros((seconds.min(1e12) * 1e6).round() as u64)
    }

    /// The duration in seconds, for messages and output.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The duration as a [`Duration`] of the standard library.
    pub fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// The difference of two durations; zero if `other` is longer.
    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// The duration multiplied by `factor`, for safety margins and weights.
    pub fn scaled(self, factor: f64) -> Micros {
        Micros::from_secs_f64(self.as_secs_f64() * factor)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, rhs: Micros) -> Micros {
        Micros(self.0.saturating_add(rhs.0))
    }
}

/// A time of this process's monotonic clock, in microseconds.
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
    /// The duration from `rhs` to this time. Zero if `rhs` is later.
    fn sub(self, rhs: Moment) -> Micros {
        Micros(self.0.saturating_sub(rhs.0))
    }
}

/// A wall-clock time in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(pub u64);

/// The monotonic time at which a process starts: events up to this long before the start have a valid [`Moment`].
const CLOCK_START: Micros = Micros::from_secs(365 * 24 * 3600);

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
    /// The current time of the monotonic clock.
    ///
    /// The clock doesn't start at zero, so that times long before the start of the process can be represented: jobs
    /// and machines can be older than a controller that has just been restarted, and must keep their age.
    pub fn now(&self) -> Moment {
        Moment(CLOCK_START.0 + self.origin.elapsed().as_micros() as u64)
    }

    /// The current wall-clock time; the Unix epoch if the system clock is set to an earlier time.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        WallTime(since.as_micros() as u64)
    }
}

/// Maximum relative difference between durations that the monotonic clocks of different machines measure.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;

/// The maximum duration on this machine's clock of `duration` as measured by another machine.
pub fn max_with_drift(duration: Micros) -> Micros {
    duration.scaled(1.0 + MAX_CLOCK_DRIFT)
}

/// The minimum duration on this machine's clock of `duration` as measured by another machine.
pub fn min_with_drift(duration: Micros) -> Micros {
    duration.scaled(1.0 - MAX_CLOCK_DRIFT)
}
