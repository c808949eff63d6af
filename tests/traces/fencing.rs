//! Commands that the network holds back: when a leader may count on them not to arrive any more.

use crate::trace::{LeaderTrace, submission, team};
use aspenreel::workers::{DirectResult, FencingToken};
use insta::assert_snapshot;

/// As long as a cancellation may take, in the trace's settings.
const CANCEL_S: f64 = 46.0;
const LEASE_S: f64 = 20.0;

/// A worker, as far as it decides whether a late command is executed.
struct Worker {
    name: &'static str,
    fencing_token: u64,
    agent_epoch: u64,
    /// When the last answered heartbeat was sent.
    renewed: f64,
}

/// What a direct command carries.
#[derive(Clone, Copy)]
struct DelayedCommand {
    fencing_token: u64,
    agent_epoch: u64,
}

impl Worker {
    fn new(name: &'static str) -> Worker {
        Worker {
            name,
            fencing_token: 2,
            agent_epoch: 1,
            renewed: 0.0,
        }
    }

    /// Sends a heartbeat that shows these tasks. True if it was answered.
    fn heartbeat(&mut self, trace: &mut LeaderTrace, seconds: f64, tasks: &[&str]) -> bool {
        if seconds - self.renewed > LEASE_S {
            self.agent_epoch += 1;
            self.renewed = seconds;
        }
        trace.at(seconds);
        let report = trace.report(self.name, self.fencing_token, self.agent_epoch, tasks);
        let answer = trace.send_for_token(&report);
        if let Some(fencing_token) = answer
            && fencing_token >= self.fencing_token
        {
            self.fencing_token = fencing_token;
            self.renewed = seconds;
        }
        answer.is_some()
    }

    fn executes(&self, command: DelayedCommand) -> bool {
        command.fencing_token >= self.fencing_token && command.agent_epoch == self.agent_epoch
    }
}

/// What the key-value store does with higher fencing tokens.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Tokens {
    Raised,
    Refused,
}

