//! Whether this process gets enough processor time, told by how late its timers fire.

use crate::time::{Micros, Moment};

/// Whether the process is overloaded, and when it last was.
#[derive(Debug, Default)]
pub struct OverloadMonitor {
    overloaded: bool,
    last_overloaded: Moment,
}

impl OverloadMonitor {
    /// Takes in the newest measurement.
    pub fn note(&mut self, overloaded: bool, now: Moment) {
        self.overloaded = overloaded;
        if overloaded {
            self.last_overloaded = now;
        }
    }

    /// True if the newest measurement says so.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// When the process was last seen overloaded; zero if it never was.
    pub fn last_overloaded(&self) -> Moment {
        self.last_overloaded
    }

    /// True if the process was overloaded within that time.
    pub fn was_overloaded_within(&self, span: Micros, now: Moment) -> bool {
        let seen = self.last_overloaded > Moment(0);
        self.overloaded || (seen && now - self.last_overloaded < span)
    }
}
