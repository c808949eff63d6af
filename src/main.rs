//! The program `aspenreel`: runs a controller, or one of the commands for operators.

use aspenreel::cli::{Cli, Command, LinksOptions, RollbackOptions, ServeOptions};
use aspenreel::controller::{Controller, StartError};
use aspenreel::leadership::version_rollback::{RollbackError, allow_earlier_versions};
use aspenreel::link_health::command::{exit_code, links_json, links_table, request_link_reports};
use aspenreel::logging::{self, LoggingError};
use aspenreel::os::System;
use aspenreel::settings::{Settings, SettingsError};
use aspenreel::store::Store;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Exit code of a command that failed.
const FAILURE: u8 = 2;

/// The error of a failed command.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Logging(#[from] LoggingError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Rollback(#[from] RollbackError),
}

fn main() -> ExitCode {
    let result = match Cli::from_process().command {
        Command::Serve(options) => serve(options),
        Command::AllowEarlierVersions(options) => roll_back(&options),
        Command::Links(options) => show_links(&options),
    };
    result.unwrap_or_else(|error| {
        eprintln!("aspenreel: {error}");
        ExitCode::from(FAILURE)
    })
}

/// Runs a controller until the process is killed.
fn serve(options: ServeOptions) -> Result<ExitCode, CommandError> {
    let log_level = std::env::var("LOG_LEVEL").ok();
    logging::init(log_level.as_deref())?;
    let settings = Settings::load(&options.config)?;
    for warning in settings.settings.quota.warnings() {
        log::warn!("{warning}");
    }
    limit_malloc_arenas();
    let system = Arc::new(System::default());
    let controller = Controller::new(settings, options, system.clone())?;
    Arc::new(controller).run(system)?;
    Ok(ExitCode::SUCCESS)
}

/// Prints the link reports of all controllers.
fn show_links(options: &LinksOptions) -> Result<ExitCode, CommandError> {
    let settings = Settings::load(&options.config)?;
    let answers = request_link_reports(&settings, Duration::from_millis(options.timeout_ms));
    if options.json {
        println!("{}", links_json(&answers));
    } else {
        print!("{}", links_table(&answers));
    }
    Ok(exit_code(&answers))
}

/// Allows controllers of earlier versions to lead again.
fn roll_back(options: &RollbackOptions) -> Result<ExitCode, CommandError> {
    let settings = Settings::load(&options.config)?;
    let rate = settings.settings.state.strictest().rps;
    let store = Store::new(settings.endpoints.state, rate, Arc::new(System::default()));
    allow_earlier_versions(&store)?;
    println!("controllers of earlier versions may lead");
    Ok(ExitCode::SUCCESS)
}

/// Makes all threads share one malloc arena. Each further arena would need memory that small controllers don't have.
#[allow(unsafe_code)]
fn limit_malloc_arenas() {
    // SAFETY: mallopt only sets a parameter of the allocator, and no other threads have been started yet.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 1);
    }
}
