//! Commands that the network delays: when a leader may rely on a worker to refuse them.

use crate::trace::{LeaderTrace, submission, team};
use aspenreel::workers::{DirectResult, FencingToken};
use insta::assert_snapshot;

/// Time limit of a cancellation in the configuration of the trace, in seconds.
const CANCELLATION_BOUND_S: f64 = 46.0;
/// Lease of a worker in the configuration of the trace, in seconds.
const WORKER_LEASE_S: f64 = 20.0;

/// The state of a worker that decides whether a late command is executed.
struct Worker {
    name: &'static str,
    fencing_token: u64,
    agent_epoch: u64,
    /// Time at which the last answered heartbeat was sent, in seconds.
    renewed_s: f64,
}

/// Fencing data of a start command that is still on its way.
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
            renewed_s: 0.0,
        }
    }

    /// Sends a heartbeat that reports these tasks. Returns true if it was answered.
    fn heartbeat(&mut self, trace: &mut LeaderTrace, seconds: f64, tasks: &[&str]) -> bool {
        if seconds - self.renewed_s > WORKER_LEASE_S {
            self.agent_epoch += 1;
            self.renewed_s = seconds;
        }
        trace.at(seconds);
        let report = trace.next_heartbeat(self.name, self.fencing_token, self.agent_epoch, tasks);
        let answer = trace.send_for_token(&report);
        if let Some(fencing_token) = answer
            && fencing_token >= self.fencing_token
        {
            self.fencing_token = fencing_token;
            self.renewed_s = seconds;
        }
        answer.is_some()
    }

    fn executes(&self, command: DelayedCommand) -> bool {
        command.fencing_token >= self.fencing_token && command.agent_epoch == self.agent_epoch
    }
}

/// Result of the leader's attempts to store a higher fencing token.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TokenRaises {
    Succeed,
    Fail,
}

/// Returns a leader, a worker, and an unconfirmed start of `run-1`: its direct call got no answer at 1 s.
fn unconfirmed_start(token_raises: TokenRaises) -> (LeaderTrace, Worker, DelayedCommand) {
    let mut trace = LeaderTrace::new(2, vec![team("a", 64.0, 64.0)]);
    trace.raises_tokens = token_raises == TokenRaises::Succeed;
    let mut worker = Worker::new("big-east-1");
    worker.heartbeat(&mut trace, 0.0, &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    trace
        .on_timer(1.0)
        .direct_call(|_| DirectResult::OutcomeUnknown);
    let delayed = DelayedCommand {
        fencing_token: 2,
        agent_epoch: 1,
    };
    (trace, worker, delayed)
}

/// A direct start is on its way when its job is cancelled, and the network delays it for minutes, while answered
/// heartbeats renew the worker's lease, so that its agent epoch doesn't end. Before the time limit of the
/// cancellation, the worker must refuse to execute the start.
#[test]
fn delayed_start_is_revoked_within_the_cancellation_bound() {
    let (mut trace, mut worker, delayed) = unconfirmed_start(TokenRaises::Succeed);
    trace.at(2.0);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.write_round(true);
    for second in (3..=72).step_by(3) {
        worker.heartbeat(&mut trace, f64::from(second), &[]);
        if f64::from(second) < 2.0 + CANCELLATION_BOUND_S {
            continue;
        }
        trace.write_round(true);
        assert!(!worker.executes(delayed), "still executed at {second} s");
    }
}

/// The start of a preempted attempt is on its way. Its task may start on another machine only once the worker can't
/// execute the late command any more.
#[test]
fn delayed_start_of_a_preempted_attempt_binds_its_task_until_revoked() {
    let (mut trace, mut worker, delayed) = unconfirmed_start(TokenRaises::Succeed);
    let key = *trace.scheduler.machines["big-east-1"]
        .attempts
        .keys()
        .next()
        .unwrap();
    trace.scheduler.preempt_attempt("big-east-1", key);
    trace
        .at(2.0)
        .direct_call(|trace| DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &[])));
    for second in (3..=60).step_by(3) {
        worker.heartbeat(&mut trace, f64::from(second), &[]);
        let is_bound = trace.scheduler.machines["big-east-1"]
            .attempts
            .get(&key)
            .is_some_and(|attempt| attempt.holds_resources());
        assert!(
            is_bound || !worker.executes(delayed),
            "the task is released at {second} s, but the delayed start could still be executed"
        );
    }
}

/// The key-value store accepts no higher fencing token. Then the leader leaves the worker's heartbeats unanswered
/// from the time at which a lease just fits into the remaining time of the cancellation, so that the agent epoch of
/// the command ends.
#[test]
fn delayed_start_ends_with_its_agent_epoch_if_no_token_can_be_raised() {
    let (mut trace, mut worker, delayed) = unconfirmed_start(TokenRaises::Fail);
    trace.at(2.0);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.write_round(true);
    for second in (6..=54).step_by(4) {
        let second = f64::from(second);
        worker.heartbeat(&mut trace, second, &[]);
        trace.on_timer(second);
        assert!(second < 2.0 + CANCELLATION_BOUND_S || !worker.executes(delayed));
    }
    trace.write_round(true);
    assert_snapshot!(trace.log);
}

