//! When the next placement pass is due.

use crate::time::{Micros, Moment};

/// Passes are at least this long apart for each machine: a pass looks at every machine and waiting job.
const SPACING_PER_MACHINE: Micros = Micros(100);

/// When placement passes run: after a change, and not too often.
#[derive(Debug)]
pub struct PlacementSchedule {
    /// Something changed that a pass should look at.
    pub due: bool,
    /// When the last pass was.
    pub last_pass: Moment,
}

impl Default for PlacementSchedule {
    fn default() -> Self {
        PlacementSchedule {
            due: true,
            last_pass: Moment(0),
        }
    }
}

impl PlacementSchedule {
    /// True if a pass is due and the last one was long enough ago for so many machines.
    pub fn may_run(&self, machines: usize, now: Moment) -> bool {
        let spacing = Micros(SPACING_PER_MACHINE.0 * machines as u64);
        self.due && now - self.last_pass >= spacing
    }

    /// Notes that a pass begins.
    pub(super) fn begin_pass(&mut self, now: Moment) {
        self.due = false;
        self.last_pass = now;
    }
}