/// A leader, a worker, and a direct start of `run-1` that got no answer at 1 s.
fn a_start_in_doubt(tokens: Tokens) -> (LeaderTrace, Worker, DelayedCommand) {
    let mut trace = LeaderTrace::new(2, vec![team("a", 64.0, 64.0)]);
    trace.raises_tokens = tokens == Tokens::Raised;
    let mut worker = Worker::new("big-east-1");
    worker.heartbeat(&mut trace, 0.0, &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    trace
        .on_timer(1.0)
        .direct_call(|_| DirectResult::OutcomeUnknown);
    let held = DelayedCommand {
        fencing_token: 2,
        agent_epoch: 1,
    };
    (trace, worker, held)
}

/// A direct start is on its way when its job is cancelled, and stays there for minutes, while heartbeats
/// renew the agent epoch. Before the time for a cancellation is over, the worker must have lost the right to
/// execute it.
#[test]
fn a_held_start_is_revoked_before_its_cancellation_must_be_complete() {
    let (mut trace, mut worker, held) = a_start_in_doubt(Tokens::Raised);
    trace.at(2.0);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.write_round(true);
    for second in (3..=72).step_by(3) {
        worker.heartbeat(&mut trace, f64::from(second), &[]);
        if f64::from(second) < 2.0 + CANCEL_S {
            continue;
        }
        trace.write_round(true);
        assert!(!worker.executes(held), "executed {second} s late");
    }
}

/// A preempted task's start is on its way. Its task may start elsewhere only once the worker can't
/// execute the late command any more.
#[test]
fn a_preempted_start_holds_its_task_until_it_is_revoked() {
    let (mut trace, mut worker, held) = a_start_in_doubt(Tokens::Raised);
    let key = *trace.scheduler.machines["big-east-1"]
        .attempts
        .keys()
        .next()
        .unwrap();
    trace.scheduler.preempt_attempt("big-east-1", key);
    trace
        .at(2.0)
        .direct_call(|trace| DirectResult::Answered(trace.report("big-east-1", 2, 1, &[])));
    for second in (3..=60).step_by(3) {
        worker.heartbeat(&mut trace, f64::from(second), &[]);
        let is_bound = trace.scheduler.machines["big-east-1"]
            .attempts
            .get(&key)
            .is_some_and(|attempt| attempt.holds_resources());
        assert!(
            is_bound || !worker.executes(held),
            "its task is free at {second} s"
        );
    }
}

/// The key-value store takes no higher fencing token. Then the worker gets no answers from the moment at which a
/// lease just fits into the time for the cancellation, and the command's agent epoch ends.
#[test]
fn a_start_that_cannot_be_fenced_off_ends_with_its_session() {
    let (mut trace, mut worker, held) = a_start_in_doubt(Tokens::Refused);
    trace.at(2.0);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.write_round(true);
    for second in (6..=54).step_by(4) {
        let second = f64::from(second);
        worker.heartbeat(&mut trace, second, &[]);
        trace.on_timer(second);
        assert!(second < 2.0 + CANCEL_S || !worker.executes(held));
    }
    trace.write_round(true);
    assert_snapshot!(trace.log);
}

/// A start is under way when its machine gets a higher fencing token for another one. Its call ends without an
/// answer after the worker has told that token: nothing is in doubt, and no third token is needed.
#[test]
fn a_call_that_ends_after_the_worker_saw_a_higher_token_leaves_no_doubt() {
    let mut trace = LeaderTrace::new(2, vec![team("a", 64.0, 64.0)]);
    let mut worker = Worker::new("big-east-1");
    worker.heartbeat(&mut trace, 0.0, &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    trace.on_timer(1.0);
    let call = trace.scheduler.next_direct_call(trace.now).unwrap();
    assert_eq!(call.fencing_token, FencingToken(2));
    trace
        .scheduler
        .fencing_token_raised(FencingToken(3), trace.now);
    worker.fencing_token = 3;
    worker.heartbeat(&mut trace, 2.0, &[]);
    trace
        .scheduler
        .direct_call_finished(&call, DirectResult::OutcomeUnknown, trace.now);
    assert_eq!(trace.scheduler.fencing.unconfirmed_machine_count(), 0);
    worker.heartbeat(&mut trace, 5.0, &[]);
    trace.bound();
    assert_snapshot!(trace.log);
}

/// Hundreds of machines have starts in doubt: one token fences off all of them, and each is free again at the
/// heartbeat after the one that brought it.
#[test]
fn one_token_fences_off_hundreds_of_machines() {
    const MACHINES: u32 = 300;
    let mut trace = LeaderTrace::new(2, vec![team("a", 1e6, 1e6)]);
    trace.raises_tokens = false;
    let names: Vec<String> = (0..MACHINES).map(|n| format!("big-east-{n}")).collect();
    for name in &names {
        trace.heartbeat(name, &[]);
    }
    trace.at(0.5).job(submission("run-1", |s| {
        s.tasks = u64::from(MACHINES);
        s.cpus = trace_cpus();
    }));
    trace.on_timer(1.0);
    while trace.scheduler.fencing.unconfirmed_machine_count() < MACHINES as usize {
        trace.direct_call(|_| DirectResult::OutcomeUnknown);
    }
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.raises_tokens = true;
    for name in &names {
        trace.at(2.0).heartbeat(name, &[]);
    }
    assert_eq!(trace.scheduler.fencing.counters.raises, 1);
    for name in &names {
        trace.at(5.0).heartbeat(name, &[]);
    }
    let counters = trace.scheduler.fencing.counters;
    assert_eq!(
        (
            trace.scheduler.fencing.unconfirmed_machine_count(),
            counters.raises
        ),
        (0, 1)
    );
    assert_eq!(counters.ended_by_token, u64::from(MACHINES));
    assert!(trace.scheduler.machines.values().all(|m| !m.is_busy()));
}

/// A task takes all of a machine.
fn trace_cpus() -> aspenreel::http::cbor::Number {
    crate::trace::decimal(32.0)
}
