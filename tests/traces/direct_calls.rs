//! Starts that go straight to a machine, and what has to be on record before them.

use crate::trace::{World, at, decimal, one_team, submission};
use aspenreel::workers::direct::DirectResult;
use insta::assert_snapshot;

/// A start without an answer may arrive at any time: its task stays bound, and the attempt is
/// never cleared while the session lasts, since a start after `clear` would run it again.
#[test]
fn unanswered_direct_start() {
    let mut w = World::new(2, one_team());
    // Else the start would be fenced off, and could not show up any more.
    w.raises_tokens = false;
    w.heartbeat("big-east-1", &[]);
    w.heartbeat("big-east-2", &[]);
    w.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    w.on_timer(1.0).direct(|_| DirectResult::Unknown).bound();
    let name = w
        .scheduler
        .machines
        .values()
        .find(|m| m.busy())
        .map(|m| m.name.clone())
        .unwrap();
    w.scheduler.request_cancellation("run-1", w.now);
    w.round(true).view("run-1");
    w.at(3.0).heartbeat(&name, &[]);
    w.at(6.0).heartbeat(&name, &[]).bound();
    w.at(7.0)
        .heartbeat(&name, &["run-1/0#2.1 stopped"])
        .round(true);
    w.at(9.0).heartbeat(&name, &["run-1/0#2.1 stopped"]).bound();
    let next_session = w.report(&name, 2, 2, &[]);
    w.at(40.0).send(&next_session).round(true);
    assert_snapshot!(w.log);
}

/// A start lost with its answer goes out again; one no longer wanted is dropped, by proof.
#[test]
fn lost_answers() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.tasks = 2));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    w.scheduler.request_cancellation("run-1", w.now);
    w.round(true);
    w.at(9.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    w.at(10.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 stopped"])
        .bound();
    assert_snapshot!(w.log);
}

/// A task starts only once its job's claim is recorded, and only on a recorded machine.
#[test]
fn no_start_before_the_record() {
    let mut w = World::new(2, one_team());
    let first = w.report("big-east-1", 2, 1, &[]);
    w.scheduler.heartbeat(&first, at(0.0));
    w.at(1.0).job(submission("run-1", |s| s.tasks = 9));
    w.scheduler.on_timer(at(1.0));
    w.bound();
    for write in w.scheduler.pending_registry_writes(false) {
        w.scheduler.apply_written(&write, 7);
    }
    w.scheduler.on_timer(at(1.01));
    w.bound().direct(|_| unreachable!());
    let start_watermarks = w.scheduler.pending_watermark_writes();
    for write in &start_watermarks {
        w.note(&format!("to be written: {:?}", write.kind));
    }
    // The page changes while it is being written: it stays due, over its own revision.
    w.job(submission("run-2", |s| s.tasks = 1));
    w.scheduler.on_timer(at(1.02));
    w.scheduler.apply_written(&start_watermarks[0], 8);
    for write in w.scheduler.pending_watermark_writes() {
        w.note(&format!("to be written: {:?}", write.kind));
    }
    w.at(1.1)
        .direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &["run-1/0#2.1 running"])));
    assert_snapshot!(w.log);
}

/// A machine that refuses connections isn't called again and again; what was to start there starts
/// elsewhere at once, and not when its lease is over.
#[test]
fn unreached_machines() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.tasks = 2));
    w.scheduler.run_placement_pass(at(1.0));
    w.record_fleet();
    w.bound().direct(|_| DirectResult::Unreached);
    w.bound().direct(|_| unreachable!());
    // Another machine takes them; the first is asked again once it reports.
    w.at(2.0).heartbeat("big-east-2", &[]).bound();
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &[])));
    w.at(3.1)
        .direct(|_| DirectResult::Unsent)
        .direct(|_| unreachable!());
    assert_snapshot!(w.log);
}

/// A job that spreads over many machines doesn't call all of them at once: on a small share of a
/// core their answers would queue, and users' requests behind them. Calls that get no answer hold
/// up the others only for a moment, and while timers fire late none is made: heartbeats carry the
/// orders.
#[test]
fn direct_calls_are_few_at_a_time() {
    let mut w = World::new(2, one_team());
    for n in 1..=9 {
        w.heartbeat(&format!("big-east-{n}"), &[]);
    }
    for n in 1..=9 {
        w.job(submission(&format!("run-{n}"), |s| {
            s.tasks = 1;
            s.cpus = decimal(10.0);
            s.ram_gb = decimal(100.0);
        }));
    }
    w.scheduler.run_placement_pass(at(0.0));
    w.record_fleet();
    let calls = |w: &mut World, seconds: f64| {
        let calls: Vec<_> = std::iter::from_fn(|| w.scheduler.next_direct(at(seconds))).collect();
        let names: Vec<&str> = calls.iter().map(|c| c.machine.as_str()).collect();
        let text = format!("called: [{}]", names.join(", "));
        w.at(seconds).note(&text);
        calls
    };
    let first = calls(&mut w, 1.0);
    w.scheduler
        .direct_done(&first[0], DirectResult::Unsent, at(1.01));
    calls(&mut w, 1.02);
    calls(&mut w, 1.15);
    w.scheduler.overload.note(true, at(1.3));
    calls(&mut w, 1.3);
    w.scheduler.overload.note(false, at(1.4));
    calls(&mut w, 1.4);
    assert_snapshot!(w.log);
}

/// A machine of the last leader's roster stays silent for a lease, and its entry goes. When it is back
/// it is written down anew before anything starts there, however often it reports meanwhile: else a
/// next leader would not know that it may hold tasks.
#[test]
fn a_machine_that_is_back_waits_for_its_record() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -60.0);
    w.on_timer(21.0);
    w.record_fleet();
    w.job(submission("run-1", |s| s.tasks = 1));
    let due = |w: &World| w.scheduler.pending_registry_writes(false).len();
    for t in [22.0, 23.0, 24.0] {
        let report = w.report("big-east-1", 5, 2, &[]);
        w.scheduler.heartbeat(&report, at(t));
        let recorded = w.scheduler.machines["big-east-1"].recorded;
        let pages = due(&w);
        w.at(t).note(&format!(
            "reports; recorded: {recorded}, pages due: {pages}"
        ));
    }
    w.record_fleet();
    let report = w.report("big-east-1", 5, 2, &[]);
    w.at(25.0).send(&report).bound();
    assert_snapshot!(w.log);
}

/// A start got no answer and was never delivered, its job is cancelled, and the machine is well: once
/// it tells a higher token than the order's it will refuse the order. Else the cancelled job would keep
/// its place there for good.
#[test]
fn an_undelivered_start_has_an_end() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    w.on_timer(1.0).direct(|_| DirectResult::Unknown);
    w.scheduler.request_cancellation("run-1", w.now);
    w.at(1.1).round(true);
    w.at(4.0).heartbeat("big-east-1", &[]);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &[])));
    for t in [7.0, 15.0, 23.0] {
        w.at(t).heartbeat("big-east-1", &[]).bound();
    }
    w.at(26.0).heartbeat("big-east-1", &[]).bound().round(true);
    assert_snapshot!(w.log);
}
