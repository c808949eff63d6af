//! The invariants that are checked at run time: for each one a constructed case in which it is violated.
//!
//! Violations are counted per process, so these cases need a test program of their own.

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

/// A worker reports a running task that this leader started, of a job that the leader has retired.
fn report_task_of_a_retired_job() {
    let mut trace = trace();
    trace.heartbeat("big-east-1", &[]);
    trace
        .at(30.0)
        .heartbeat("big-east-1", &["run-9/0#2.7 running"]);
}

/// A start of a cancelled job is cleared, but its task is reported as running after the time limit of the
/// cancellation. No real worker would produce this trace.
fn report_start_after_the_cancellation_bound() {
    let mut trace = trace();
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace
        .at(60.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 running"]);
}

/// The time limit of a cancellation is shorter than a worker's lease, so that an unconfirmed start isn't revoked in
/// time. Settings don't allow this.
fn leave_start_of_a_cancelled_job_unrevoked() {
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
fn violations_of_each_invariant_are_counted() {
    let cases = [
        report_task_of_a_retired_job,
        report_start_after_the_cancellation_bound,
        leave_start_of_a_cancelled_job_unrevoked,
    ];
    for (number, case) in cases.iter().enumerate() {
        let before = violation_count();
        case();
        assert_eq!(violation_count(), before + 1, "case {number}");
    }
}
