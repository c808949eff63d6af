//! The limits and delays that an operator may set, and the check that they agree.

use aspenreel_time::Micros;

/// Limits and delays of link monitoring and handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// A link whose calls fail for this long, without an answer between, is down.
    pub down_after: Micros,
    /// A link that was down must answer for this long before it is up again.
    pub up_after: Micros,
    /// Each further loss of the link doubles `up_after`, up to this.
    pub up_after_max: Micros,
    /// Some peer must have been better placed for this long before leadership is handed over to it.
    pub handover_after: Micros,
    /// The next handover is at least this long after the last one.
    pub handover_pause: Micros,
    /// Each further handover doubles the pause, up to this.
    pub handover_pause_max: Micros,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            down_after: Micros::from_millis(1500),
            up_after: Micros::from_millis(1000),
            up_after_max: Micros::from_secs(30),
            handover_after: Micros::from_millis(1000),
            handover_pause: Micros::from_secs(20),
            handover_pause_max: Micros::from_secs(120),
        }
    }
}

/// Two settings that contradict each other. The names are those of the flags.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{smaller} must not exceed {larger}: {smaller_ms} ms is more than {larger_ms} ms")]
pub struct SettingsConflict {
    smaller: &'static str,
    larger: &'static str,
    smaller_ms: u64,
    larger_ms: u64,
}

impl LinkSettings {
    /// Checks that no delay exceeds its upper bound.
    ///
    /// # Errors
    ///
    /// The first pair of settings that contradict each other.
    pub fn check(&self) -> Result<(), SettingsConflict> {
        let in_order = |smaller, low: Micros, larger, high: Micros| {
            if low <= high {
                return Ok(());
            }
            Err(SettingsConflict {
                smaller,
                larger,
                smaller_ms: low.0 / 1000,
                larger_ms: high.0 / 1000,
            })
        };
        in_order(
            "--link-up-after-ms",
            self.up_after,
            "--link-up-after-max-ms",
            self.up_after_max,
        )?;
        in_order(
            "--handover-pause-ms",
            self.handover_pause,
            "--handover-pause-max-ms",
            self.handover_pause_max,
        )
    }
}
