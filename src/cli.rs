//! The command line: `aspenreel serve --config FILE`, whose tuning flags can also be set as environment variables,
//! and the commands for operators.
//!
//! Renamed flags and environment variables are still accepted under their earlier names, which the help doesn't
//! show.

#![warn(missing_docs)]

use crate::link_health::LinkOptions;
use clap::{Args, CommandFactory, FromArgMatches, Parser, Subcommand};
use std::path::PathBuf;

/// An environment variable that had other names in earlier versions.
struct RenamedVariable {
    /// Name of the option's field in [`ServeOptions`].
    option: &'static str,
    variable: &'static str,
    /// Earlier names, the newest first.
    earlier: &'static [&'static str],
}

const RENAMED_VARIABLES: [RenamedVariable; 7] = [
    RenamedVariable {
        option: "record_round_ms",
        variable: "ASPENREEL_RECORD_ROUND_MS",
        earlier: &["ASPENREEL_ROUND_MS"],
    },
    RenamedVariable {
        option: "candidate_sample",
        variable: "ASPENREEL_CANDIDATE_SAMPLE",
        earlier: &["ASPENREEL_SAMPLE"],
    },
    RenamedVariable {
        option: "leader_lease_ms",
        variable: "ASPENREEL_LEADER_LEASE_MS",
        earlier: &["ASPENREEL_HOLD_MS"],
    },
    RenamedVariable {
        option: "max_idle_ms",
        variable: "ASPENREEL_MAX_IDLE_MS",
        earlier: &["ASPENREEL_IDLE_MS"],
    },
    RenamedVariable {
        option: "on_demand_max_wait_ms",
        variable: "ASPENREEL_ON_DEMAND_MAX_WAIT_MS",
        earlier: &[
            "ASPENREEL_ON_DEMAND_PATIENCE_MS",
            "ASPENREEL_DEAR_PATIENCE_MS",
        ],
    },
    RenamedVariable {
        option: "max_queue_wait_ms",
        variable: "ASPENREEL_MAX_QUEUE_WAIT_MS",
        earlier: &["ASPENREEL_PATIENCE_MS"],
    },
    RenamedVariable {
        option: "headroom",
        variable: "ASPENREEL_HEADROOM",
        earlier: &["ASPENREEL_RESERVE"],
    },
];

/// The parsed command line.
#[derive(Debug, Parser)]
#[command(
    name = "aspenreel",
    version,
    about = "A small durable cluster scheduler"
)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

impl Cli {
    /// Parses the command line and the environment variables, including those with earlier names. Prints an error
    /// message and ends the process if they are invalid.
    pub fn from_process() -> Cli {
        let matches = Cli::with_earlier_variables().get_matches();
        Cli::from_arg_matches(&matches).unwrap_or_else(|e| e.exit())
    }

    /// The command-line definition. If only an earlier name of an environment variable is set, that name replaces the
    /// present one.
    fn with_earlier_variables() -> clap::Command {
        let is_set = |name: &str| std::env::var_os(name).is_some();
        Cli::command().mut_subcommand("serve", |mut serve| {
            for renamed in RENAMED_VARIABLES {
                let earlier = renamed.earlier.iter().find(|name| is_set(name));
                if let Some(earlier) = earlier
                    && !is_set(renamed.variable)
                {
                    serve = serve.mut_arg(renamed.option, |arg| arg.env(earlier));
                }
            }
            serve
        })
    }
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one controller until it is killed
    Serve(ServeOptions),
    /// Allow controllers of earlier versions to lead again; run before a downgrade, while all controllers
    /// are stopped. Refused while standing jobs are recorded
    AllowEarlierVersions(RollbackOptions),
    /// Print each controller's view of its network links; changes nothing
    Links(LinksOptions),
}

/// Options of `allow-earlier-versions`.
#[derive(Clone, Debug, Args)]
pub struct RollbackOptions {
    /// The platform's settings file (TOML) of any controller
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

/// Options of `links`.
#[derive(Clone, Debug, Args)]
pub struct LinksOptions {
    /// Print one JSON document instead of tables
    #[arg(long)]
    pub json: bool,
    /// Timeout of the request to each controller, in milliseconds
    #[arg(long, default_value_t = 1500, value_parser = clap::value_parser!(u64).range(50..=60_000))]
    pub timeout_ms: u64,
    /// The platform's settings file (TOML) of any controller
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

/// Options of `serve`.
#[derive(Clone, Debug, Args)]
pub struct ServeOptions {
    /// Options of link monitoring and handover.
    #[command(flatten)]
    pub links: LinkOptions,
    /// Time between two rounds of recording done sets, in milliseconds
    #[arg(long, alias = "round-ms", env = "ASPENREEL_RECORD_ROUND_MS", default_value_t = 2000,
          value_parser = clap::value_parser!(u64).range(50..=60_000))]
    pub record_round_ms: u64,
    /// Number of machines sampled at random for a task before all machines are considered, or one in 16 of
    /// those with free capacity, if that is more
    #[arg(long, alias = "sample", env = "ASPENREEL_CANDIDATE_SAMPLE", default_value_t = 3,
          value_parser = clap::value_parser!(u64).range(1..=1000))]
    pub candidate_sample: u64,
    /// Share of the key-value store's write limit that the leader may use, in percent; the rest is
    /// reserved for submissions
    #[arg(long, env = "ASPENREEL_WRITE_BUDGET", default_value_t = 60,
          value_parser = clap::value_parser!(u64).range(1..=90))]
    pub write_budget: u64,
    /// Duration of the leader's lease in the key-value store, in milliseconds; together with the workers'
    /// lease it must not exceed the time allowed for a cancellation [default: 8000, or less if necessary]
    #[arg(long, alias = "hold-ms", env = "ASPENREEL_LEADER_LEASE_MS",
          value_parser = clap::value_parser!(u64).range(1000..=60_000))]
    pub leader_lease_ms: Option<u64>,
    /// Time after which an idle spot machine is returned, in milliseconds; an idle on-demand machine is
    /// returned after a quarter of it
    #[arg(long, alias = "idle-ms", env = "ASPENREEL_MAX_IDLE_MS", default_value_t = 20_000,
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub max_idle_ms: u64,
    /// Minimum waiting time that an on-demand machine must save before it is used for work that may run on
    /// spot machines, in milliseconds
    #[arg(long, aliases = ["on-demand-patience-ms", "dear-patience-ms"],
          env = "ASPENREEL_ON_DEMAND_MAX_WAIT_MS", default_value_t = 120_000,
          value_parser = clap::value_parser!(u64).range(0..=86_400_000))]
    pub on_demand_max_wait_ms: u64,
    /// Queue time after which the first tasks of a job take precedence over all other jobs, if none of its
    /// tasks has started, in milliseconds
    #[arg(long, alias = "patience-ms", env = "ASPENREEL_MAX_QUEUE_WAIT_MS", default_value_t = 90_000,
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub max_queue_wait_ms: u64,
    /// Free capacity that is kept available if objectives require waiting times shorter than the boot time
    /// of a machine, in percent of the CPUs in use
    #[arg(long, alias = "reserve", env = "ASPENREEL_HEADROOM", default_value_t = 50,
          value_parser = clap::value_parser!(u64).range(0..=1000))]
    pub headroom: u64,
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}
