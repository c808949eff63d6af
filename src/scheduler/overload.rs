//! Detection of a shortage of processor time, measured by the delay of this process's timers.

use crate::time::{Micros, Moment};

/// Whether the process is overloaded now, and when it last was.
#[derive(Debug, Default)]
pub struct OverloadMonitor {
    overloaded: bool,
    last_overloaded: Moment,
}

impl OverloadMonitor {
    /// Stores the result of the newest measurement.
    pub fn note(&mut self, overloaded: bool, now: Moment) {
        self.overloaded = overloaded;
        if overloaded {
            self.last_overloaded = now;
        }
    }

    /// True if the newest measurement found an overload.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Time of the last measurement that found an overload; zero if none did.
    pub fn last_overloaded(&self) -> Moment {
        self.last_overloaded
    }

    /// True if the process is overloaded, or was within the last `span`.
    pub fn was_overloaded_within(&self, span: Micros, now: Moment) -> bool {
        let seen = self.last_overloaded > Moment(0);
        self.overloaded || (seen && now - self.last_overloaded < span)
    }
}
