//! Meetings of faults, brought about in a simulation of several controllers (`docs/meetings.md`).

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod behavior;
mod large;
mod links;
mod meetings;
mod orders;
mod services;
mod upgrades;

use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::{checker, drawn_faults};

/// Without any fault every job runs to its end, each task once.
#[test]
fn a_quiet_day() {
    let ends = run(3, &Setup::default(), |sim, _| {
        for i in 0..20 {
            let plan = checker::JobPlan::new(i, 1 + i % 5, 2.0, 10.0);
            sim.submit(5.0 + f64::from(i), plan);
        }
    });
    for end in ends {
        assert_eq!((end.done, end.leaders, end.starts), (20, 1, 60), "{end:?}");
    }
}

/// Whatever the seed draws: faults that meet by chance.
#[test]
fn any_troubles() {
    for end in run(24, &Setup::default(), drawn_faults::draw) {
        assert!(end.done + end.cancelled > 30, "{end:?}");
    }
}
