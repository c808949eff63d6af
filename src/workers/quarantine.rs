//! Quarantine of machines whose heartbeats arrive although replies and commands don't reach them.
//!
//! Each heartbeat of such a machine looks healthy, but its agent epochs keep ending, and with them all of its tasks.
//! After the first lost message the machine gets no start commands until there is proof that commands reach it:
//! either it answers a probe, or an agent epoch lasts longer than a lease, which is impossible without replies.

use crate::time::{Micros, Moment};

/// Time between the first two probes of a quarantined machine. It doubles with each probe.
const FIRST_PROBE_INTERVAL: Micros = Micros::from_secs(2);
/// Maximum time between two probes.
const MAX_PROBE_INTERVAL: Micros = Micros::from_secs(16);

/// Quarantine of one machine: it gets no start commands and is probed at increasing intervals.
#[derive(Clone, Copy, Debug)]
pub struct Quarantine {
    /// Start time of the quarantine.
    pub since: Moment,
    /// Time at which the agent epoch began, or a later message to the machine was known to be lost.
    last_undelivered_at: Moment,
    next_probe_at: Moment,
    probe_interval: Micros,
}

impl Quarantine {
    /// Starts the quarantine of a machine after a message to it was lost.
    pub(super) fn new(now: Moment) -> Quarantine {
        Quarantine {
            since: now,
            last_undelivered_at: now,
            next_probe_at: now,
            probe_interval: FIRST_PROBE_INTERVAL,
        }
    }

    /// Records the loss of another message to the machine.
    pub(super) fn note_undelivered(&mut self, now: Moment) {
        self.last_undelivered_at = now;
    }

    /// True if the agent epoch has lasted longer than a lease since the last loss: replies must have renewed it.
    pub(super) fn may_end(&self, lease: Micros, now: Moment) -> bool {
        now - self.last_undelivered_at > lease
    }

    /// True if the next probe may be sent now.
    pub(super) fn is_probe_due(&self, now: Moment) -> bool {
        self.next_probe_at <= now
    }

    /// Schedules the next probe when one is sent, and doubles the interval up to its maximum.
    pub(super) fn note_probe(&mut self, now: Moment) {
        self.next_probe_at = now + self.probe_interval;
        let doubled = Micros(self.probe_interval.0 * 2);
        self.probe_interval = doubled.min(MAX_PROBE_INTERVAL);
    }
}
