//! The command line: `aspenreel serve --config FILE`, with every flag also a variable, and an operator's
//! commands.

use crate::settings::SettingsError;
use crate::time::Micros;
use aspenreel_links::settings::LinkSettings;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

#[derive(Debug, Parser)]
#[command(
    name = "aspenreel",
    version,
    about = "A small durable cluster scheduler"
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one controller until it is killed
    Serve(ServeOptions),
    /// Before going back to an earlier version, with all controllers stopped: let it take the lead
    /// again. Refused while standing jobs are on record
    AllowEarlierVersions(RollbackOptions),
    /// Print what each controller believes about its links; changes nothing
    Links(LinksOptions),
}

#[derive(Clone, Debug, Args)]
pub struct RollbackOptions {
    /// The platform's settings file (TOML) of any controller
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

#[derive(Clone, Debug, Args)]
pub struct LinksOptions {
    /// Print one JSON document in place of tables
    #[arg(long)]
    pub json: bool,
    /// How long to wait for each controller, in milliseconds
    #[arg(long, default_value_t = 1500, value_parser = clap::value_parser!(u64).range(50..=60_000))]
    pub timeout_ms: u64,
    /// The platform's settings file (TOML) of any controller
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

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

#[derive(Clone, Debug, Args)]
pub struct ServeOptions {
    #[command(flatten)]
    pub links: LinkOptions,
    /// Length of a write round for done sets, in milliseconds
    #[arg(long, env = "ASPENREEL_ROUND_MS", default_value_t = 2000,
          value_parser = clap::value_parser!(u64).range(50..=60_000))]
    pub round_ms: u64,
    /// Machines drawn for a task before all are looked at; one in 16 of those with room, where that
    /// is more
    #[arg(long, env = "ASPENREEL_SAMPLE", default_value_t = 3,
          value_parser = clap::value_parser!(u64).range(1..=1000))]
    pub sample: u64,
    /// Changes that the leader may write, as a share of the state service's limit, in percent;
    /// the rest is for submissions
    #[arg(long, env = "ASPENREEL_WRITE_BUDGET", default_value_t = 60,
          value_parser = clap::value_parser!(u64).range(1..=90))]
    pub write_budget: u64,
    /// Life of the leader's lease in the state service , in milliseconds; with the workers'
    /// lease it must fit into the time for a cancellation [default: 8000, or less where that needs it]
    #[arg(long, env = "ASPENREEL_HOLD_MS",
          value_parser = clap::value_parser!(u64).range(1000..=60_000))]
    pub hold_ms: Option<u64>,
    /// A spot machine without work is returned after this long, in milliseconds; an ordinary one
    /// after a quarter of it
    #[arg(long, env = "ASPENREEL_IDLE_MS", default_value_t = 20_000,
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub idle_ms: u64,
    /// Work that may use spot machines gets an ordinary one only if that saves it this long a
    /// wait, in milliseconds
    #[arg(long, env = "ASPENREEL_DEAR_PATIENCE_MS", default_value_t = 120_000,
          value_parser = clap::value_parser!(u64).range(0..=86_400_000))]
    pub dear_patience_ms: u64,
    /// A job of which nothing has started for this long goes before all others with its first
    /// tasks, in milliseconds
    #[arg(long, env = "ASPENREEL_PATIENCE_MS", default_value_t = 90_000,
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub patience_ms: u64,
    /// Room kept ready where objectives tell of waiting times shorter than a boot takes, in percent
    /// of the CPUs in use
    #[arg(long, env = "ASPENREEL_RESERVE", default_value_t = 50,
          value_parser = clap::value_parser!(u64).range(0..=1000))]
    pub reserve: u64,
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}
