//! Outcomes of tasks and jobs: when they count, and how they are written to the store.

use crate::trace::{LeaderTrace, at, one_team, submission};
use aspenreel::jobs::{PendingWriteKind, take_affordable};
use aspenreel::provisioning::ProvisioningResult;
use aspenreel::workers::DirectResult;
use insta::assert_snapshot;

/// A done task counts, and its attempt is cleared, only after the done set that contains it was written.
#[test]
fn done_tasks_count_and_are_cleared_after_their_done_set_is_written() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).job(submission("run-1", |s| s.tasks = 2));
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace
        .at(6.0)
        .heartbeat(
            "big-east-1",
            &["run-1/0#2.1 running", "run-1/1#2.2 running"],
        )
        .view("run-1");
    trace
        .at(9.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-1/1#2.2 running"])
        .view("run-1");
    trace.write_round(false).view("run-1");
    trace.at(11.0).write_round(true).view("run-1");
    trace
        .at(12.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-1/1#2.2 running"]);
    trace
        .at(14.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 done"])
        .view("run-1")
        .write_round(true)
        .view("run-1");
    trace
        .at(15.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 done"]);
    trace
        .at(16.0)
        .write_round(true)
        .heartbeat("big-east-1", &[]);
    assert_snapshot!(trace.log);
}

/// Of two attempts of a task, the first that is done counts. The other one is stopped, and its end changes nothing.
#[test]
fn first_done_attempt_of_a_task_counts() {
    let mut trace = LeaderTrace::new(3, one_team());
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    trace.heartbeat("big-east-1", &["run-1/0#1.7 running"]);
    trace.heartbeat("big-east-2", &["run-1/0#2.9 running"]);
    trace.at(2.0).heartbeat("big-east-2", &["run-1/0#2.9 done"]);
    trace.at(3.0).write_round(true).view("run-1");
    trace
        .at(3.5)
        .heartbeat("big-east-1", &["run-1/0#1.7 running"]);
    trace
        .at(4.0)
        .heartbeat("big-east-1", &["run-1/0#1.7 error"]);
    trace.write_round(true).view("run-1");
    assert_snapshot!(trace.log);
}

/// A job is cancelled while its last task ends: the outcome that is recorded first is final, and no other outcome is
/// ever reported to users.
#[test]
fn outcome_recorded_first_is_final_for_cancelled_and_done_jobs() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.job(submission("run-2", |s| s.tasks = 1));
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace
        .at(6.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-2/0#2.2 running"]);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.scheduler.request_cancellation("run-2", trace.now);
    trace.view("run-1").view("run-2");
    trace.at(6.1).write_round(true).view("run-1").view("run-2");
    trace
        .at(7.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-2/0#2.2 done"]);
    trace.write_round(true).view("run-2");
    assert_snapshot!(trace.log);
}

/// The done set of a job with 100,000 tasks is stored in small chunks, and read back after a failover.
#[test]
fn done_set_of_a_large_job_is_stored_in_chunks_and_read_back() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.job(submission("run-1", |s| s.tasks = 100_000));
    let id = trace.scheduler.jobs.find("run-1").unwrap();
    for task in (0..100_000).filter(|t| t % 7 != 3) {
        trace
            .scheduler
            .jobs
            .table
            .get_mut(&id)
            .unwrap()
            .mark_done(task);
    }
    let writes = trace.scheduler.pending_done_sets(1000);
    let longest = writes
        .iter()
        .flat_map(|x| &x.changes)
        .map(|c| aspenreel::http::cbor::encode(c).len())
        .max();
    trace.note(&format!(
        "{} writes, the longest under 3 KiB: {}",
        writes.len(),
        longest.is_some_and(|l| l < 3072)
    ));
    let mut next = LeaderTrace::new(3, one_team());
    next.prior_term_job(submission("run-1", |s| s.tasks = 100_000));
    for write in &writes {
        trace.scheduler.apply_written(write, 500);
        if let PendingWriteKind::DoneSet { chunk, text, .. } = &write.kind {
            let record = aspenreel::jobs::DoneRecord {
                state: None,
                set: text.clone(),
            };
            next.scheduler
                .apply_done_record("run-1", *chunk, &record, 500);
        }
    }
    let remaining = next.scheduler.jobs.get("run-1").unwrap().remaining();
    trace.note(&format!("the next leader finds {remaining} tasks left"));
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.write_round(true);
    // There are more chunks than fit into a transaction: they are deleted in several, the final record in the last.
    trace.write_round(true).write_round(true).view("run-1");
    assert_snapshot!(trace.log);
}

/// Repeated submissions, cancellations, results of requests for machines, returns and transactions change nothing.
#[test]
fn repeated_requests_results_and_writes_change_nothing() {
    let mut trace = LeaderTrace::new(4, one_team());
    let first = submission("run-1", |s| s.tasks = 1);
    trace
        .at(1.0)
        .list(&[])
        .job(first.clone())
        .job(first.clone());
    trace.plan_scale_out();
    let granted = || ProvisioningResult::Granted(vec!["big-east-7".into()]);
    trace
        .scheduler
        .apply_provisioning_result("r-4-1", granted(), at(2.0));
    trace
        .scheduler
        .apply_provisioning_result("r-4-1", granted(), at(2.0));
    trace.at(2.0).plan_scale_out();
    trace.at(9.0).heartbeat("big-east-7", &[]);
    trace
        .at(10.0)
        .heartbeat("big-east-7", &["run-1/0#4.1 running"]);
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.scheduler.request_cancellation("run-1", trace.now);
    let writes = trace.scheduler.pending_final_writes(12);
    trace.write_round(true).view("run-1");
    // A repetition of the transaction fails because of its revision. The record that is then read back changes
    // nothing.
    let record = aspenreel::jobs::DoneRecord {
        state: Some(aspenreel::jobs::Outcome::Cancelled),
        set: String::new(),
    };
    trace.scheduler.apply_done_record("run-1", 0, &record, 105);
    trace.note(&format!("{} final state written once", writes.len()));
    trace.view("run-1").job(first).view("run-1");
    trace
        .at(11.0)
        .heartbeat("big-east-7", &["run-1/0#4.1 stopped"])
        .write_round(true);
    trace.scheduler.drop_gone_machines(&["big-east-7".into()]);
    trace.scheduler.drop_gone_machines(&["big-east-7".into()]);
    // A late answer of the cloud to a repeated request for machines contains a machine that is gone.
    trace
        .scheduler
        .apply_provisioning_result("r-4-1", granted(), at(12.0));
    trace.at(12.0).bound();
    assert_snapshot!(trace.log);
}

/// Many final states are due at once, with three changes each. No more are written than there are tokens for, and
/// they don't delay the start watermarks that starts wait for.
#[test]
fn final_states_are_limited_by_tokens_and_do_not_delay_watermarks() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    for n in 1..=40 {
        trace.job(submission(&format!("run-{n}"), |s| s.tasks = 1));
        let id = trace.scheduler.jobs.find(&format!("run-{n}")).unwrap();
        trace
            .scheduler
            .jobs
            .table
            .get_mut(&id)
            .unwrap()
            .mark_done(0);
    }
    trace.job(submission("run-99", |s| s.tasks = 1));
    trace.scheduler.on_timer(at(1.0));
    let mut left = 12;
    let mut writes = take_affordable(trace.scheduler.pending_watermark_writes(), &mut left);
    writes.extend(take_affordable(
        trace.scheduler.pending_final_writes(12),
        &mut left,
    ));
    let changes: usize = writes.iter().map(|x| x.changes.len()).sum();
    assert!(matches!(
        writes[0].kind,
        PendingWriteKind::StartWatermarks(_)
    ));
    assert_eq!((writes.len(), changes, left), (6, 11, 1));
    // A large write that must wait isn't overtaken by smaller ones that became due later.
    trace.scheduler.request_cancellation("run-99", trace.now);
    let due = trace.scheduler.pending_final_writes(12);
    assert_eq!(take_affordable(due, &mut 1).len(), 0);
}

/// A final state exists as soon as the store has applied its transaction. The writer may learn this later or never,
/// and another controller may already have reported the state to a user. From the sending of the write until its
/// outcome is known, the leader reports no status of the job on its own.
#[test]
fn no_status_is_reported_while_the_outcome_of_a_final_write_is_unknown() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.at(3.0).heartbeat("big-east-1", &[]);
    trace
        .at(6.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    trace.view("run-1");
    trace.scheduler.request_cancellation("run-1", trace.now);
    let writes = trace.scheduler.pending_final_writes(12);
    trace.scheduler.mark_sent(&writes);
    trace.note("the cancellation is sent").view("run-1");
    trace.scheduler.mark_not_written(&writes);
    trace.at(6.1).note("it was surely refused").view("run-1");
    trace.scheduler.mark_sent(&writes);
    trace.scheduler.mark_outcome_unknown(&writes);
    trace
        .at(6.2)
        .note("sent again, it got no answer")
        .view("run-1");
    trace.scheduler.mark_sent(&writes);
    trace.scheduler.mark_not_written(&writes);
    trace
        .at(6.3)
        .note("sent once more, that one was refused")
        .view("run-1");
    trace.scheduler.apply_written(&writes[0], 200);
    trace.at(6.4).note("the fourth was written").view("run-1");
    assert_snapshot!(trace.log);
}

/// From the request of a cancellation, tasks of the job are stopped and none is started. The cancellation is recorded
/// only once no start of the job is in flight: such a start would be executed after the cancellation was confirmed to
/// the user.
#[test]
fn cancellation_is_recorded_after_starts_in_flight_are_answered() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.at(0.5).job(submission("run-1", |s| s.tasks = 2));
    trace.on_timer(1.0);
    let call = trace.scheduler.next_direct_call(at(1.0)).unwrap();
    trace.note("a direct call with its starts is under way");
    trace.scheduler.request_cancellation("run-1", trace.now);
    trace.at(1.1).write_round(true);
    let report = trace.next_heartbeat(
        "big-east-1",
        2,
        1,
        &["run-1/0#2.1 fetching", "run-1/1#2.2 fetching"],
    );
    trace
        .scheduler
        .direct_call_finished(&call, DirectResult::Answered(report), at(1.2));
    trace
        .at(1.2)
        .note("answered")
        .write_round(true)
        .view("run-1");
    trace.direct_call(|trace| {
        let stopped = ["run-1/0#2.1 stopped", "run-1/1#2.2 stopped"];
        DirectResult::Answered(trace.next_heartbeat("big-east-1", 2, 1, &stopped))
    });
    trace.at(2.0).write_round(true);
    trace.job(submission("run-2", |s| s.tasks = 1));
    trace.scheduler.request_cancellation("run-2", trace.now);
    trace
        .note("run-2 is cancelled before anything of it starts")
        .write_round(true);
    assert_snapshot!(trace.log);
}
