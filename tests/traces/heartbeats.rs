//! Late, copied and missing heartbeats.

use crate::trace::{World, at, one_team, submission};
use aspenreel::workers::direct::DirectResult;
use insta::assert_snapshot;

/// Late reports change nothing; one that a direct answer overtook is still answered.
#[test]
fn late_reports() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.tasks = 1));
    let overtaken = w.report("big-east-1", 2, 1, &[]);
    w.at(1.0).on_timer(1.0);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &["run-1/0#2.1 running"])));
    w.at(1.1).send(&overtaken).bound();
    w.at(2.0).heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    w.on_timer(30.0).bound();
    let after_lease = w.report("big-east-1", 2, 1, &["run-1/0#2.1 done"]);
    w.send(&after_lease).view("run-1");
    let next_session = w.report("big-east-1", 2, 2, &[]);
    w.at(31.0).send(&next_session).bound();
    let higher = w.report("big-east-1", 3, 2, &[]);
    w.at(32.0).send(&higher);
    assert_snapshot!(w.log);
}

/// A leader that most workers fall silent to stands down, but not while it falls behind itself: it
/// lost term after term to its own work, and each cost more than it had.
#[test]
fn a_slow_leader_keeps_its_term() {
    let silent = |overloaded: bool, at_seconds: f64| {
        let mut w = World::new(2, one_team());
        for n in 1..=4 {
            w.heartbeat(&format!("big-east-{n}"), &[]);
        }
        w.scheduler.overload.note(overloaded, at(4.0));
        w.scheduler.unheard(at(0.0), at(at_seconds))
    };
    assert!(!silent(false, 4.0), "nobody is silent yet");
    assert!(silent(false, 10.0));
    assert!(!silent(true, 10.0));
    // Once it has kept up for long enough, silence counts again.
    assert!(silent(true, 13.5));
}

/// Reports arrive, answers and orders don't: no new work, a replacement, a return if it lasts;
/// and a machine that hears again counts again.
#[test]
fn one_way_silence() {
    let mut w = World::new(2, one_team());
    w.scheduler.config.max_idle = aspenreel::time::Micros::from_secs(1000);
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.tasks = 2));
    w.on_timer(1.0);
    w.direct(|_| DirectResult::Unknown).bound();
    // Its lease runs out, and each session looks healthy.
    w.at(3.0).heartbeat("big-east-1", &[]);
    let next = w.report("big-east-1", 2, 2, &[]);
    w.at(21.0).send(&next).bound();
    w.direct(|_| DirectResult::Unknown);
    let next = w.report("big-east-1", 2, 2, &[]);
    w.at(33.0).list(&[("big-east-1", "running")]);
    w.send(&next).bound().rentals();
    w.at(36.0)
        .direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 2, &[])));
    w.on_timer(36.5).bound();
    // Another one never heals.
    w.at(50.0).heartbeat("small-west-1", &[]);
    for (t, agent_epoch) in [(75.0, 2), (100.0, 3), (125.0, 4)] {
        let next = w.report("small-west-1", 2, agent_epoch, &[]);
        w.at(t).send(&next);
        w.direct(|_| DirectResult::Unknown);
    }
    let due = w.scheduler.plan_scale_in(at(126.0));
    w.note(&format!("to return: {due:?}"));
    assert_snapshot!(w.log);
}

/// A start that an answer carried and the next report doesn't show was lost with the answer: it
/// starts elsewhere, and the machine is asked whether it hears.
#[test]
fn starts_that_never_show() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.tasks = 1));
    w.at(3.0).heartbeat("big-east-1", &[]).bound();
    w.at(6.0).heartbeat("big-east-1", &[]).bound();
    w.heartbeat("big-east-2", &[]).bound();
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &[])));
    w.at(9.0).heartbeat("big-east-2", &["run-1/0#2.2 running"]);
    assert_snapshot!(w.log);
}

/// Copies of reports, from seconds old to older than a lease: they renew nothing, get no orders,
/// bind and free nothing, and bring no machine back.
#[test]
fn late_copies() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.tasks = 1));
    w.at(1.0).on_timer(1.0);
    let idle = w.report("big-east-1", 2, 1, &[]);
    w.at(3.0).send(&idle);
    let running = w.report("big-east-1", 2, 1, &["run-1/0#2.1 running"]);
    w.at(4.0).send(&running);
    w.at(9.0).send(&idle).bound();
    // Copies don't keep a silent machine's session alive.
    w.at(20.0).send(&running);
    w.on_timer(24.4).bound();
    w.on_timer(24.6).bound();
    w.at(40.0).send(&running).bound();
    // Its next session runs the task anew: a copy of the old one frees nothing.
    let next = w.report("big-east-1", 2, 2, &["run-1/0#2.2 running"]);
    w.at(41.0).send(&next).bound();
    w.at(42.0).send(&idle).send(&running).bound();
    // The machine is gone.
    w.scheduler.drop_gone_machines(&["big-east-1".into()]);
    w.at(60.0).send(&next).bound();
    assert_snapshot!(w.log);
}

/// A machine that reaches nobody still answers direct calls, while its sessions end one after the
/// other: its answers bring it no work. Stops go there all the same.
#[test]
fn a_mute_machine_gets_no_work() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.tasks = 1));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(4.0).heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    w.at(9.9);
    w.scheduler.request_cancellation("run-1", w.now);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &["run-1/0#2.1 stopped"])));
    w.at(10.2).job(submission("run-2", |s| s.tasks = 1));
    w.on_timer(10.5).direct(|_| DirectResult::Unknown).bound();
    w.at(12.0).heartbeat("big-east-1", &[]).bound();
    assert_snapshot!(w.log);
}
