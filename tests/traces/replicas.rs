//! Replicas of standing jobs: restarts, backoff, and loss of their machines.

use crate::trace::{LeaderTrace, at, one_team, submission};
use aspenreel::jobs::JobKind;
use aspenreel::workers::AttemptKey;
use insta::assert_snapshot;

/// Replicas of a standing job are started again whenever they exit, for whatever reason, and the job is never done.
/// If they exit soon after their start on one machine after another, restarts are delayed by an increasing backoff.
#[test]
fn replicas_are_restarted_until_their_job_is_cancelled() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| {
        s.kind = JobKind::Standing;
        s.tasks = 2;
    }));
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace
        .at(6.0)
        .heartbeat(
            "big-east-1",
            &["run-1/0#2.1 running", "run-1/1#2.2 running"],
        )
        .view("run-1");
    trace
        .at(60.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-1/1#2.2 running"])
        .write_round(true)
        .view("run-1");
    trace
        .at(63.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"]);
    trace
        .at(66.0)
        .heartbeat("big-east-1", &["run-1/0#2.3 error", "run-1/1#2.2 running"]);
    trace
        .at(69.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.at(70.0).write_round(true).view("run-1");
    assert_snapshot!(trace.log);
}

const MACHINES: [&str; 6] = [
    "big-east-1",
    "big-east-2",
    "big-east-3",
    "big-east-4",
    "big-east-5",
    "big-east-6",
];

/// Sends heartbeats of all machines but the silent ones. Each reports its attempts in the leader's state as running.
fn heartbeats_of_all_but(trace: &mut LeaderTrace, silent: &[&str]) {
    for name in MACHINES.iter().filter(|name| !silent.contains(name)) {
        let tasks: Vec<String> =
            trace
                .scheduler
                .machines
                .get(*name)
                .map_or(Vec::new(), |machine| {
                    let held = machine.attempts.keys();
                    let text = |key: &AttemptKey| {
                        let job = &trace.scheduler.jobs.table[&key.job].spec.id;
                        format!("{job}/{}#2.{} running", key.task, key.attempt & 0xffff_ffff)
                    };
                    held.map(text).collect()
                });
        let tasks: Vec<&str> = tasks.iter().map(String::as_str).collect();
        trace.heartbeat(name, &tasks);
    }
}

/// Names of the machines with attempts of this job.
fn machines_with(trace: &LeaderTrace, job: &str) -> Vec<String> {
    let id = trace.scheduler.jobs.find(job).unwrap();
    let machines = trace.scheduler.machines.values();
    let holding = machines.filter(|m| m.attempts.keys().any(|k| k.job == id));
    holding.map(|m| m.name.clone()).collect()
}

/// A machine with replicas that falls silent is returned after three missing reports. The cloud's answer proves that
/// the replicas are gone, so they start on other machines long before the lease expires. Silent machines with tasks
/// of arrays only are waited for; if more than a third of all machines is silent, none is returned.
#[test]
fn silent_machines_with_replicas_are_returned() {
    let mut trace = LeaderTrace::new(2, one_team());
    heartbeats_of_all_but(&mut trace, &[]);
    trace.job(submission("run-1", |s| {
        s.kind = JobKind::Standing;
        s.tasks = 1;
    }));
    trace.job(submission("run-2", |s| s.tasks = 12));
    trace.on_timer(1.0).bound();
    let replica_on = machines_with(&trace, "run-1");
    let array_only = machines_with(&trace, "run-2")
        .into_iter()
        .find(|m| *m != replica_on[0]);
    let silent = [replica_on[0].as_str(), array_only.as_deref().unwrap()];
    for k in 1..8 {
        trace.at(3.0 * f64::from(k));
        heartbeats_of_all_but(&mut trace, &[]);
    }
    let mut returned_at = Vec::new();
    for k in 0..5 {
        let now = 24.0 + 3.0 * f64::from(k);
        trace.at(now);
        heartbeats_of_all_but(&mut trace, &silent);
        let due = trace.scheduler.plan_scale_in(at(now + 1.0));
        assert!(!due.contains(&silent[1].to_string()), "{due:?}");
        if due.contains(&replica_on[0]) {
            returned_at.push(now + 1.0);
        }
    }
    // The last report before the silence was at 21 s.
    assert_eq!(returned_at, [31.0, 34.0, 37.0]);
    trace.scheduler.drop_gone_machines(&replica_on);
    trace.on_timer(38.0);
    assert_eq!(
        machines_with(&trace, "run-1").len(),
        1,
        "the replica runs on another machine"
    );

    // More than a third of the machines are silent at once: it is more likely that this controller is cut off.
    let again_on = machines_with(&trace, "run-1");
    let known = |name: &&&str| trace.scheduler.machines.contains_key(**name);
    let mut others = MACHINES.iter().filter(known).filter(|n| **n != again_on[0]);
    let half = [
        again_on[0].as_str(),
        others.next().unwrap(),
        others.next().unwrap(),
    ];
    for k in 0..5 {
        let now = 39.0 + 3.0 * f64::from(k);
        trace.at(now);
        heartbeats_of_all_but(&mut trace, &half);
        let due = trace.scheduler.plan_scale_in(at(now + 1.0));
        assert!(!due.contains(&again_on[0]), "{due:?}");
    }
}

/// Replicas that exit soon after their start on one machine after another are restarted with an increasing backoff.
/// A replica that runs long enough ends the backoff, which this test doesn't cover.
#[test]
fn replicas_that_fail_everywhere_back_off() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.job(submission("run-1", |s| {
        s.kind = JobKind::Standing;
        s.tasks = 1;
    }));
    let backoff = |trace: &LeaderTrace| {
        let job = trace.scheduler.jobs.get("run-1").unwrap();
        (job.retry_after - trace.now).as_secs_f64()
    };
    let mut backoffs = Vec::new();
    for k in 1..6u32 {
        let name = format!("big-east-{k}");
        let start = 100.0 * f64::from(k);
        trace.at(start).heartbeat(&name, &[]);
        trace.on_timer(start + 1.0);
        let key = trace.scheduler.machines[&name]
            .attempts
            .keys()
            .next()
            .copied();
        let attempt = key
            .expect("the replica starts on the machine that is up")
            .attempt;
        let ended = format!("run-1/0#2.{} done", attempt & 0xffff_ffff);
        trace.at(start + 3.0).heartbeat(&name, &[]);
        trace.at(start + 6.0).heartbeat(&name, &[&ended]);
        backoffs.push(backoff(&trace));
    }
    assert_eq!(backoffs, [0.0, 0.0, 2.0, 4.0, 8.0]);
}
