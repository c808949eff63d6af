//! Results of tasks and jobs: when they count, and how they are written.

use crate::trace::{World, at, one_team, submission};
use aspenreel::jobs::{PendingWriteKind, take_affordable};
use aspenreel::provisioning::ProvisioningResult;
use aspenreel::workers::direct::DirectResult;
use insta::assert_snapshot;

/// A done task counts, and is cleared, only once its done set is written.
#[test]
fn settling() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.tasks = 2));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0)
        .heartbeat(
            "big-east-1",
            &["run-1/0#2.1 running", "run-1/1#2.2 running"],
        )
        .view("run-1");
    w.at(9.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-1/1#2.2 running"])
        .view("run-1");
    w.round(false).view("run-1");
    w.at(11.0).round(true).view("run-1");
    w.at(12.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-1/1#2.2 running"]);
    w.at(14.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 done"])
        .view("run-1")
        .round(true)
        .view("run-1");
    w.at(15.0).heartbeat("big-east-1", &["run-1/1#2.2 done"]);
    w.at(16.0).round(true).heartbeat("big-east-1", &[]);
    assert_snapshot!(w.log);
}

/// Of two attempts the first settle wins; the other is stopped and changes nothing.
#[test]
fn first_settle_wins() {
    let mut w = World::new(3, one_team());
    w.old_job(submission("run-1", |s| s.tasks = 1));
    w.heartbeat("big-east-1", &["run-1/0#1.7 running"]);
    w.heartbeat("big-east-2", &["run-1/0#2.9 running"]);
    w.at(2.0).heartbeat("big-east-2", &["run-1/0#2.9 done"]);
    w.at(3.0).round(true).view("run-1");
    w.at(3.5).heartbeat("big-east-1", &["run-1/0#1.7 running"]);
    w.at(4.0).heartbeat("big-east-1", &["run-1/0#1.7 error"]);
    w.round(true).view("run-1");
    assert_snapshot!(w.log);
}

/// Withdrawn or done: whichever is recorded first, and only one of them is ever told.
#[test]
fn withdraw_against_done() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.tasks = 1));
    w.job(submission("run-2", |s| s.tasks = 1));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-2/0#2.2 running"]);
    w.scheduler.request_cancellation("run-1", w.now);
    w.scheduler.request_cancellation("run-2", w.now);
    w.view("run-1").view("run-2");
    w.at(6.1).round(true).view("run-1").view("run-2");
    w.at(7.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-2/0#2.2 done"]);
    w.round(true).view("run-2");
    assert_snapshot!(w.log);
}

