//! Each invariant that is checked while the service runs has a case, made by hand, in which it fires.
//!
//! Violations are counted for the process, so this is a program of its own.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "common/trace.rs"]
#[allow(dead_code)]
mod trace;

use aspenreel::invariants::violation_count;
use aspenreel::time::Micros;
use aspenreel::workers::DirectResult;
use trace::{LeaderTrace, submission, team};

fn trace() -> LeaderTrace {
    LeaderTrace::new(2, vec![team("a", 64.0, 64.0)])
}

/// A worker shows a running task that this leader decided on, of a job that it has let go.
fn a_task_of_a_retired_job() {
    let mut trace = trace();
    trace.heartbeat("big-east-1", &[]);
    trace
        .at(30.0)
        .heartbeat("big-east-1", &["run-9/0#2.7 running"]);
}

/// A start is cleared, in a trace that no worker would play, and shows up after its cancellation's time.
fn a_late_start() {
    let mut trace = trace();
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace
        .at(60.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 running"]);
}

/// The time for a cancellation is shorter than a lease, which settings can't be.
fn a_start_that_is_not_revoked() {
    let mut trace = trace();
    trace.raises_tokens = false;
    trace.scheduler.config.cancellation_bound = Micros::from_secs(5);
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace
        .on_timer(1.0)
        .direct_call(|_| DirectResult::OutcomeUnknown);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.on_timer(7.0);
}

#[test]
fn each_invariant_fires() {
    let cases = [
        a_task_of_a_retired_job,
        a_late_start,
        a_start_that_is_not_revoked,
    ];
    for (number, case) in cases.iter().enumerate() {
        let before = violation_count();
        case();
        assert_eq!(violation_count(), before + 1, "case {number}");
    }
}
