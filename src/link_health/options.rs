//! The flags of this slice.

use crate::settings::SettingsError;
use crate::time::Micros;
use aspenreel_link_health::settings::LinkSettings;
use clap::Args;

/// Watching links, and what depends on it.
#[derive(Clone, Debug, Default, Args)]
pub struct LinkOptions {
    /// Watch the links to the state service, peers and workers; decide nothing that can't be recorded;
    /// hand the lead over to a better-placed controller
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
    /// A controller must be better placed for this long before it is handed the lead, in milliseconds
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
    /// What was asked for, checked; None without the flag.
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

    /// Tuning what isn't switched on is a mistake that would otherwise go unnoticed.
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
            Some((flag, _)) => Err(SettingsError::WithoutLinks(flag)),
            None => Ok(()),
        }
    }
}
