//! Whole controllers, workers and users on simulated time, under combinations of faults (`docs/fault-combinations.md`).
//!
//! Each test fails if its assertions fail or if the simulation's checker finds a violated rule.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod behavior;
mod delayed_commands;
mod fault_combinations;
mod large;
mod links;
mod repeated_commands;
mod standing_jobs;
mod upgrades;

use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::{checker, drawn_faults};

/// Every job is done, and each task is started exactly once.
#[test]
fn jobs_complete_without_faults() {
    let summaries = run(3, &Setup::default(), |sim, _| {
        for i in 0..20 {
            let plan = checker::JobPlan::new(i, 1 + i % 5, 2.0, 10.0);
            sim.submit(5.0 + f64::from(i), plan);
        }
    });
    for summary in summaries {
        assert_eq!(
            (summary.done, summary.leaders, summary.starts),
            (20, 1, 60),
            "{summary:?}"
        );
    }
}

/// Faults of all kinds at random times, so that they coincide by chance.
#[test]
fn jobs_complete_under_random_faults() {
    for summary in run(24, &Setup::default(), drawn_faults::draw) {
        assert!(summary.done + summary.cancelled > 30, "{summary:?}");
    }
}
