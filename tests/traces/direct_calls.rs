//! Starts that go straight to a machine, and what has to be on record before them.

use crate::trace::{LeaderTrace, at, decimal, one_team, submission};
use aspenreel::workers::DirectResult;
use insta::assert_snapshot;

/// A start without an answer may arrive at any time: its task stays bound, and the attempt is
/// never cleared while the agent epoch lasts, since a start after `clear` would run it again.
#[test]
fn unanswered_direct_start() {
    let mut trace = LeaderTrace::new(2, one_team());
    // Else the start would be fenced off, and could not show up any more.
    trace.raises_tokens = false;
    trace.heartbeat("big-east-1", &[]);
    trace.heartbeat("big-east-2", &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    trace
        .on_timer(1.0)
        .direct_call(|_| DirectResult::OutcomeUnknown)
        .bound();
    let name = trace
        .scheduler
        .machines
        .values()
        .find(|m| m.is_busy())
        .map(|m| m.name.clone())
        .unwrap();
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.write_round(true).view("run-1");
    trace.at(3.0).heartbeat(&name, &[]);
    trace.at(6.0).heartbeat(&name, &[]).bound();
    trace
        .at(7.0)
        .heartbeat(&name, &["run-1/0#2.1 stopped"])
        .write_round(true);
    trace
        .at(9.0)
        .heartbeat(&name, &["run-1/0#2.1 stopped"])
        .bound();
    let next_epoch = trace.report(&name, 2, 2, &[]);
    trace.at(40.0).send(&next_epoch).write_round(true);
    assert_snapshot!(trace.log);
}

/// A start lost with its answer goes out again; one no longer wanted is dropped, by proof.
#[test]
fn lost_answers() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 2));
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace
        .at(6.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.write_round(true);
    trace
        .at(9.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    trace
        .at(10.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 stopped"])
        .bound();
    assert_snapshot!(trace.log);
}

/// A task starts only once its job's claim is recorded, and only on a recorded machine.
#[test]
fn no_start_before_the_record() {
    let mut trace = LeaderTrace::new(2, one_team());
    let first = trace.report("big-east-1", 2, 1, &[]);
    trace.scheduler.heartbeat(&first, at(0.0));
    trace.at(1.0).job(submission("run-1", |s| s.tasks = 9));
    trace.scheduler.on_timer(at(1.0));
    trace.bound();
    for write in trace.scheduler.pending_registry_writes(false) {
        trace.scheduler.apply_written(&write, 7);
    }
    trace.scheduler.on_timer(at(1.01));
    trace.bound().direct_call(|_| unreachable!());
    let start_watermarks = trace.scheduler.pending_watermark_writes();
    for write in &start_watermarks {
        trace.note(&format!("to be written: {:?}", write.kind));
    }
    // The page changes while it is being written: it stays due, over its own revision.
    trace.job(submission("run-2", |s| s.tasks = 1));
    trace.scheduler.on_timer(at(1.02));
    trace.scheduler.apply_written(&start_watermarks[0], 8);
    for write in trace.scheduler.pending_watermark_writes() {
        trace.note(&format!("to be written: {:?}", write.kind));
    }
    trace.at(1.1).direct_call(|trace| {
        DirectResult::Answered(trace.report("big-east-1", 2, 1, &["run-1/0#2.1 running"]))
    });
    assert_snapshot!(trace.log);
}

/// A machine that refuses connections isn't called again and again; what was to start there starts
/// elsewhere at once, and not when its lease is over.
#[test]
fn unreached_machines() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).job(submission("run-1", |s| s.tasks = 2));
    trace.scheduler.run_placement_pass(at(1.0));
    trace.apply_start_writes();
    trace.bound().direct_call(|_| DirectResult::Unreachable);
    trace.bound().direct_call(|_| unreachable!());
    // Another machine takes them; the first is asked again once it reports.
    trace.at(2.0).heartbeat("big-east-2", &[]).bound();
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace.direct_call(|trace| DirectResult::Answered(trace.report("big-east-1", 2, 1, &[])));
    trace
        .at(3.1)
        .direct_call(|_| DirectResult::NotSent)
        .direct_call(|_| unreachable!());
    assert_snapshot!(trace.log);
}

