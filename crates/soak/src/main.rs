//! `aspenreel-soak`: executes soak runs and prints the result of each.

use aspenreel_soak::run::{RunPlan, RunReport, has_passed, run};
use aspenreel_soak::schedule::Schedule;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Runs real controllers under random faults and checks the service rules from outside. Leases and delays are
/// scaled: a worker lease takes 4 s, a cancellation 8 s. The workers and their machines are simulated.
#[derive(Debug, Parser)]
struct Options {
    /// Program of the controllers
    #[arg(long, default_value = "target/release/aspenreel")]
    program: PathBuf,
    /// Seed of the first run; repeat a failed run with its seed and `--runs 1`
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, with consecutive seeds
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Approximate maximum number of workers that the jobs need
    #[arg(long, default_value_t = 12)]
    workers: u32,
    /// Length of the period in which faults begin, in seconds
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Run with few connections and store requests, slow answers between controllers, and many status requests
    #[arg(long)]
    scarce: bool,
    /// Print the faults of each seed instead of running them
    #[arg(long)]
    schedules: bool,
}

/// Maximum number of failures printed for one run.
const MAX_LINES: usize = 12;

fn main() -> ExitCode {
    let options = Options::parse();
    let stop = Arc::new(AtomicBool::new(false));
    let stop_requested = stop.clone();
    if let Err(e) = ctrlc::set_handler(move || stop_requested.store(true, Ordering::Relaxed)) {
        eprintln!("cannot install the signal handler: {e}");
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
    let mut failed = 0;
    let mut executed = 0;
    for seed in options.seed..options.seed + options.runs {
        let plan = RunPlan {
            program: options.program.clone(),
            seed,
            workers: options.workers,
            fault_period: Duration::from_secs(options.seconds),
            is_scarce: options.scarce,
        };
        let report = run(&plan, &stop);
        executed += 1;
        print_report(seed, &report);
        if report.is_partial {
            println!(
                "stopped: {executed} of {} runs executed, the last one in part",
                options.runs
            );
            return ExitCode::from(3);
        }
        if !has_passed(&report) {
            failed += 1;
            println!(
                "fault schedule of seed {seed}:\n{}",
                Schedule::draw(seed, plan.fault_period)
            );
        }
    }
    println!("{executed} runs, {failed} failed");
    ExitCode::from(u8::from(failed > 0))
}

fn print_report(seed: u64, report: &RunReport) {
    println!(
        "seed {seed}: {} machines, {} starts, {} jobs done, {} cancelled, {} failures, {} s",
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
