//! The flags of link health.

use crate::settings::SettingsError;
use crate::time::Micros;
use aspenreel_link_health::settings::LinkSettings;
use clap::Args;

/// The flags of link health, as clap reads them; the texts on the fields are their help.
#[derive(Clone, Debug, Default, Args)]
pub struct LinkOptions {
    /// Watch the links to the key-value store, peers and workers; decide nothing that can't be recorded;
    /// hand leadership over to a better-placed controller
    #[arg(long, env = "ASPENREEL_HALF_CUT_LINKS")]
    pub half_cut_links: bool,
    /// A link that fails for this long is down, in milliseconds [default: 1500]
    #[arg(long, env = "ASPENREEL_LINK_DOWN_AFTER_MS",
          value_parser = clap::value_parser!(u64).range(100..=600_000))]
    pub link_down_after_ms: Option<u64>,
    /// A link that was down must answer for this long to be up again, in milliseconds; twice as long
    /// after each further loss [default: 1000]
    #[arg(long, env = "ASPENREEL_LINK_UP_AFTER_MS",
          value_parser = clap::value_parser!(u64).range(100..=600_000))]
    pub link_up_after_ms: Option<u64>,
    /// The longest that a link must answer to be up again, in milliseconds [default: 30000]
    #[arg(long, env = "ASPENREEL_LINK_UP_AFTER_MAX_MS",
          value_parser = clap::value_parser!(u64).range(100..=3_600_000))]
    pub link_up_after_max_ms: Option<u64>,
    /// A controller must be better placed for this long before it is handed leadership, in milliseconds
    /// [default: 1000]
    #[arg(long, env = "ASPENREEL_HANDOVER_AFTER_MS",
          value_parser = clap::value_parser!(u64).range(0..=600_000))]
    pub handover_after_ms: Option<u64>,
    /// Time between two handovers at least, in milliseconds; twice as long after each further one
    /// [default: 20000]
    #[arg(long, env = "ASPENREEL_HANDOVER_PAUSE_MS",
          value_parser = clap::value_parser!(u64).range(1000..=3_600_000))]
    pub handover_pause_ms: Option<u64>,
    /// The longest time that is kept between two handovers, in milliseconds [default: 120000]
    #[arg(long, env = "ASPENREEL_HANDOVER_PAUSE_MAX_MS",
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub handover_pause_max_ms: Option<u64>,
}

impl LinkOptions {
    /// The settings that the flags ask for; `None` without `--half-cut-links`.
    ///
    /// # Errors
    ///
    /// A flag that has no effect without `--half-cut-links`, or two that contradict each other.
    pub fn settings(&self) -> Result<Option<LinkSettings>, SettingsError> {
        if !self.half_cut_links {
            return self.refuse_tuning().map(|()| None);
        }
        let usual = LinkSettings::default();
        let millis = |asked: Option<u64>, usual| asked.map_or(usual, Micros::from_millis);
        let settings = LinkSettings {
            down_after: millis(self.link_down_after_ms, usual.down_after),
            up_after: millis(self.link_up_after_ms, usual.up_after),
            up_after_max: millis(self.link_up_after_max_ms, usual.up_after_max),
            handover_after: millis(self.handover_after_ms, usual.handover_after),
            handover_pause: millis(self.handover_pause_ms, usual.handover_pause),
            handover_pause_max: millis(self.handover_pause_max_ms, usual.handover_pause_max),
        };
        settings.check()?;
        Ok(Some(settings))
    }

    /// Refuses flags without effect: they would otherwise be a mistake that nobody notices.
    fn refuse_tuning(&self) -> Result<(), SettingsError> {
        let tuning = [
            ("--link-down-after-ms", self.link_down_after_ms),
            ("--link-up-after-ms", self.link_up_after_ms),
            ("--link-up-after-max-ms", self.link_up_after_max_ms),
            ("--handover-after-ms", self.handover_after_ms),
            ("--handover-pause-ms", self.handover_pause_ms),
            ("--handover-pause-max-ms", self.handover_pause_max_ms),
        ];
        match tuning.into_iter().find(|(_, value)| value.is_some()) {
            Some((flag, _)) => Err(SettingsError::RequiresLinkHealth(flag)),
            None => Ok(()),
        }
    }
}
