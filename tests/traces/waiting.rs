//! Every job starts in bounded time, though small and urgent work never ends.

use crate::trace::{ExecutingWorker, LeaderTrace, at, decimal, submission, team};
use aspenreel::jobs::Priority;
use std::collections::BTreeMap;

/// Endless small and urgent work, from `from` on, on a machine that it fills. Returns when the
/// jobs of `patient` began, by second; `over` carries running tasks into a next leader's term.
fn crowded(
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

fn patient(trace: &mut LeaderTrace) {
    trace.note("the patient ones:");
    trace.job(submission("run-1", |s| s.tasks = 5000));
    trace.job(submission("run-2", |s| s.priority = Priority::Low));
    trace.job(submission("run-3", |s| s.deadline_s = Some(decimal(1.0))));
    trace.job(submission("run-4", |s| s.cpus = decimal(32.0)));
    trace.job(submission("run-5", |s| s.team = "b".into()));
}

/// Waiting wins: a largest job, a low rank, a late job, a task that fills a machine and a small
/// team begin in bounded time, though small and urgent work never ends.
#[test]
fn waiting_wins() {
    let teams = vec![team("a", 100.0, 100.0), team("b", 0.0, 8.0)];
    let mut trace = LeaderTrace::new(2, teams);
    let mut worker = ExecutingWorker::new("big-east-1");
    let mut begun = BTreeMap::new();
    trace.run_worker(&mut worker, 0.0, &|_| 3.0, &mut begun);
    patient(&mut trace);
    crowded(&mut trace, &mut worker, &mut begun, 1..160);
    for id in ["run-1", "run-2", "run-3", "run-4", "run-5"] {
        let at = begun.get(id).copied().unwrap_or(f64::INFINITY);
        assert!((90.0..150.0).contains(&at), "{id} began at {at} s");
    }
    // The crowd asks for half more than there is, and most of it is served all the same.
    let crowd = begun.keys().filter(|id| id.len() > 5).count();
    assert!(crowd > 80, "{crowd} of 159 began");
}

/// The age of a job comes from its record: a failover doesn't make it wait anew.
#[test]
fn waiting_wins_through_a_takeover() {
    let mut trace = LeaderTrace::new(3, vec![team("a", 100.0, 100.0), team("b", 0.0, 8.0)]);
    trace.scheduler.wall_at_start = aspenreel::time::WallTime(85_000_000);
    let mut worker = ExecutingWorker::new("big-east-1");
    let mut begun = BTreeMap::new();
    trace.run_worker(&mut worker, 0.0, &|_| 3.0, &mut begun);
    // Accepted 85 s ago by the time of day.
    let old = submission("run-1", |s| s.tasks = 5000);
    let wall = aspenreel::time::WallTime(old.accepted_us + 85_000_000);
    trace.scheduler.add_job(&old, 50, at(0.0), wall);
    crowded(&mut trace, &mut worker, &mut begun, 1..40);
    let at = begun.get("run-1").copied().unwrap_or(f64::INFINITY);
    assert!((5.0..30.0).contains(&at), "run-1 began at {at} s");
}
