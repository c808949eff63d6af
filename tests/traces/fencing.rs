//! Orders that the network holds back: when a leader may count on them not to arrive any more.

use crate::trace::{World, submission, team};
use aspenreel::workers::direct::DirectResult;
use insta::assert_snapshot;

/// As long as a cancellation may take, in the trace's settings.
const CANCEL_S: f64 = 46.0;
const LEASE_S: f64 = 20.0;

/// A worker, as far as it decides whether a late order is executed.
struct Worker {
    name: &'static str,
    fencing_token: u64,
    agent_epoch: u64,
    /// When the last answered heartbeat was sent.
    renewed: f64,
}

/// What a direct command carries.
#[derive(Clone, Copy)]
struct HeldOrder {
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
    fn heartbeat(&mut self, world: &mut World, seconds: f64, tasks: &[&str]) -> bool {
        if seconds - self.renewed > LEASE_S {
            self.agent_epoch += 1;
            self.renewed = seconds;
        }
        world.at(seconds);
        let report = world.report(self.name, self.fencing_token, self.agent_epoch, tasks);
        let answer = world.send_to(&report);
        if let Some(fencing_token) = answer
            && fencing_token >= self.fencing_token
        {
            self.fencing_token = fencing_token;
            self.renewed = seconds;
        }
        answer.is_some()
    }

    fn executes(&self, command: HeldOrder) -> bool {
        command.fencing_token >= self.fencing_token && command.agent_epoch == self.agent_epoch
    }
}

/// What the state service does with higher tokens.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Tokens {
    Raised,
    Refused,
}

/// A leader, a worker, and a direct start of `run-1` that got no answer at 1 s.
fn a_start_in_doubt(tokens: Tokens) -> (World, Worker, HeldOrder) {
    let mut w = World::new(2, vec![team("a", 64.0, 64.0)]);
    w.raises_tokens = tokens == Tokens::Raised;
    let mut worker = Worker::new("big-east-1");
    worker.heartbeat(&mut w, 0.0, &[]);
    w.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    w.on_timer(1.0).direct(|_| DirectResult::Unknown);
    let held = HeldOrder {
        fencing_token: 2,
        agent_epoch: 1,
    };
    (w, worker, held)
}

/// A direct start is on its way when its job is cancelled, and stays there for minutes, while heartbeats
/// renew the session. Before the time for a cancellation is over, the worker must have lost the right to
/// execute it.
#[test]
fn a_held_start_is_revoked_before_its_cancellation_must_be_complete() {
    let (mut w, mut worker, held) = a_start_in_doubt(Tokens::Raised);
    w.at(2.0);
    w.scheduler.request_cancellation("run-1", w.now);
    w.round(true);
    for second in (3..=72).step_by(3) {
        worker.heartbeat(&mut w, f64::from(second), &[]);
        if f64::from(second) < 2.0 + CANCEL_S {
            continue;
        }
        w.round(true);
        assert!(!worker.executes(held), "executed {second} s late");
    }
}

/// A preempted task's start is on its way. Its task may start elsewhere only once the worker can't
/// execute the late order any more.
#[test]
fn a_preempted_start_holds_its_task_until_it_is_revoked() {
    let (mut w, mut worker, held) = a_start_in_doubt(Tokens::Raised);
    let key = *w.scheduler.machines["big-east-1"]
        .attempts
        .keys()
        .next()
        .unwrap();
    w.scheduler.preempt_attempt("big-east-1", key);
    w.at(2.0)
        .direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &[])));
    for second in (3..=60).step_by(3) {
        worker.heartbeat(&mut w, f64::from(second), &[]);
        let is_bound = w.scheduler.machines["big-east-1"]
            .attempts
            .get(&key)
            .is_some_and(|attempt| attempt.holds());
        assert!(
            is_bound || !worker.executes(held),
            "its task is free at {second} s"
        );
    }
}

/// The state service takes no higher token. Then the worker gets no answers from the moment at which a
/// lease just fits into the time for the cancellation, and the order's session ends.
#[test]
fn a_start_that_cannot_be_fenced_off_ends_with_its_session() {
    let (mut w, mut worker, held) = a_start_in_doubt(Tokens::Refused);
    w.at(2.0);
    w.scheduler.request_cancellation("run-1", w.now);
    w.round(true);
    for second in (6..=54).step_by(4) {
        let second = f64::from(second);
        worker.heartbeat(&mut w, second, &[]);
        w.on_timer(second);
        assert!(second < 2.0 + CANCEL_S || !worker.executes(held));
    }
    w.round(true);
    assert_snapshot!(w.log);
}

/// A start is under way when its machine gets a higher token for another one. Its call ends without an
/// answer after the worker has told that token: nothing is in doubt, and no third token is needed.
#[test]
fn a_call_that_ends_after_the_worker_saw_a_higher_token_leaves_no_doubt() {
    let mut w = World::new(2, vec![team("a", 64.0, 64.0)]);
    let mut worker = Worker::new("big-east-1");
    worker.heartbeat(&mut w, 0.0, &[]);
    w.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    w.on_timer(1.0);
    let call = w.scheduler.next_direct(w.now).unwrap();
    assert_eq!(call.fencing_token, 2);
    w.scheduler.fencing_token_raised(3, w.now);
    worker.fencing_token = 3;
    worker.heartbeat(&mut w, 2.0, &[]);
    w.scheduler.direct_done(&call, DirectResult::Unknown, w.now);
    assert_eq!(w.scheduler.fencing.unconfirmed_machines(), 0);
    worker.heartbeat(&mut w, 5.0, &[]);
    w.bound();
    assert_snapshot!(w.log);
}

/// Hundreds of machines have starts in doubt: one token fences off all of them, and each is free again at the
/// heartbeat after the one that brought it.
#[test]
fn one_token_fences_off_hundreds_of_machines() {
    const MACHINES: u32 = 300;
    let mut w = World::new(2, vec![team("a", 1e6, 1e6)]);
    w.raises_tokens = false;
    let names: Vec<String> = (0..MACHINES).map(|n| format!("big-east-{n}")).collect();
    for name in &names {
        w.heartbeat(name, &[]);
    }
    w.at(0.5).job(submission("run-1", |s| {
        s.tasks = u64::from(MACHINES);
        s.cpus = trace_cpus();
    }));
    w.on_timer(1.0);
    while w.scheduler.fencing.unconfirmed_machines() < MACHINES as usize {
        w.direct(|_| DirectResult::Unknown);
    }
    w.scheduler.request_cancellation("run-1", w.now);
    w.raises_tokens = true;
    for name in &names {
        w.at(2.0).heartbeat(name, &[]);
    }
    assert_eq!(w.scheduler.fencing.counters.raises, 1);
    for name in &names {
        w.at(5.0).heartbeat(name, &[]);
    }
    let counters = w.scheduler.fencing.counters;
    assert_eq!(
        (w.scheduler.fencing.unconfirmed_machines(), counters.raises),
        (0, 1)
    );
    assert_eq!(counters.ended_by_token, u64::from(MACHINES));
    assert!(w.scheduler.machines.values().all(|m| !m.busy()));
}

/// A task takes all of a machine.
fn trace_cpus() -> aspenreel::http::cbor::Number {
    crate::trace::decimal(32.0)
}
