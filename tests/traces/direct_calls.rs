//! Start commands sent in direct calls to workers, and the records that must be stored before a start is sent.

use crate::trace::{LeaderTrace, at, decimal, one_team, submission};
use aspenreel::workers::wire::{ReportedTask, TaskStatus};
use aspenreel::workers::{DirectResult, HeartbeatReply};
use insta::assert_snapshot;

/// A start whose direct call got no answer may still reach the worker at any time. Its task stays bound, and the
/// attempt is not cleared before the agent epoch ends: a start that arrives after `clear` would run the task again.
#[test]
fn unanswered_start_is_not_cleared_within_its_agent_epoch() {
    let mut trace = LeaderTrace::new(2, one_team());
    // With a higher token the worker would refuse the late start, and the task could not be reported any more.
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
        .find(|machine| machine.is_busy())
        .map(|machine| machine.name.clone())
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
    let next_epoch = trace.next_heartbeat(&name, 2, 2, &[]);
    trace.at(40.0).send(&next_epoch).write_round(true);
    assert_snapshot!(trace.log);
}

/// A heartbeat reply with a start is lost. The next report doesn't contain the task, which proves that it was not
/// started, so the start may be sent again. Here the job is cancelled meanwhile: the start is dropped.
#[test]
fn start_lost_with_its_reply_is_not_resent_after_cancellation() {
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

/// A task starts only after a stored start watermark of its job covers it, and only on a registered machine.
#[test]
fn tasks_start_after_machine_and_start_watermark_are_stored() {
    let mut trace = LeaderTrace::new(2, one_team());
    let first = trace.next_heartbeat("big-east-1", 2, 1, &[]);
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
    // If the page changes while it is being written, it stays due and is next written over the revision of that
    // write.
    trace.job(submission("run-2", |s| s.tasks = 1));
    trace.scheduler.on_timer(at(1.02));
    trace.scheduler.apply_written(&start_watermarks[0], 8);
    for write in trace.scheduler.pending_watermark_writes() {
        trace.note(&format!("to be written: {:?}", write.kind));
    }
    trace.at(1.1).direct_call(|trace| {
        DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &["run-1/0#2.1 running"]))
    });
    assert_snapshot!(trace.log);
}

/// A machine that refuses connections isn't called again before its next heartbeat. The tasks that were to start
/// there are released for other machines at once, not only when the machine's lease expires.
#[test]
fn tasks_of_an_unreachable_machine_move_to_another_at_once() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).job(submission("run-1", |s| s.tasks = 2));
    trace.scheduler.run_placement_pass(at(1.0));
    trace.apply_start_writes();
    trace.bound().direct_call(|_| DirectResult::Unreachable);
    trace.bound().direct_call(|_| unreachable!());
    // The tasks are placed on another machine. The first one is called again once it sends a heartbeat.
    trace.at(2.0).heartbeat("big-east-2", &[]).bound();
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace
        .direct_call(|trace| DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &[])));
    trace
        .at(3.1)
        .direct_call(|_| DirectResult::NotSent)
        .direct_call(|_| unreachable!());
    assert_snapshot!(trace.log);
}

/// A job with tasks on many machines doesn't cause direct calls to all of them at once: with a small CPU share the
/// answers would queue, and users' requests behind them. Calls without an answer delay the others only briefly.
/// While timers fire late (an overload) no direct calls are made: heartbeat replies carry the commands.
#[test]
fn concurrent_direct_calls_are_limited() {
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

/// A machine registered by the previous leader stays silent for a full lease, and its entry in the registry is
/// removed. When it reports again, it must be registered again before a task starts there, however often it reports
/// meanwhile: otherwise the next leader would not know that the machine may hold tasks.
#[test]
fn returning_machine_gets_no_tasks_before_it_is_registered_again() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -60.0);
    trace.on_timer(21.0);
    trace.apply_start_writes();
    trace.job(submission("run-1", |s| s.tasks = 1));
    let due = |trace: &LeaderTrace| trace.scheduler.pending_registry_writes(false).len();
    for t in [22.0, 23.0, 24.0] {
        let report = trace.next_heartbeat("big-east-1", 5, 2, &[]);
        trace.scheduler.heartbeat(&report, at(t));
        let recorded = trace.scheduler.machines["big-east-1"].registered;
        let pages = due(&trace);
        trace.at(t).note(&format!(
            "reports; recorded: {recorded}, pages due: {pages}"
        ));
    }
    trace.apply_start_writes();
    let report = trace.next_heartbeat("big-east-1", 5, 2, &[]);
    trace.at(25.0).send(&report).bound();
    assert_snapshot!(trace.log);
}

/// A start got no answer and was never delivered, its job is cancelled, and the machine is healthy. Once the worker
/// reports a higher fencing token than that of the command, it would refuse the command, so the attempt ends.
/// Otherwise the cancelled job would hold its resources on the machine forever.
#[test]
fn undelivered_start_ends_when_the_worker_reports_a_higher_token() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    trace
        .on_timer(1.0)
        .direct_call(|_| DirectResult::OutcomeUnknown);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.at(1.1).write_round(true);
    trace.at(4.0).heartbeat("big-east-1", &[]);
    trace
        .direct_call(|trace| DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &[])));
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

/// Guards against a sound machine in quarantine: if more starts are due than one reply may carry, those that it leaves
/// out were not sent, so their absence from the next report doesn't mean that the reply was lost.
#[test]
fn starts_that_a_reply_leaves_out_are_not_considered_lost() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| {
        s.tasks = 400;
        s.cpus = decimal(0.05);
        s.ram_gb = decimal(0.05);
    }));
    trace.on_timer(1.0);
    let mut running = Vec::new();
    for second in [3.0, 6.0, 9.0] {
        let mut report = trace.next_heartbeat("big-east-1", 2, 1, &[]);
        report.tasks.clone_from(&running);
        trace.now = at(second);
        let HeartbeatReply::Commands { commands, .. } =
            trace.scheduler.heartbeat(&report, trace.now)
        else {
            panic!("no reply at {second} s");
        };
        running.extend(commands.iter().map(|command| ReportedTask {
            task_id: command.task_id.clone(),
            attempt: command.attempt,
            status: TaskStatus::Running,
            exit_reason: None,
            checkpointed: None,
        }));
        assert!(trace.scheduler.machines["big-east-1"].quarantine.is_none());
    }
    assert_eq!(running.len(), 400);
}
