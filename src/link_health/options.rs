//! The command-line flags of link monitoring.

use crate::settings::SettingsError;
use crate::time::Micros;
use aspenreel_link_health::settings::LinkSettings;
use clap::Args;

/// The flags of link monitoring. The doc comments of the fields are the help texts.
#[derive(Clone, Debug, Default, Args)]
pub struct LinkOptions {
    /// Monitor the links to the key-value store, peers and workers; make no decisions while they can't be
    /// recorded; hand leadership over to a better-connected controller
    #[arg(long, env = "ASPENREEL_HALF_CUT_LINKS")]
    pub half_cut_links: bool,
    /// Time for which a link must fail before it is down, in milliseconds [default: 1500]
    #[arg(long, env = "ASPENREEL_LINK_DOWN_AFTER_MS",
          value_parser = clap::value_parser!(u64).range(100..=600_000))]
    pub link_down_after_ms: Option<u64>,
    /// Time for which a link that is down must answer before it is up again, in milliseconds; doubles each
    /// further time that the link goes down [default: 1000]
    #[arg(long, env = "ASPENREEL_LINK_UP_AFTER_MS",
          value_parser = clap::value_parser!(u64).range(100..=600_000))]
    pub link_up_after_ms: Option<u64>,
    /// Upper bound of the time for which a link must answer before it is up again, in milliseconds
    /// [default: 30000]
    #[arg(long, env = "ASPENREEL_LINK_UP_AFTER_MAX_MS",
          value_parser = clap::value_parser!(u64).range(100..=3_600_000))]
    pub link_up_after_max_ms: Option<u64>,
    /// Time for which another controller must be better connected before leadership is handed over, in
    /// milliseconds [default: 1000]
    #[arg(long, env = "ASPENREEL_HANDOVER_AFTER_MS",
          value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub handover_after_ms: Option<u64>,
    /// Minimum time between two handovers, in milliseconds; doubles with each further handover
    /// [default: 20000]
    #[arg(long, env = "ASPENREEL_HANDOVER_PAUSE_MS",
          value_parser = clap::value_parser!(u64).range(1000..=3_600_000))]
    pub handover_pause_ms: Option<u64>,
    /// Upper bound of the minimum time between two handovers, in milliseconds [default: 120000]
    #[arg(long, env = "ASPENREEL_HANDOVER_PAUSE_MAX_MS",
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub handover_pause_max_ms: Option<u64>,
}

impl LinkOptions {
    /// The settings that result from the flags. `None` without `--half-cut-links`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if a flag has no effect without `--half-cut-links`, or if two flags contradict each other.
    pub fn settings(&self) -> Result<Option<LinkSettings>, SettingsError> {
        if !self.half_cut_links {
            return self.reject_tuning_flags().map(|()| None);
        }
        let defaults = LinkSettings::default();
        let millis = |flag: Option<u64>, default| flag.map_or(default, Micros::from_millis);
        let settings = LinkSettings {
            down_after: millis(self.link_down_after_ms, defaults.down_after),
            up_after: millis(self.link_up_after_ms, defaults.up_after),
            up_after_max: millis(self.link_up_after_max_ms, defaults.up_after_max),
            handover_after: millis(self.handover_after_ms, defaults.handover_after),
            handover_pause: millis(self.handover_pause_ms, defaults.handover_pause),
            handover_pause_max: millis(self.handover_pause_max_ms, defaults.handover_pause_max),
        };
        settings.check()?;
        Ok(Some(settings))
    }

    /// Rejects flags without effect, which would otherwise be a mistake that goes unnoticed.
    fn reject_tuning_flags(&self) -> Result<(), SettingsError> {
        let tuning_flags = [
            ("--link-down-after-ms", self.link_down_after_ms),
            ("--link-up-after-ms", self.link_up_after_ms),
            ("--link-up-after-max-ms", self.link_up_after_max_ms),
            ("--handover-after-ms", self.handover_after_ms),
            ("--handover-pause-ms", self.handover_pause_ms),
            ("--handover-pause-max-ms", self.handover_pause_max_ms),
        ];
        match tuning_flags.into_iter().find(|(_, value)| value.is_some()) {
            Some((flag, _)) => Err(SettingsError::RequiresLinkHealth(flag)),
            None => Ok(()),
        }
    }
}
