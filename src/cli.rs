//! The command line: `aspenreel serve --config FILE`, with every flag also a variable, and an operator's
//! commands.

use crate::link_health::LinkOptions;
use clap::{Args, CommandFactory, FromArgMatches, Parser, Subcommand};
use std::path::PathBuf;

const LEADER_LEASE_VARIABLE: &str = "ASPENREEL_LEADER_LEASE_MS";
const ON_DEMAND_PATIENCE_VARIABLE: &str = "ASPENREEL_ON_DEMAND_PATIENCE_MS";

/// Variables that had another name in earlier versions: the option, its variable, and the earlier one.
const EARLIER_VARIABLES: [(&str, &str, &str); 2] = [
    (
        "leader_lease_ms",
        LEADER_LEASE_VARIABLE,
        "ASPENREEL_HOLD_MS",
    ),
    (
        "on_demand_patience_ms",
        ON_DEMAND_PATIENCE_VARIABLE,
        "ASPENREEL_DEAR_PATIENCE_MS",
    ),
];

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

impl Cli {
    /// Reads the command line and the variables, those with earlier names as well. Ends the process with a
    /// message where they are wrong.
    pub fn from_process() -> Cli {
        let matches = Cli::with_earlier_variables().get_matches();
        Cli::from_arg_matches(&matches).unwrap_or_else(|e| e.exit())
    }

    /// The commands, with each variable's earlier name in place of the new one where only that is set.
    fn with_earlier_variables() -> clap::Command {
        Cli::command().mut_subcommand("serve", |mut serve| {
            for (option, variable, earlier) in EARLIER_VARIABLES {
                let is_set = |name| std::env::var_os(name).is_some();
                if !is_set(variable) && is_set(earlier) {
                    serve = serve.mut_arg(option, |arg| arg.env(earlier));
                }
            }
            serve
        })
    }
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
    /// Life of the leader's lease in the state service, in milliseconds; with the workers'
    /// lease it must fit into the time for a cancellation [default: 8000, or less where that needs it]
    #[arg(long, alias = "hold-ms", env = LEADER_LEASE_VARIABLE,
          value_parser = clap::value_parser!(u64).range(1000..=60_000))]
    pub leader_lease_ms: Option<u64>,
    /// A spot machine without work is returned after this long, in milliseconds; an ordinary one
    /// after a quarter of it
    #[arg(long, env = "ASPENREEL_IDLE_MS", default_value_t = 20_000,
          value_parser = clap::value_parser!(u64).range(1000..=86_400_000))]
    pub idle_ms: u64,
    /// Work that may use spot machines gets an ordinary one only if that saves it this long a
    /// wait, in milliseconds
    #[arg(long, alias = "dear-patience-ms", env = ON_DEMAND_PATIENCE_VARIABLE, default_value_t = 120_000,
          value_parser = clap::value_parser!(u64).range(0..=86_400_000))]
    pub on_demand_patience_ms: u64,
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
