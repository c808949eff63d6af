//! Machines whose heartbeats arrive although replies and commands don't reach them.
//!
//! Each heartbeat of such a machine looks healthy, but its agent epoch ends again and again, and all of its
//! tasks with it. After the first sign the machine gets no starts until it is proven to receive commands:
//! it answers a probe, or an agent epoch lasts for longer than a lease, which takes replies.

use crate::time::{Micros, Moment};

/// The time between the first two probes of a quarantined machine. It doubles from probe to probe.
const FIRST_PROBE_INTERVAL: Micros = Micros::from_secs(2);
/// The longest time between two probes.
const MAX_PROBE_INTERVAL: Micros = Micros::from_secs(16);

/// Why and since when a machine gets no starts, and when it is probed next.
#[derive(Clone, Copy, Debug)]
pub struct Quarantine {
    /// When the quarantine began.
    pub since: Moment,
    /// When the agent epoch began, or when something sent to the machine was last known to be lost.
    last_undelivered_at: Moment,
    next_probe_at: Moment,
    probe_interval: Micros,
}

impl Quarantine {
    /// The quarantine of a machine that something sent to was just lost on the way to.
    pub(super) fn new(now: Moment) -> Quarantine {
        Quarantine {
            since: now,
            last_undelivered_at: now,
            next_probe_at: now,
            probe_interval: FIRST_PROBE_INTERVAL,
        }
    }

    /// Notes that something else sent to the machine was lost.
    pub(super) fn note_undelivered(&mut self, now: Moment) {
        self.last_undelivered_at = now;
    }

    /// True if the agent epoch has lasted for longer than a lease since the last loss: replies renewed it.
    pub(super) fn may_end(&self, lease: Micros, now: Moment) -> bool {
        now - self.last_undelivered_at > lease
    }

    /// True if it is time for the next probe.
    pub(super) fn is_probe_due(&self, now: Moment) -> bool {
        self.next_probe_at <= now
    }

    /// Notes that a probe is being sent.
    pub(super) fn note_probe(&mut self, now: Moment) {
        self.next_probe_at = now + self.probe_interval;
        let doubled = Micros(self.probe_interval.0 * 2);
        self.probe_interval = doubled.min(MAX_PROBE_INTERVAL);
    }
}
