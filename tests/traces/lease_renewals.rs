//! Replies of a new leader renew the leases of machines that may hold tasks of earlier terms.

use crate::trace::{LeaderTrace, at, one_team, submission};
use aspenreel::jobs::{DoneRecord, Outcome};
use aspenreel::workers::{DirectResult, HeartbeatReply};
use insta::assert_snapshot;

/// Machine that an earlier term registered, and that may hold a task of that term.
const SUSPECT: &str = "big-east-9";
/// Fencing token of the previous leader.
const OLD_TOKEN: u64 = 4;

/// Returns a new leader with a job whose only task an earlier term may have started on `SUSPECT`, and with another
/// machine that has room for it.
fn new_leader() -> LeaderTrace {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine(SUSPECT, -1.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace
}

/// Sends a heartbeat of `SUSPECT` whose worker has received no reply of this leader. Returns true if it is answered.
fn old_heartbeat(trace: &mut LeaderTrace, seconds: f64, agent_epoch: u64) -> bool {
    trace.at(seconds);
    let report = trace.next_heartbeat(SUSPECT, OLD_TOKEN, agent_epoch, &[]);
    trace.send_for_token(&report).is_some()
}

/// Keeps the other machine alive, and returns whether the task of the earlier term was placed by then.
fn is_placed_at(trace: &mut LeaderTrace, seconds: f64) -> bool {
    trace.at(seconds).heartbeat("big-east-1", &[]);
    trace.on_timer(seconds).bound();
    let machines = trace.scheduler.machines.values();
    machines
        .map(|machine| machine.attempts.len())
        .sum::<usize>()
        > 0
}

/// Guards against a task that runs twice: a held-back start of the last leader is executed just before the new
/// leader's reply renews the machine's lease, and then the machine is silent.
#[test]
fn task_of_an_earlier_term_waits_a_full_lease_after_the_last_renewal() {
    let mut trace = new_leader();
    assert!(old_heartbeat(&mut trace, 4.0, 1));
    for seconds in [10.0, 20.4, 20.6, 24.4] {
        assert!(!is_placed_at(&mut trace, seconds), "placed at {seconds} s");
    }
    assert!(is_placed_at(&mut trace, 24.6));
    assert_snapshot!(trace.log);
}

/// Guards against endless waiting for a machine that receives no reply: replies that the worker has certainly not
/// received renew nothing, and after half a lease it gets no more of them.
#[test]
fn lost_replies_do_not_defer_the_release_of_prior_term_tasks() {
    let mut trace = new_leader();
    assert!(old_heartbeat(&mut trace, 3.0, 1));
    assert!(old_heartbeat(&mut trace, 8.0, 1), "no retry");
    assert!(!old_heartbeat(&mut trace, 13.0, 1), "answered again");
    assert!(!old_heartbeat(&mut trace, 18.0, 1), "answered again");
    assert!(!is_placed_at(&mut trace, 20.4));
    assert!(is_placed_at(&mut trace, 20.6));
    assert_snapshot!(trace.log);
}

/// Guards against the loss of a machine's work because one reply was lost: a probe, which renews no lease, tells the
/// worker the fencing token while its heartbeats are left unanswered, and the next heartbeat is answered.
#[test]
fn machine_with_withheld_replies_is_reconciled_by_a_probe() {
    let mut trace = new_leader();
    trace.at(9.0);
    assert!(old_heartbeat(&mut trace, 9.0, 1));
    assert!(!old_heartbeat(&mut trace, 14.0, 1));
    trace.direct_call(|trace| {
        DirectResult::Answered(trace.next_heartbeat(SUSPECT, 5, 1, &["run-1/0#4.9 running"]))
    });
    trace
        .at(15.0)
        .heartbeat(SUSPECT, &["run-1/0#4.9 running"])
        .bound();
    assert_snapshot!(trace.log);
}

/// Guards against the loss of work on machines whose heartbeats the network has held back: the heartbeats arrive
/// together, and only the last of them waits for a reply.
#[test]
fn held_back_heartbeats_are_not_taken_for_lost_replies() {
    let mut trace = new_leader();
    for seconds in [16.0, 16.001, 16.002] {
        assert!(old_heartbeat(&mut trace, seconds, 1));
    }
    assert!(!is_placed_at(&mut trace, 36.4));
    assert!(is_placed_at(&mut trace, 36.6));
}

/// Guards against refusing a machine for a whole lease after it has lost its previous one: the lease of its next agent
/// epoch counts from that epoch's first report, whether that was answered or not.
#[test]
fn lease_of_an_unanswered_agent_epoch_counts_from_its_first_report() {
    let mut trace = new_leader();
    assert!(old_heartbeat(&mut trace, 2.0, 1));
    assert!(!old_heartbeat(&mut trace, 19.0, 2));
    trace.on_timer(24.0);
    let received = trace.next_heartbeat(SUSPECT, OLD_TOKEN, 2, &[]);
    let reply = trace.scheduler.heartbeat(&received, trace.now);
    assert!(
        matches!(reply, HeartbeatReply::Commands { .. }),
        "{reply:?}"
    );
}

/// Guards against a task that runs twice: a page of the machine registry can't be decoded, and the new leader renews the
/// lease of a machine that is registered there.
#[test]
fn machines_of_an_unreadable_registry_page_bind_tasks_while_their_leases_last() {
    let mut trace = LeaderTrace::new(5, one_team());
    let started = trace.now;
    trace.scheduler.prior_term.pages_unreadable = true;
    trace.scheduler.prior_term.note_machine("fleet/1", started);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    assert!(old_heartbeat(&mut trace, 4.0, 1));
    for seconds in [20.4, 20.6, 24.4] {
        assert!(!is_placed_at(&mut trace, seconds), "placed at {seconds} s");
    }
    assert!(is_placed_at(&mut trace, 24.6));
}

/// Guards against a cancelled task that outlasts the time limit of its cancellation: a held-back start of the last
/// leader is executed just before the new leader's first reply renews the lease of a machine that comes back late. The
/// job was cancelled 9 s before the new term began, so a lease from 18 s on would end a second too late.
#[test]
fn late_machine_is_probed_before_a_reply_may_prolong_cancelled_tasks() {
    let mut trace = new_leader();
    let cancelled = DoneRecord {
        state: Some(Outcome::Cancelled),
        ..DoneRecord::default()
    };
    trace
        .scheduler
        .apply_done_record("run-1", 0, &cancelled, 200);
    assert!(!old_heartbeat(&mut trace, 18.0, 1), "lease renewed");
    let started = ["run-1/0#4.9 running"];
    trace
        .direct_call(|trace| DirectResult::Answered(trace.next_heartbeat(SUSPECT, 5, 1, &started)))
        .at(19.0)
        .heartbeat(SUSPECT, &started);
    assert_snapshot!(trace.log);
}

/// Guards against a task that runs twice: the first heartbeat of a machine in this term is withheld, a probe reconciles
/// the machine, and a task starts there. The agent epoch may have begun just before that heartbeat, so it isn't over one
/// lease after the beginning of the term.
#[test]
fn epoch_first_seen_in_a_withheld_heartbeat_lasts_a_lease_from_then() {
    let mut trace = new_leader();
    trace.prior_term_job(submission("run-2", |s| s.tasks = 1));
    trace.scheduler.request_cancellation("run-2", at(-10.0));
    assert!(!old_heartbeat(&mut trace, 18.0, 1));
    let report = ["run-1/0#4.9 running"];
    trace.direct_call(|trace| DirectResult::Answered(trace.next_heartbeat(SUSPECT, 5, 1, &report)));
    trace.on_timer(24.0).bound();
    let attempts = &trace.scheduler.machines[SUSPECT].attempts;
    assert_eq!(attempts.len(), 1, "the agent epoch counts as ended");
}