/// A start is in flight when its machine gets a higher fencing token because of another start. Its call ends without
/// an answer after the worker has reported that token: the start is not unconfirmed, and no third token is needed.
#[test]
fn unanswered_call_is_settled_if_a_higher_token_was_reported_before() {
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

/// Hundreds of machines have unconfirmed starts. One higher token revokes all of them, and each machine is free again
/// at the heartbeat after the one whose reply carried the token.
#[test]
fn one_token_raise_revokes_unconfirmed_starts_on_hundreds_of_machines() {
    const MACHINES: u32 = 300;
    let mut trace = LeaderTrace::new(2, vec![team("a", 1e6, 1e6)]);
    trace.raises_tokens = false;
    let names: Vec<String> = (0..MACHINES).map(|n| format!("big-east-{n}")).collect();
    for name in &names {
        trace.heartbeat(name, &[]);
    }
    trace.at(0.5).job(submission("run-1", |s| {
        s.tasks = u64::from(MACHINES);
        s.cpus = whole_machine_cpus();
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

/// CPUs of a task that takes a whole machine of type `big`.
fn whole_machine_cpus() -> aspenreel::http::cbor::Number {
    crate::trace::decimal(32.0)
}

/// Returns the report of the machine in the answer to a direct call that started this attempt.
fn started(tasks: &'static [&'static str]) -> impl FnOnce(&mut LeaderTrace) -> DirectResult {
    move |trace| {
        let token = trace.scheduler.fencing_token_for("big-east-1").0;
        DirectResult::Answered(trace.next_heartbeat("big-east-1", token, 1, tasks))
    }
}

/// Guards against a task that runs twice: its first attempt was started by a direct call, was answered and failed. The
/// attempt is cleared only in a reply with a higher fencing token than the start's, since the network may deliver a copy
/// of the start at any time after the `clear`.
#[test]
fn answered_start_is_revoked_before_its_failed_attempt_is_cleared() {
    let mut trace = LeaderTrace::new(2, vec![team("a", 64.0, 64.0)]);
    trace.raises_tokens = false;
    trace.heartbeat("big-east-1", &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 1));
    trace
        .on_timer(1.0)
        .direct_call(started(&["run-1/0#2.1 running"]));
    // The store accepts no higher token at first. The task starts again meanwhile.
    for second in [3.0, 6.0] {
        trace
            .at(second)
            .heartbeat("big-east-1", &["run-1/0#2.1 error"]);
    }
    trace.raises_tokens = true;
    let failed_and_running = ["run-1/0#2.1 error", "run-1/0#2.2 running"];
    trace.at(9.0).heartbeat("big-east-1", &failed_and_running);
    trace.at(12.0).heartbeat("big-east-1", &failed_and_running);
    trace
        .at(15.0)
        .heartbeat("big-east-1", &["run-1/0#2.2 running"])
        .bound();
    // The second attempt was started in a reply, which the worker drops if it is late: it is cleared at once, as is
    // an attempt whose task is recorded as done, since the worker keeps the result.
    trace
        .at(60.0)
        .heartbeat("big-east-1", &["run-1/0#2.2 done"])
        .write_round(true);
    assert_snapshot!(trace.log);
}

/// Guards against a cancelled task that starts again: its job is not retired before copies of its start are refused,
/// because attempts of unknown jobs are cleared at once.
#[test]
fn cancelled_job_is_not_retired_before_its_answered_start_is_revoked() {
    let mut trace = LeaderTrace::new(2, vec![team("a", 64.0, 64.0)]);
    trace.raises_tokens = false;
    trace.heartbeat("big-east-1", &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 2));
    trace
        .on_timer(1.0)
        .direct_call(started(&["run-1/0#2.1 running", "run-1/1#2.2 done"]));
    trace.write_round(true);
    trace.at(2.0);
    trace.scheduler.request_cancellation("run-1", trace.now);
    let ended = ["run-1/0#2.1 stopped", "run-1/1#2.2 done"];
    trace
        .at(3.0)
        .heartbeat("big-east-1", &ended)
        .write_round(true);
    trace
        .at(6.0)
        .heartbeat("big-east-1", &ended)
        .write_round(true)
        .view("run-1");
    trace.raises_tokens = true;
    trace.at(9.0).heartbeat("big-east-1", &ended);
    trace
        .at(12.0)
        .heartbeat("big-east-1", &ended)
        .write_round(true);
    trace
        .at(15.0)
        .heartbeat("big-east-1", &[])
        .write_round(true);
    assert_snapshot!(trace.log);
}
