use aspenreel::cli::{Cli, Command, LinksOptions, RollbackOptions, ServeOptions};
use aspenreel::controller::Controller;
use aspenreel::leadership::rollback::allow_earlier_versions;
use aspenreel::link_health::command::{ask_for_links, exit_code, links_json, links_table};
use aspenreel::os::System;
use aspenreel::settings::Settings;
use aspenreel::state_store::Store;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

fn main() -> ExitCode {
    let result = match Cli::from_process().command {
        Command::Serve(options) => serve(options),
        Command::AllowEarlierVersions(options) => roll_back(options),
        Command::Links(options) => return show_links(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("aspenreel: {e}");
            ExitCode::from(2)
        }
    }
}

fn serve(options: ServeOptions) -> Result<(), String> {
    let level = std::env::var("LOG_LEVEL").ok();
    aspenreel::logging::init(level.as_deref()).map_err(|e| e.to_string())?;
    let settings = Settings::load(&options.config).map_err(|e| e.to_string())?;
    for warning in settings.settings.quota.warnings() {
        log::warn!("{warning}");
    }
    few_arenas();
    let system = Arc::new(System::default());
    let node = Controller::new(settings, options, system.clone()).map_err(|e| e.to_string())?;
    let node = Arc::new(node);
    node.run(system).map_err(|e| format!("cannot listen: {e}"))
}

fn show_links(options: &LinksOptions) -> ExitCode {
    let settings = match Settings::load(&options.config) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("aspenreel: {e}");
            return ExitCode::from(2);
        }
    };
    let answers = ask_for_links(&settings, Duration::from_millis(options.timeout_ms));
    match options.json {
        true => println!("{}", links_json(&answers)),
        false => print!("{}", links_table(&answers)),
    }
    exit_code(&answers)
}

fn roll_back(options: RollbackOptions) -> Result<(), String> {
    let settings = Settings::load(&options.config).map_err(|e| e.to_string())?;
    let rate = settings.settings.state.strictest().rps;
    let store = Store::new(settings.endpoints.state, rate, Arc::new(System::default()));
    allow_earlier_versions(&store).map_err(|e| e.to_string())?;
    println!("controllers of earlier versions may lead");
    Ok(())
}

/// One malloc arena for all threads: each further one would cost memory that small
/// controllers don't have. The only unsafe call of the program.
#[allow(unsafe_code)]
fn few_arenas() {
    // SAFETY: mallopt only sets a parameter of the allocator, before threads are started.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 1);
    }
}
