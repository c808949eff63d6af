//! Every job starts in bounded time, even if small and urgent jobs keep arriving.

use crate::trace::{ExecutingWorker, LeaderTrace, at, decimal, submission, team};
use aspenreel::jobs::Priority;
use std::collections::BTreeMap;

/// Submits a small and urgent job in each of these seconds, which together ask for more than the machine has, and
/// lets the worker run for that time. `begun` gets the second at which each job starts first.
fn run_under_urgent_load(
    trace: &mut LeaderTrace,
    worker: &mut ExecutingWorker,
    begun: &mut BTreeMap<String, f64>,
    seconds: std::ops::Range<u32>,
) {
    for second in seconds {
        let t = f64::from(second);
        trace.now = at(t);
        trace.job(submission(&format!("run-{}", 1000 + second), |s| {
            s.tasks = 4;
            s.priority = Priority::High;
            s.estimate_s = decimal(3.0);
            s.deadline_s = Some(decimal(20.0));
            s.accepted_us = (t * 1e6) as u64;
        }));
        trace.run_worker(worker, t, &|_| 3.0, begun);
    }
}

/// Submits jobs that the queue order puts after small and urgent ones, each for another reason.
fn submit_disadvantaged_jobs(trace: &mut LeaderTrace) {
    trace.note("jobs that go after small and urgent ones:");
    trace.job(submission("run-1", |s| s.tasks = 5000));
    trace.job(submission("run-2", |s| s.priority = Priority::Low));
    trace.job(submission("run-3", |s| s.deadline_s = Some(decimal(1.0))));
    trace.job(submission("run-4", |s| s.cpus = decimal(32.0)));
    trace.job(submission("run-5", |s| s.team = "b".into()));
}

/// A large job, one of low priority, one past its deadline, one whose tasks fill a machine and one of a team with a
/// small quota start in bounded time, even if small and urgent jobs keep arriving.
#[test]
fn long_waiting_jobs_start_in_bounded_time_under_urgent_load() {
    let teams = vec![team("a", 100.0, 100.0), team("b", 0.0, 8.0)];
    let mut trace = LeaderTrace::new(2, teams);
    let mut worker = ExecutingWorker::new("big-east-1");
    let mut begun = BTreeMap::new();
    trace.run_worker(&mut worker, 0.0, &|_| 3.0, &mut begun);
    submit_disadvantaged_jobs(&mut trace);
    run_under_urgent_load(&mut trace, &mut worker, &mut begun, 1..160);
    for id in ["run-1", "run-2", "run-3", "run-4", "run-5"] {
        let at = begun.get(id).copied().unwrap_or(f64::INFINITY);
        assert!((90.0..150.0).contains(&at), "{id} began at {at} s");
    }
    // The urgent jobs ask for 1.5 times the machine's capacity, and most of them start nevertheless.
    let urgent = begun.keys().filter(|id| id.len() > 5).count();
    assert!(urgent > 80, "{urgent} of 159 began");
}

/// The age of a job comes from its stored record, so its waiting time isn't reset by a failover.
#[test]
fn waiting_time_is_kept_across_a_failover() {
    let mut trace = LeaderTrace::new(3, vec![team("a", 100.0, 100.0), team("b", 0.0, 8.0)]);
    trace.scheduler.wall_at_start = aspenreel::time::WallTime(85_000_000);
    let mut worker = ExecutingWorker::new("big-east-1");
    let mut begun = BTreeMap::new();
    trace.run_worker(&mut worker, 0.0, &|_| 3.0, &mut begun);
    // The job was accepted 85 s ago by wall-clock time.
    let old = submission("run-1", |s| s.tasks = 5000);
    let wall = aspenreel::time::WallTime(old.accepted_us + 85_000_000);
    trace.scheduler.add_job(&old, 50, at(0.0), wall);
    run_under_urgent_load(&mut trace, &mut worker, &mut begun, 1..40);
    let at = begun.get("run-1").copied().unwrap_or(f64::INFINITY);
    assert!((5.0..30.0).contains(&at), "run-1 began at {at} s");
}
