//! The command line: `aspenreel serve --config FILE`, with every flag also an environment variable, and the
//! operators' commands.
//!
//! Flags and variables that were renamed go on working under their earlier names, which the help doesn't show.

#![warn(missing_docs)]

use crate::link_health::LinkOptions;
use clap::{Args, CommandFactory, FromArgMatches, Parser, Subcommand};
use std::path::PathBuf;

/// A variable that had other names in earlier versions.
struct RenamedVariable {
    /// The option's field in [`ServeOptions`].
    option: &'static str,
    variable: &'static str,
    /// The newest first.
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

/// What the process is asked to do.
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
    /// Reads the command line and the variables, those with earlier names as well. Ends the process with a
    /// message where they are wrong.
    pub fn from_process() -> Cli {
        let matches = Cli::with_earlier_variables().get_matches();
        Cli::from_arg_matches(&matches).unwrap_or_else(|e| e.exit())
    }

    /// The commands, with each variable's earlier name in place of the present one where only that is set.
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
    /// Before going back to an earlier version, with all controllers stopped: let it take the lead
    /// again. Refused while standing jobs are on record
    AllowEarlierVersions(RollbackOptions),
    /// Print what each controller believes about its links; changes nothing
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

/// Options of `serve`: what an operator may tune.
#[derive(Clone, Debug, Args)]
pub struct ServeOptions {
    /// Options of the link health checks.
    #[command(flatten)]
    pub links: LinkOptions,
    /// Time between two rounds in which done sets are recorded, in milliseconds
    #[arg(long, alias = "round-ms", env = "ASPENREEL_RECORD_ROUND_MS", default_value_t = 2000,
          value_parser = clap::value_parser!(u64).range(50..=60_000))]
    pub record_round_ms: u64,
    /// Machines drawn for a task before all are looked at; one in 16 of those with free capacity, where
    /// that is more
    #[arg(long, alias = "sample", env = "ASPENREEL_CANDIDATE_SAMPLE", default_value_t = 3,
          value_parser = clap::value_parser!(u64).range(1..=1000))]
    pub candidate_sample: u64,
    /// Changes that the leader may write, as a share of the key-value store's limit, in percent;
    /// the rest is for submissions
    #[arg(long, env = "ASPENREEL_WRITE_BUDGET", default_value_t = 60,
          value_parser = clap::value_parser!(u64).range(1..=90))]
    pub write_budget: u64,
    /// Length of the leader's lease in the key-value store, in milliseconds; with the workers'
    /// lease it must fit into the time for a cancellation [default: 8000, or less where that needs it]
    #[arg(long, alias = "hold-ms", env = "ASPENREEL_LEADER_LEASE_MS",
          value_parser = clap::value_parser!(u64).range(1000..=60_000))]
    pub leader_lease_ms: Option<u64>,
    /// A spot machine without work is returned after this long, in milliseconds; an on-demand one
    /// after a quarter of it
    #[arg(long, alias = "idle-ms", env = "ASPENREEL_MAX_IDLE_MS", default_value_t = 20_000,
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub max_idle_ms: u64,
    /// Work that may use spot machines gets an on-demand one only if that saves it this long a
    /// wait, in milliseconds
    #[arg(long, aliases = ["on-demand-patience-ms", "dear-patience-ms"],
          env = "ASPENREEL_ON_DEMAND_MAX_WAIT_MS", default_value_t = 120_000,
          value_parser = clap::value_parser!(u64).range(0..=86_400_000))]
    pub on_demand_max_wait_ms: u64,
    /// A job of which nothing has started for this long goes before all others with its first
    /// tasks, in milliseconds
    #[arg(long, alias = "patience-ms", env = "ASPENREEL_MAX_QUEUE_WAIT_MS", default_value_t = 90_000,
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub max_queue_wait_ms: u64,
    /// Free capacity kept ready where objectives ask for waiting times shorter than a boot takes, in
    /// percent of the CPUs in use
    #[arg(long, alias = "reserve", env = "ASPENREEL_HEADROOM", default_value_t = 50,
          value_parser = clap::value_parser!(u64).range(0..=1000))]
    pub headroom: u64,
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}
