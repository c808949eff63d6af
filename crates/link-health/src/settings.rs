//! The limits and delays that an operator may set, and the check that they don't contradict each other.

use aspenreel_time::Micros;

/// Limits and delays of link monitoring and leadership handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Time for which the calls of a link must fail, without an answer between them, before it is down.
    pub down_after: Micros,
    /// Recovery time: how long a link that is down must answer before it is up again.
    pub up_after: Micros,
    /// Upper bound of the recovery time, which doubles with each further flap of the link.
    pub up_after_max: Micros,
    /// Time for which some peer must have been better connected before leadership is handed over.
    pub handover_after: Micros,
    /// Minimum time between two handovers.
    pub handover_pause: Micros,
    /// Upper bound of the pause, which doubles with each further handover.
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

/// Two settings that contradict each other, by the names of their flags.
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
    /// [`SettingsConflict`] with the first pair of settings that contradict each other.
    pub fn check(&self) -> Result<(), SettingsConflict> {
        let check_order = |smaller, lower_value: Micros, larger, upper_value: Micros| {
            if lower_value <= upper_value {
                return Ok(());
            }
            Err(SettingsConflict {
                smaller,
                larger,
                smaller_ms: lower_value.0 / 1000,
                larger_ms: upper_value.0 / 1000,
            })
        };
        check_order(
            "--link-up-after-ms",
            self.up_after,
            "--link-up-after-max-ms",
            self.up_after_max,
        )?;
        check_order(
            "--handover-pause-ms",
            self.handover_pause,
            "--handover-pause-max-ms",
            self.handover_pause_max,
        )
    }
}
