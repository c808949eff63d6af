//! The length of the leader's lease.

use super::{Settings, SettingsError};
use crate::time::{Micros, max_with_drift, min_with_drift};

/// Added to the times of a cancellation: timers, and the ways of the last reply and of the last command.
const CANCEL_MARGIN: Micros = Micros::from_millis(1000);

/// The leader's lease, unless something else is asked for or needed.
const DEFAULT_LEADER_LEASE: Micros = Micros::from_millis(8000);

/// The shortest leader's lease that its flag takes.
const MIN_LEADER_LEASE: Micros = Micros::from_millis(1000);

impl Settings {
    /// The length of the leader's lease: as asked for, else the usual one, or less where a cancellation
    /// could take too long with it.
    ///
    /// Whoever confirms a cancellation, and whatever the leader knows of it: after that moment the
    /// leader of before answers for no longer than its lease lives, and a worker that nobody answers
    /// kills its tasks when its own lease expires. Both together, with what clocks may drift and a
    /// margin, must fit into the time for a cancellation (`docs/design.md`, *The gap*).
    ///
    /// # Errors
    ///
    /// No lease is short enough beside the workers' lease, or the one that is asked for is too long.
    pub fn leader_lease(&self, asked: Option<Micros>) -> Result<Micros, SettingsError> {
        let workers = &self.settings.workers;
        let cancel = Micros::from_secs_f64(workers.cancel_s);
        let most = cancel.saturating_sub(max_with_drift(workers.lease()) + CANCEL_MARGIN);
        if most < MIN_LEADER_LEASE {
            return Err(self.worker_lease_too_long(cancel));
        }
        match asked {
            Some(asked) if asked > most => Err(SettingsError::LeaderLease {
                problem: format!(
                    "must be at most {} for a lease_s of {} and a cancel_s of {}, is {}: \
                     tasks of a cancelled job could outlast it",
                    most.0 / 1000,
                    workers.lease_s,
                    workers.cancel_s,
                    asked.0 / 1000
                ),
            }),
            Some(asked) => Ok(asked),
            None => Ok(DEFAULT_LEADER_LEASE.min(most)),
        }
    }

    /// Beside the workers' lease no leader's lease is short enough.
    fn worker_lease_too_long(&self, cancel: Micros) -> SettingsError {
        let workers = &self.settings.workers;
        let left = cancel.saturating_sub(CANCEL_MARGIN + MIN_LEADER_LEASE);
        let most = (min_with_drift(left).as_secs_f64() * 1000.0).floor() / 1000.0;
        SettingsError::field(
            "settings.workers.lease_s",
            format!(
                "must be at most {most} for a cancel_s of {}, is {}: \
                 tasks of a cancelled job could outlast it",
                workers.cancel_s, workers.lease_s
            ),
        )
    }
}
