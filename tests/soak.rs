//! Short soak runs with fixed seeds. Long ones are started by hand (`docs/operators/soak.md`).

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel_soak::run::{RunPlan, run};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Runs one run; the rules must be kept, and enough must happen to tell.
fn soak(seed: u64) {
    let plan = RunPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_aspenreel")),
        seed,
        workers: 12,
        fault_period: Duration::from_secs(20),
    };
    let report = run(&plan, &AtomicBool::new(false));
    assert_eq!(report.failures, Vec::<String>::new(), "seed {seed}");
    assert!(report.done > 0 && report.cancelled > 0, "{report:?}");
}

/// Commands are held back while single ways are cut.
#[test]
fn held_orders_and_cut_ways() {
    soak(21);
}

/// Leaders end in series or stand still while commands are held back and ways are cut.
#[test]
fn leaders_in_series() {
    soak(1);
}
