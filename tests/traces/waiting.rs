//! Every job starts in bounded time, even if small and urgent jobs keep arriving.

use crate::trace::{ExecutingWorker, LeaderTrace, at, decimal, submission, team};
use aspenreel::jobs::{JobKind, Priority};
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

/// Submits a job of the priority whose tasks each need 16 CPUs of the team's limit of 40, and lets it become overdue.
fn overdue_batch(trace: &mut LeaderTrace, seconds: u32) {
    trace.at(f64::from(seconds)).job(submission("run-2", |s| {
        s.tasks = 2;
        s.cpus = decimal(16.0);
        s.accepted_us = u64::from(seconds) * 1_000_000;
    }));
}

/// Guards against urgent jobs that wait without end behind an overdue job of their team, which its limit has no room
/// for: what the team's service uses doesn't become free, so nothing is withheld for the overdue job.
#[test]
fn urgent_jobs_start_beside_an_overdue_job_that_its_team_limit_cannot_serve() {
    let mut trace = LeaderTrace::new(2, vec![team("a", 32.0, 40.0)]);
    let mut workers = [
        ExecutingWorker::new("big-east-1"),
        ExecutingWorker::new("big-east-2"),
    ];
    let mut begun = BTreeMap::new();
    trace.job(submission("run-1", |s| {
        s.kind = JobKind::Standing;
        s.priority = Priority::Production;
        s.tasks = 15;
        s.cpus = decimal(2.0);
    }));
    overdue_batch(&mut trace, 2);
    for second in 0..220 {
        if second == 120 {
            trace.at(120.0).job(submission("run-3", |s| {
                s.tasks = 5;
                s.cpus = decimal(2.0);
                s.priority = Priority::High;
            }));
        }
        let run = |job: &str| if job == "run-1" { 1e9 } else { 3.0 };
        for worker in &mut workers {
            trace.run_worker(worker, f64::from(second), &run, &mut begun);
        }
    }
    let urgent = begun.get("run-3").copied().unwrap_or(f64::INFINITY);
    assert!(urgent < 125.0, "the urgent job began at {urgent} s");
    assert!(!begun.contains_key("run-2"), "the limit has no room");
}

/// Guards against an overdue job that starves at its team's limit: urgent jobs of the team keep arriving and use the
/// whole limit with small tasks, of which never enough end at once. It starts within four minutes, and most urgent jobs start, too.
#[test]
fn overdue_job_starts_at_its_team_limit_under_urgent_load() {
    let mut trace = LeaderTrace::new(2, vec![team("a", 32.0, 40.0)]);
    let mut workers = [
        ExecutingWorker::new("big-east-1"),
        ExecutingWorker::new("big-east-2"),
    ];
    let mut begun = BTreeMap::new();
    for second in 0..260 {
        trace.at(f64::from(second));
        if second == 20 {
            overdue_batch(&mut trace, 20);
        }
        trace.job(submission(&format!("run-{}", 1000 + second), |s| {
            s.tasks = 4;
            s.cpus = decimal(1.0);
            s.priority = Priority::High;
            s.estimate_s = decimal(12.0);
            s.accepted_us = u64::from(second as u32) * 1_000_000;
        }));
        // Jobs of three lengths, so that their tasks don't end together.
        let run = |job: &str| 11.0 + f64::from(job.bytes().last().unwrap_or(0) % 3);
        for worker in &mut workers {
            trace.run_worker(worker, f64::from(second), &run, &mut begun);
        }
    }
    let overdue = begun.get("run-2").copied().unwrap_or(f64::INFINITY);
    assert!(
        overdue < 20.0 + 240.0,
        "the overdue job began at {overdue} s"
    );
    let urgent = begun.keys().filter(|id| id.len() > 5).count();
    assert!(urgent > 120, "{urgent} of 260 began");
}
