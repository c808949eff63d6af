//! Late, duplicated and missing heartbeats.

use crate::trace::{LeaderTrace, at, one_team, submission};
use aspenreel::workers::DirectResult;
use insta::assert_snapshot;

/// Late heartbeats change no state. One that was overtaken by the answer to a direct call still gets commands in
/// reply.
#[test]
fn late_heartbeats_change_no_state() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    let overtaken = trace.next_heartbeat("big-east-1", 2, 1, &[]);
    trace.at(1.0).on_timer(1.0);
    trace.direct_call(|trace| {
        DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &["run-1/0#2.1 running"]))
    });
    trace.at(1.1).send(&overtaken).bound();
    trace
        .at(2.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    trace.on_timer(30.0).bound();
    let after_lease = trace.next_heartbeat("big-east-1", 2, 1, &["run-1/0#2.1 done"]);
    trace.send(&after_lease).view("run-1");
    let next_epoch = trace.next_heartbeat("big-east-1", 2, 2, &[]);
    trace.at(31.0).send(&next_epoch).bound();
    let higher = trace.next_heartbeat("big-east-1", 3, 2, &[]);
    trace.at(32.0).send(&higher);
    assert_snapshot!(trace.log);
}

/// A leader from which most workers are cut off gives up its term, but not while it is overloaded itself. Without
/// this exception, an overload made leaders lose term after term, and each change of leader cost more than the
/// process had processor time for.
#[test]
fn overloaded_leader_does_not_count_as_cut_off_from_workers() {
    let silent = |overloaded: bool, at_seconds: f64| {
        let mut trace = LeaderTrace::new(2, one_team());
        for n in 1..=4 {
            trace.heartbeat(&format!("big-east-{n}"), &[]);
        }
        trace.scheduler.overload.note(overloaded, at(4.0));
        trace
            .scheduler
            .is_cut_off_from_workers(at(0.0), at(at_seconds))
    };
    assert!(!silent(false, 4.0), "nobody is silent yet");
    assert!(silent(false, 10.0));
    assert!(!silent(true, 10.0));
    // Once it has kept up for long enough, silence counts again.
    assert!(silent(true, 13.5));
}

/// The reports of a machine arrive, but replies and commands don't reach it. It gets no new tasks, another machine is
/// requested in its place, and if the state lasts, the machine is returned. If it answers a direct call again, it
/// gets tasks again.
#[test]
fn machine_that_commands_do_not_reach_is_replaced_and_returned() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.scheduler.config.max_idle = aspenreel::time::Micros::from_secs(1000);
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).job(submission("run-1", |s| s.tasks = 2));
    trace.on_timer(1.0);
    trace.direct_call(|_| DirectResult::OutcomeUnknown).bound();
    // The leases of the worker expire without a renewal, so its agent epochs end, but each one looks healthy in its
    // reports.
    trace.at(3.0).heartbeat("big-east-1", &[]);
    let next = trace.next_heartbeat("big-east-1", 2, 2, &[]);
    trace.at(21.0).send(&next).bound();
    trace.direct_call(|_| DirectResult::OutcomeUnknown);
    let next = trace.next_heartbeat("big-east-1", 2, 2, &[]);
    trace.at(33.0).list(&[("big-east-1", "running")]);
    trace.send(&next).bound().plan_scale_out();
    trace
        .at(36.0)
        .direct_call(|trace| DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 2, &[])));
    trace.on_timer(36.5).bound();
    // Another machine stays in this state.
    trace.at(50.0).heartbeat("small-west-1", &[]);
    for (t, agent_epoch) in [(75.0, 2), (100.0, 3), (125.0, 4)] {
        let next = trace.next_heartbeat("small-west-1", 2, agent_epoch, &[]);
        trace.at(t).send(&next);
        trace.direct_call(|_| DirectResult::OutcomeUnknown);
    }
    let due = trace.scheduler.plan_scale_in(at(126.0));
    trace.note(&format!("to return: {due:?}"));
    assert_snapshot!(trace.log);
}

/// A start was sent in a heartbeat reply, and the next report doesn't contain its task: the reply was lost. The task
/// starts on another machine, and a direct call probes whether the first machine can be reached.
#[test]
fn start_missing_from_the_next_report_moves_to_another_machine() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).job(submission("run-1", |s| s.tasks = 1));
    trace.at(3.0).heartbeat("big-east-1", &[]).bound();
    trace.at(6.0).heartbeat("big-east-1", &[]).bound();
    trace.heartbeat("big-east-2", &[]).bound();
    trace
        .direct_call(|trace| DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &[])));
    trace
        .at(9.0)
        .heartbeat("big-east-2", &["run-1/0#2.2 running"]);
    assert_snapshot!(trace.log);
}

/// Duplicates of reports, from seconds old to older than a lease, renew no lease, get no commands, bind and release
/// no tasks, and don't add a machine again that is gone.
#[test]
fn late_duplicates_renew_bind_and_release_nothing() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.at(1.0).on_timer(1.0);
    let idle = trace.next_heartbeat("big-east-1", 2, 1, &[]);
    trace.at(3.0).send(&idle);
    let running = trace.next_heartbeat("big-east-1", 2, 1, &["run-1/0#2.1 running"]);
    trace.at(4.0).send(&running);
    trace.at(9.0).send(&idle).bound();
    // Duplicates don't keep a silent machine's agent epoch alive.
    trace.at(20.0).send(&running);
    trace.on_timer(24.4).bound();
    trace.on_timer(24.6).bound();
    trace.at(40.0).send(&running).bound();
    // The machine's next agent epoch runs the task again: a duplicate from the old one doesn't release it.
    let next = trace.next_heartbeat("big-east-1", 2, 2, &["run-1/0#2.2 running"]);
    trace.at(41.0).send(&next).bound();
    trace.at(42.0).send(&idle).send(&running).bound();
    // The machine is gone.
    trace.scheduler.drop_gone_machines(&["big-east-1".into()]);
    trace.at(60.0).send(&next).bound();
    assert_snapshot!(trace.log);
}

/// A machine whose heartbeats don't arrive still answers direct calls, while its agent epochs end one after another.
/// These answers don't count as heartbeats, so the machine gets no starts, but stops are still sent to it.
#[test]
fn machine_without_heartbeats_gets_stops_but_no_starts() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace
        .at(4.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    trace.at(9.9);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.direct_call(|trace| {
        DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &["run-1/0#2.1 stopped"]))
    });
    trace.at(10.2).job(submission("run-2", |s| s.tasks = 1));
    trace
        .on_timer(10.5)
        .direct_call(|_| DirectResult::OutcomeUnknown)
        .bound();
    trace.at(12.0).heartbeat("big-east-1", &[]).bound();
    assert_snapshot!(trace.log);
}
