//! `aspenreel-soak`: runs soak runs and tells how each ended.

use aspenreel_soak::run::{RunPlan, RunReport, is_good, run};
use aspenreel_soak::schedule::Schedule;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Runs real controllers under random faults, checked from outside. Leases and delays are scaled: a worker's
/// lease takes 4 s, a cancellation 8 s. The workers and their machines are simulated.
#[derive(Debug, Parser)]
struct Options {
    /// The controllers' program
    #[arg(long, default_value = "target/release/aspenreel")]
    program: PathBuf,
    /// The first seed; a failing run is played again with its seed and `--runs 1`
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Workers that the jobs need at most, about
    #[arg(long, default_value_t = 12)]
    workers: u32,
    /// For so many seconds faults begin
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Print the faults of each seed instead of playing them
    #[arg(long)]
    schedules: bool,
}

/// Broken rules that are told of one run.
const MAX_LINES: usize = 12;

fn main() -> ExitCode {
    let options = Options::parse();
    let stop = Arc::new(AtomicBool::new(false));
    let asked = stop.clone();
    if let Err(e) = ctrlc::set_handler(move || asked.store(true, Ordering::Relaxed)) {
        eprintln!("signals are not handled: {e}");
    }
    if options.schedules {
        for seed in options.seed..options.seed + options.runs {
            let length = Duration::from_secs(options.seconds);
            println!("seed {seed}:\n{}", Schedule::draw(seed, length));
        }
        return ExitCode::SUCCESS;
    }
    if !options.program.is_file() {
        eprintln!("--program {}: no such file", options.program.display());
        return ExitCode::from(2);
    }
    let mut bad = 0;
    let mut played = 0;
    for seed in options.seed..options.seed + options.runs {
        let plan = RunPlan {
            program: options.program.clone(),
            seed,
            workers: options.workers,
            fault_period: Duration::from_secs(options.seconds),
        };
        let report = run(&plan, &stop);
        played += 1;
        tell(seed, &report);
        if report.is_partial {
            println!(
                "stopped: {played} of {} runs played, the last in part",
                options.runs
            );
            return ExitCode::from(3);
        }
        if !is_good(&report) {
            bad += 1;
            println!(
                "the schedule of seed {seed}:\n{}",
                Schedule::draw(seed, plan.fault_period)
            );
        }
    }
    println!("{played} runs, {bad} with something broken");
    ExitCode::from(u8::from(bad > 0))
}

fn tell(seed: u64, report: &RunReport) {
    println!(
        "seed {seed}: {} machines, {} starts, {} jobs done, {} cancelled, {} broken, {} s",
        report.machines,
        report.starts,
        report.done,
        report.cancelled,
        report.failures.len(),
        report.seconds
    );
    for line in report.failures.iter().take(MAX_LINES) {
        println!("  {line}");
    }
    if report.failures.len() > MAX_LINES {
        println!("  and {} more", report.failures.len() - MAX_LINES);
    }
}
