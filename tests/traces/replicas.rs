//! Replicas of standing jobs run again.

use crate::trace::{World, at, one_team, submission};
use aspenreel::jobs::JobKind;
use insta::assert_snapshot;

/// Replicas of a standing job run again when they end, whatever the end; the job is never done. Those
/// that end soon after their start on one machine after the other wait longer and longer.
#[test]
fn replicas_run_again() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| {
        s.kind = JobKind::Standing;
        s.tasks = 2;
    }));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0)
        .heartbeat(
            "big-east-1",
            &["run-1/0#2.1 running", "run-1/1#2.2 running"],
        )
        .view("run-1");
    w.at(60.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-1/1#2.2 running"])
        .round(true)
        .view("run-1");
    w.at(63.0).heartbeat("big-east-1", &["run-1/1#2.2 running"]);
    w.at(66.0)
        .heartbeat("big-east-1", &["run-1/0#2.3 error", "run-1/1#2.2 running"]);
    w.at(69.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    w.scheduler.request_cancellation("run-1", w.now);
    w.at(70.0).round(true).view("run-1");
    assert_snapshot!(w.log);
}

/// A machine with replicas that falls silent is returned after three reports that didn't come: the answer
/// proves that the replicas are gone, and they run elsewhere long before the lease is over. Machines with
/// arrays alone are waited for; and where more than a third is silent, all are.
#[test]
fn silent_machines_with_replicas_are_returned() {
    let mut w = World::new(2, one_team());
    let names = [
        "big-east-1",
        "big-east-2",
        "big-east-3",
        "big-east-4",
        "big-east-5",
        "big-east-6",
    ];
    let all_but = |w: &mut World, silent: &[&str]| {
        for name in names.iter().filter(|name| !silent.contains(name)) {
            let tasks: Vec<String> = w.scheduler.machines.get(*name).map_or(Vec::new(), |m| {
                let held = m.attempts.keys();
                let text = |k: &(_, u32, u64)| {
                    let job = &w.scheduler.jobs.table[&k.0].spec.id;
                    format!("{job}/{}#2.{} running", k.1, k.2 & 0xffff_ffff)
                };
                held.map(text).collect()
            });
            let tasks: Vec<&str> = tasks.iter().map(String::as_str).collect();
            w.heartbeat(name, &tasks);
        }
    };
    all_but(&mut w, &[]);
    w.job(submission("run-1", |s| {
        s.kind = JobKind::Standing;
        s.tasks = 1;
    }));
    w.job(submission("run-2", |s| s.tasks = 12));
    w.on_timer(1.0).bound();
    let holds = |w: &World, job: &str| -> Vec<String> {
        let id = w.scheduler.jobs.find(job).unwrap();
        let machines = w.scheduler.machines.values();
        let holding = machines.filter(|m| m.attempts.keys().any(|k| k.0 == id));
        holding.map(|m| m.name.clone()).collect()
    };
    let replica_on = holds(&w, "run-1");
    let array_only = holds(&w, "run-2").into_iter().find(|m| *m != replica_on[0]);
    let silent = [replica_on[0].as_str(), array_only.as_deref().unwrap()];
    for k in 1..8 {
        w.at(3.0 * f64::from(k));
        all_but(&mut w, &[]);
    }
    let mut returned_at = Vec::new();
    for k in 0..5 {
        let now = 24.0 + 3.0 * f64::from(k);
        w.at(now);
        all_but(&mut w, &silent);
        let due = w.scheduler.plan_scale_in(at(now + 1.0));
        assert!(!due.contains(&silent[1].to_string()), "{due:?}");
        if due.contains(&replica_on[0]) {
            returned_at.push(now + 1.0);
        }
    }
    // Silent since 21 s.
    assert_eq!(returned_at, [31.0, 34.0, 37.0]);
    w.scheduler.drop_gone_machines(&replica_on);
    w.on_timer(38.0);
    assert_eq!(holds(&w, "run-1").len(), 1, "it runs elsewhere");

    // Half are silent at once: it is rather this node that is cut off.
    let again_on = holds(&w, "run-1");
    let known = |name: &&&str| w.scheduler.machines.contains_key(**name);
    let mut others = names.iter().filter(known).filter(|n| **n != again_on[0]);
    let half = [
        again_on[0].as_str(),
        others.next().unwrap(),
        others.next().unwrap(),
    ];
    for k in 0..5 {
        let now = 39.0 + 3.0 * f64::from(k);
        w.at(now);
        all_but(&mut w, &half);
        let due = w.scheduler.plan_scale_in(at(now + 1.0));
        assert!(!due.contains(&again_on[0]), "{due:?}");
    }
}

/// Replicas that end soon after their start, on one machine after the other, are tried less and less
/// often; one that lasts ends the wait.
#[test]
fn replicas_that_fail_everywhere_back_off() {
    let mut w = World::new(2, one_team());
    w.job(submission("run-1", |s| {
        s.kind = JobKind::Standing;
        s.tasks = 1;
    }));
    let wait = |w: &World| {
        let job = w.scheduler.jobs.get("run-1").unwrap();
        (job.retry_after - w.now).as_secs_f64()
    };
    let mut waits = Vec::new();
    for k in 1..6u32 {
        let name = format!("big-east-{k}");
        let start = 100.0 * f64::from(k);
        w.at(start).heartbeat(&name, &[]);
        w.on_timer(start + 1.0);
        let attempt = w.scheduler.machines[&name].attempts.keys().next().copied();
        let (_, _, attempt) = attempt.expect("it is tried on the machine that is there");
        let ended = format!("run-1/0#2.{} done", attempt & 0xffff_ffff);
        w.at(start + 3.0).heartbeat(&name, &[]);
        w.at(start + 6.0).heartbeat(&name, &[&ended]);
        waits.push(wait(&w));
    }
    assert_eq!(waits, [0.0, 0.0, 2.0, 4.0, 8.0]);
}