/// 100,000 tasks: the done set is cut into small values, and a takeover reads it back.
#[test]
fn large_job() {
    let mut w = World::new(2, one_team());
    w.job(submission("run-1", |s| s.tasks = 100_000));
    let id = w.scheduler.jobs.find("run-1").unwrap();
    for task in (0..100_000).filter(|t| t % 7 != 3) {
        w.scheduler.jobs.table.get_mut(&id).unwrap().mark_done(task);
    }
    let writes = w.scheduler.pending_done_sets(1000);
    let longest = writes
        .iter()
        .flat_map(|x| &x.changes)
        .map(|c| aspenreel::http::cbor::encode(c).len())
        .max();
    w.note(&format!(
        "{} writes, the longest under 3 KiB: {}",
        writes.len(),
        longest.is_some_and(|l| l < 3072)
    ));
    let mut next = World::new(3, one_team());
    next.old_job(submission("run-1", |s| s.tasks = 100_000));
    for write in &writes {
        w.scheduler.apply_written(write, 500);
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
    w.note(&format!("the next leader finds {remaining} tasks left"));
    w.scheduler.request_cancellation("run-1", w.now);
    w.round(true);
    // More chunks than a transaction holds: they go in steps, the final record last.
    w.round(true).round(true).view("run-1");
    assert_snapshot!(w.log);
}

/// Repeats of submissions, withdrawals, rentals, returns and transactions change nothing.
#[test]
fn repeats() {
    let mut w = World::new(4, one_team());
    let first = submission("run-1", |s| s.tasks = 1);
    w.at(1.0).list(&[]).job(first.clone()).job(first.clone());
    w.rentals();
    let rented = || ProvisioningResult::Granted(vec!["big-east-7".into()]);
    w.scheduler
        .apply_provisioning_result("r-4-1", rented(), at(2.0));
    w.scheduler
        .apply_provisioning_result("r-4-1", rented(), at(2.0));
    w.at(2.0).rentals();
    w.at(9.0).heartbeat("big-east-7", &[]);
    w.at(10.0).heartbeat("big-east-7", &["run-1/0#4.1 running"]);
    w.scheduler.request_cancellation("run-1", w.now);
    w.scheduler.request_cancellation("run-1", w.now);
    let writes = w.scheduler.pending_final_writes(12);
    w.round(true).view("run-1");
    // The same transaction again fails on its revision; what is read back changes nothing.
    let record = aspenreel::jobs::DoneRecord {
        state: Some(aspenreel::jobs::Outcome::Cancelled),
        set: String::new(),
    };
    w.scheduler.apply_done_record("run-1", 0, &record, 105);
    w.note(&format!("{} final state written once", writes.len()));
    w.view("run-1").job(first).view("run-1");
    w.at(11.0)
        .heartbeat("big-east-7", &["run-1/0#4.1 stopped"])
        .round(true);
    w.scheduler.drop_gone_machines(&["big-east-7".into()]);
    w.scheduler.drop_gone_machines(&["big-east-7".into()]);
    // A repeated rental that the cloud answers late names a machine that is gone.
    w.scheduler
        .apply_provisioning_result("r-4-1", rented(), at(12.0));
    w.at(12.0).bound();
    assert_snapshot!(w.log);
}

/// Many final states at once, three changes each, take no more than there are tokens for, and
/// don't hold up the claim that starts wait for.
#[test]
fn records_as_there_are_tokens() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    for n in 1..=40 {
        w.job(submission(&format!("run-{n}"), |s| s.tasks = 1));
        let id = w.scheduler.jobs.find(&format!("run-{n}")).unwrap();
        w.scheduler.jobs.table.get_mut(&id).unwrap().mark_done(0);
    }
    w.job(submission("run-99", |s| s.tasks = 1));
    w.scheduler.on_timer(at(1.0));
    let mut left = 12;
    let mut writes = take_affordable(w.scheduler.pending_watermark_writes(), &mut left);
    writes.extend(take_affordable(
        w.scheduler.pending_final_writes(12),
        &mut left,
    ));
    let changes: usize = writes.iter().map(|x| x.changes.len()).sum();
    assert!(matches!(
        writes[0].kind,
        PendingWriteKind::StartWatermarks(_)
    ));
    assert_eq!((writes.len(), changes, left), (6, 11, 1));
    // A large write that must wait isn't passed by later, smaller ones.
    w.scheduler.request_cancellation("run-99", w.now);
    let due = w.scheduler.pending_final_writes(12);
    assert_eq!(take_affordable(due, &mut 1).len(), 0);
}

/// A final state exists from the moment its transaction is applied, which may be before its writer
/// knows, or without it ever knowing: another node may have told it already. From its sending until
/// that is known the leader says nothing of the job by itself.
#[test]
fn a_final_state_on_its_way_is_not_talked_over() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.tasks = 1));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0).heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    w.view("run-1");
    w.scheduler.request_cancellation("run-1", w.now);
    let writes = w.scheduler.pending_final_writes(12);
    w.scheduler.mark_sent(&writes);
    w.note("the cancellation is sent").view("run-1");
    w.scheduler.mark_not_written(&writes);
    w.at(6.1).note("it was surely refused").view("run-1");
    w.scheduler.mark_sent(&writes);
    w.scheduler.mark_unanswered(&writes);
    w.at(6.2).note("sent again, it got no answer").view("run-1");
    w.scheduler.mark_sent(&writes);
    w.scheduler.mark_not_written(&writes);
    w.at(6.3)
        .note("sent once more, that one was refused")
        .view("run-1");
    w.scheduler.apply_written(&writes[0], 200);
    w.at(6.4).note("the fourth was written").view("run-1");
    assert_snapshot!(w.log);
}

/// From the moment a user asks for it, a cancelled job's tasks are stopped and nothing of it starts. It
/// is recorded once no start of it is under way, since that would come after the user was told.
#[test]
fn a_cancellation_waits_for_starts_under_way() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(0.5).job(submission("run-1", |s| s.tasks = 2));
    w.on_timer(1.0);
    let call = w.scheduler.next_direct(at(1.0)).unwrap();
    w.note("a direct call with its starts is under way");
    w.scheduler.request_cancellation("run-1", w.now);
    w.at(1.1).round(true);
    let report = w.report(
        "big-east-1",
        2,
        1,
        &["run-1/0#2.1 fetching", "run-1/1#2.2 fetching"],
    );
    w.scheduler
        .direct_done(&call, DirectResult::Answered(report), at(1.2));
    w.at(1.2).note("answered").round(true).view("run-1");
    w.direct(|w| {
        let stopped = ["run-1/0#2.1 stopped", "run-1/1#2.2 stopped"];
        DirectResult::Answered(w.report("big-east-1", 2, 1, &stopped))
    });
    w.at(2.0).round(true);
    w.job(submission("run-2", |s| s.tasks = 1));
    w.scheduler.request_cancellation("run-2", w.now);
    w.note("run-2 is cancelled before anything of it starts")
        .round(true);
    assert_snapshot!(w.log);
}
