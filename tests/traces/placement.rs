//! Which task starts where, and which one is preempted for it.

use crate::trace::{LeaderTrace, decimal, one_team, submission, team};
use aspenreel::jobs::Priority;
use insta::assert_snapshot;

/// `spread`: at most half of the tasks, rounded up, in a zone. `samePlace`: all in one.
#[test]
fn zones() {
    let mut trace = LeaderTrace::new(2, one_team());
    for name in ["big-east-1", "small-west-1", "small-west-2"] {
        trace.heartbeat(name, &[]);
    }
    trace.job(submission("run-1", |s| {
        s.tasks = 5;
        s.spread = true;
    }));
    trace.job(submission("run-2", |s| {
        s.tasks = 4;
        s.same_zone = true;
    }));
    trace.on_timer(1.0).bound();
    assert_snapshot!(trace.log);
}

/// Ranks stop lower ranks; guarantees take back what was lent, but never from a higher rank.
#[test]
fn preemption() {
    let teams = vec![team("a", 0.0, 100.0), team("b", 16.0, 100.0)];
    let mut trace = LeaderTrace::new(2, teams);
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| {
        s.tasks = 4;
        s.cpus = decimal(8.0);
    }));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    let running = [
        "run-1/0#2.1 running",
        "run-1/1#2.2 running",
        "run-1/2#2.3 running",
        "run-1/3#2.4 running",
    ];
    trace.at(2.0).heartbeat("big-east-1", &running);
    trace.at(5.0).job(submission("run-2", |s| {
        s.team = "b".into();
        s.tasks = 1;
        s.cpus = decimal(16.0);
    }));
    trace.at(5.1).heartbeat("big-east-1", &running);
    let left = ["run-1/2#2.3 running", "run-1/3#2.4 running"];
    trace.at(6.0).heartbeat("big-east-1", &left);
    let both = [
        "run-1/2#2.3 running",
        "run-1/3#2.4 running",
        "run-2/0#2.5 running",
    ];
    trace.at(8.0).heartbeat("big-east-1", &both);
    trace.job(submission("run-3", |s| {
        s.tasks = 3;
        s.cpus = decimal(8.0);
        s.priority = Priority::High;
    }));
    trace.at(9.0).heartbeat("big-east-1", &both);
    assert_snapshot!(trace.log);
}

/// A task that fails everywhere waits longer and longer; one bad machine is left alone.
#[test]
fn failures() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.job(submission("run-2", |s| s.tasks = 1));
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace
        .at(2.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 error", "run-2/0#2.2 error"]);
    let faulty = trace.scheduler.machines["big-east-1"].faulty;
    trace.note(&format!("big-east-1 faulty: {faulty}"));
    for (i, t) in [(2, 3.0), (3, 5.0), (4, 7.0)] {
        let name = format!("big-east-{i}");
        trace.at(t).heartbeat(&name, &[]);
        trace.at(t + 0.5).heartbeat(&name, &[]);
    }
    assert_snapshot!(trace.log);
}

/// A first task that is stopped soon after its start doesn't count: its job waits on, and what
/// starts once it has waited too long isn't stopped for others.
#[test]
fn what_was_stopped_at_once_has_not_begun() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("small-east-1", &[]);
    trace.job(submission("run-1", |s| {
        s.tasks = 2;
        s.cpus = decimal(8.0);
    }));
    trace.at(3.0).heartbeat("small-east-1", &[]);
    trace
        .at(6.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 running"]);
    for n in 2..60 {
        trace.job(submission(&format!("run-{n}"), |s| {
            s.tasks = 1;
            s.cpus = decimal(8.0);
            s.priority = Priority::High;
        }));
    }
    trace
        .at(9.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 running"]);
    trace
        .at(12.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 stopped"]);
    let begun = |trace: &LeaderTrace| trace.scheduler.jobs.get("run-1").unwrap().has_begun();
    let early = begun(&trace);
    trace.note(&format!("run-1 has begun: {early}"));
    trace
        .at(95.0)
        .heartbeat("small-east-1", &["run-2/0#2.2 done"])
        .bound();
    let task = "run-1/0#2.3 running";
    trace.at(98.0).heartbeat("small-east-1", &[task]).bound();
    trace.at(120.0).heartbeat("small-east-1", &[task]);
    trace.at(130.0).heartbeat("small-east-1", &[task]).bound();
    let late = begun(&trace);
    trace.note(&format!("run-1 has begun: {late}"));
    assert_snapshot!(trace.log);
}

/// A task that needs a whole machine stops nothing where it would not get one: what is stopped in vain
/// starts again in the room that it left, and was stopped again, thousands of times in a row.
#[test]
fn nothing_is_stopped_in_vain() {
    let mut trace = LeaderTrace::new(2, one_team());
    for name in ["small-east-1", "small-east-2"] {
        trace.heartbeat(name, &[]);
    }
    // Each machine has a task that can't be stopped for it, and one that could.
    trace.job(submission("run-1", |s| s.priority = Priority::High));
    trace.at(1.0).heartbeat("small-east-1", &[]);
    trace.heartbeat("small-east-2", &[]);
    trace.job(submission("run-2", |s| s.priority = Priority::Low));
    trace
        .at(2.0)
        .heartbeat("small-east-1", &["run-1/1#2.2 running"]);
    trace.heartbeat("small-east-2", &["run-1/0#2.1 running"]);
    trace.at(2.1).bound();
    trace.job(submission("run-3", |s| {
        s.tasks = 1;
        s.cpus = decimal(8.0);
        s.priority = Priority::High;
    }));
    trace.on_timer(3.0).bound();
    let both = [
        (
            "small-east-1",
            ["run-1/1#2.2 running", "run-2/1#2.4 running"],
        ),
        (
            "small-east-2",
            ["run-1/0#2.1 running", "run-2/0#2.3 running"],
        ),
    ];
    for (name, tasks) in both {
        trace.at(4.0).heartbeat(name, &tasks);
    }
    trace.at(4.1).bound();
    assert_snapshot!(trace.log);
}