/// A job that spreads over many machines doesn't call all of them at once: on a small share of a
/// core their answers would queue, and users' requests behind them. Calls that get no answer hold
/// up the others only for a moment, and while timers fire late none is made: heartbeats carry the
/// commands.
#[test]
fn direct_calls_are_few_at_a_time() {
    let mut trace = LeaderTrace::new(2, one_team());
    for n in 1..=9 {
        trace.heartbeat(&format!("big-east-{n}"), &[]);
    }
    for n in 1..=9 {
        trace.job(submission(&format!("run-{n}"), |s| {
            s.tasks = 1;
            s.cpus = decimal(10.0);
            s.ram_gb = decimal(100.0);
        }));
    }
    trace.scheduler.run_placement_pass(at(0.0));
    trace.apply_start_writes();
    let calls = |trace: &mut LeaderTrace, seconds: f64| {
        let calls: Vec<_> =
            std::iter::from_fn(|| trace.scheduler.next_direct_call(at(seconds))).collect();
        let names: Vec<&str> = calls.iter().map(|c| c.machine.as_str()).collect();
        let text = format!("called: [{}]", names.join(", "));
        trace.at(seconds).note(&text);
        calls
    };
    let first = calls(&mut trace, 1.0);
    trace
        .scheduler
        .direct_call_finished(&first[0], DirectResult::NotSent, at(1.01));
    calls(&mut trace, 1.02);
    calls(&mut trace, 1.15);
    trace.scheduler.overload.note(true, at(1.3));
    calls(&mut trace, 1.3);
    trace.scheduler.overload.note(false, at(1.4));
    calls(&mut trace, 1.4);
    assert_snapshot!(trace.log);
}

/// A machine of the last leader's registry stays silent for a lease, and its entry goes. When it is back
/// it is written down anew before anything starts there, however often it reports meanwhile: else a
/// next leader would not know that it may hold tasks.
#[test]
fn a_machine_that_is_back_waits_for_its_record() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -60.0);
    trace.on_timer(21.0);
    trace.apply_start_writes();
    trace.job(submission("run-1", |s| s.tasks = 1));
    let due = |trace: &LeaderTrace| trace.scheduler.pending_registry_writes(false).len();
    for t in [22.0, 23.0, 24.0] {
        let report = trace.report("big-east-1", 5, 2, &[]);
        trace.scheduler.heartbeat(&report, at(t));
        let recorded = trace.scheduler.machines["big-east-1"].registered;
        let pages = due(&trace);
        trace.at(t).note(&format!(
            "reports; recorded: {recorded}, pages due: {pages}"
        ));
    }
    trace.apply_start_writes();
    let report = trace.report("big-east-1", 5, 2, &[]);
    trace.at(25.0).send(&report).bound();
    assert_snapshot!(trace.log);
}

/// A start got no answer and was never delivered, its job is cancelled, and the machine is well: once
/// it tells a higher fencing token than the command's it will refuse the command. Else the cancelled job would keep
/// its place there for good.
#[test]
fn an_undelivered_start_has_an_end() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    trace
        .on_timer(1.0)
        .direct_call(|_| DirectResult::OutcomeUnknown);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.at(1.1).write_round(true);
    trace.at(4.0).heartbeat("big-east-1", &[]);
    trace.direct_call(|trace| DirectResult::Answered(trace.report("big-east-1", 2, 1, &[])));
    for t in [7.0, 15.0, 23.0] {
        trace.at(t).heartbeat("big-east-1", &[]).bound();
    }
    trace
        .at(26.0)
        .heartbeat("big-east-1", &[])
        .bound()
        .write_round(true);
    assert_snapshot!(trace.log);
}
