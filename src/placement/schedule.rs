//! Schedule of placement passes.

use crate::time::{Micros, Moment};

/// Minimum time between two passes, per machine: a pass examines every machine and every waiting job.
const PASS_SPACING_PER_MACHINE: Micros = Micros(100);

/// State that decides when a placement pass runs: only after a change, and with a minimum spacing.
#[derive(Debug)]
pub struct PlacementSchedule {
    /// True if a change since the last pass may let tasks be placed.
    pub due: bool,
    /// Start of the last pass.
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
    /// True if a pass is due and the spacing for this number of machines has elapsed since the last one.
    pub fn may_run(&self, machines: usize, now: Moment) -> bool {
        let spacing = Micros(PASS_SPACING_PER_MACHINE.0 * machines as u64);
        self.due && now - self.last_pass >= spacing
    }

    /// Records the start of a pass: no further pass is due until the next change.
    pub(super) fn begin_pass(&mut self, now: Moment) {
        self.due = false;
        self.last_pass = now;
    }
}
