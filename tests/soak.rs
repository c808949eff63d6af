//! Short soak runs with fixed seeds. Long runs are started by hand (`docs/operators/soak.md`).

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel_soak::run::{RunPlan, run};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Plan of a run without scarce resources.
fn plan(seed: u64) -> RunPlan {
    RunPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_aspenreel")),
        seed,
        workers: 12,
        fault_period: Duration::from_secs(20),
        is_scarce: false,
    }
}

/// Performs one soak run. No rule may be broken, and some jobs must be done and some cancelled: otherwise the run would
/// prove nothing.
fn soak(plan: RunPlan) {
    let seed = plan.seed;
    let report = run(&plan, &AtomicBool::new(false));
    assert_eq!(report.failures, Vec::<String>::new(), "seed {seed}");
    assert!(report.done > 0 && report.cancelled > 0, "{report:?}");
}

/// With this seed, commands are delayed while single directions of links are cut.
#[test]
fn no_rule_is_broken_with_delayed_commands_and_half_cut_links() {
    soak(plan(21));
}

/// With this seed, several leaders in a row are killed or paused while commands are delayed and single directions of
/// links are cut.
#[test]
fn no_rule_is_broken_when_successive_leaders_fail() {
    soak(plan(1));
}

/// With this seed, leaders are killed in series while controllers have few store requests and answer each other slowly.
#[test]
fn all_jobs_are_answered_after_faults_with_scarce_resources() {
    soak(RunPlan {
        is_scarce: true,
        ..plan(11)
    });
}
