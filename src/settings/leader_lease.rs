//! The length of the leader's lease.

use super::{Settings, SettingsError};
use crate::time::{Micros, max_with_drift, min_with_drift};

/// Margin in the time of a cancellation, for timers and for the transit of the last reply and of the last command.
const CANCEL_MARGIN: Micros = Micros::from_millis(1000);

/// Length of the leader's lease, unless another one is requested or a shorter one is necessary.
const DEFAULT_LEADER_LEASE: Micros = Micros::from_millis(8000);

/// Minimum length of the leader's lease that the flag accepts.
const MIN_LEADER_LEASE: Micros = Micros::from_millis(1000);

impl Settings {
    /// The length of the leader's lease: the requested one, or else the default, shortened where a cancellation could
    /// take too long with it.
    ///
    /// After the confirmation of a cancellation, whichever controller confirmed it and whatever the leader knows of
    /// it, the previous leader answers workers only until its own lease expires, and a worker that gets no answer
    /// kills its tasks when the worker's lease expires. The sum of both, with clock drift and a margin, must fit into
    /// the time for a cancellation (`docs/design.md`, *The gap*).
    ///
    /// # Errors
    ///
    /// The workers' lease leaves no time for any leader's lease, or the requested one is too long.
    pub fn leader_lease(&self, requested: Option<Micros>) -> Result<Micros, SettingsError> {
        let workers = &self.settings.workers;
        let cancel = Micros::from_secs_f64(workers.cancel_s);
        let max_lease = cancel.saturating_sub(max_with_drift(workers.lease()) + CANCEL_MARGIN);
        if max_lease < MIN_LEADER_LEASE {
            return Err(self.worker_lease_too_long(cancel));
        }
        match requested {
            Some(requested) if requested > max_lease => Err(SettingsError::LeaderLease {
                problem: format!(
                    "must be at most {} for a lease_s of {} and a cancel_s of {}, is {}: \
                     tasks of a cancelled job could outlast it",
                    max_lease.0 / 1000,
                    workers.lease_s,
                    workers.cancel_s,
                    requested.0 / 1000
                ),
            }),
            Some(requested) => Ok(requested),
            None => Ok(DEFAULT_LEADER_LEASE.min(max_lease)),
        }
    }

    /// The error for a workers' lease that leaves no time for any leader's lease.
    fn worker_lease_too_long(&self, cancel: Micros) -> SettingsError {
        let workers = &self.settings.workers;
        let left = cancel.saturating_sub(CANCEL_MARGIN + MIN_LEADER_LEASE);
        let max_lease_s = (min_with_drift(left).as_secs_f64() * 1000.0).floor() / 1000.0;
        SettingsError::field(
            "settings.workers.lease_s",
            format!(
                "must be at most {max_lease_s} for a cancel_s of {}, is {}: \
                 tasks of a cancelled job could outlast it",
                workers.cancel_s, workers.lease_s
            ),
        )
    }
}
