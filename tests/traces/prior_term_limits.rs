//! Quotas and zones count what machines that were not heard from may still run.

use crate::trace::{LeaderTrace, one_team, submission, team};
use insta::assert_snapshot;

/// A team's limit counts what machines that were not heard from may still run.
#[test]
fn quota_counts_unseen_machines() {
    let mut trace = LeaderTrace::new(2, vec![team("a", 8.0, 12.0)]);
    trace.prior_term_machine("big-east-9", -1.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    trace.at(0.1).job(submission("run-2", |s| s.tasks = 3));
    trace
        .at(1.0)
        .heartbeat("big-east-1", &[])
        .on_timer(1.1)
        .bound();
    let seen = trace.report("big-east-9", 2, 1, &["run-1/0#1.1 running"]);
    trace.at(2.0).send(&seen).bound();
    assert_snapshot!(trace.log);
}

/// At a failover a team's limit counts what unreconciled machines may run, tasks that are done as well (an
/// order of the last leader may start them once more), but no more than these machines hold.
#[test]
fn limits_count_what_unseen_machines_can_hold() {
    let mut trace = LeaderTrace::new(5, vec![team("a", 40.0, 40.0)]);
    trace.prior_term_machine("small-east-9", -1.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 3));
    trace
        .scheduler
        .apply_done_record("run-1", 0, &done_record("0-1"), 50);
    trace.job(submission("run-2", |s| s.tasks = 10));
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).heartbeat("big-east-1", &[]).bound();
    let old = trace.report("small-east-9", 4, 1, &[]);
    trace.note("the unseen machine turns out to be a small one: 8 CPUs");
    trace.at(2.0).send(&old);
    trace.at(3.0).heartbeat("big-east-2", &[]);
    trace.at(4.0).heartbeat("big-east-2", &[]).bound();
    assert_snapshot!(trace.log);
}

fn done_record(set: &str) -> aspenreel::jobs::DoneRecord {
    aspenreel::jobs::DoneRecord {
        state: None,
        set: set.into(),
    }
}

/// What an unreconciled machine may run of a job may be in any zone: a job that must be in one zone waits,
/// and of one that is spread as many may start as in the worst case.
#[test]
fn zones_count_what_unseen_machines_may_run() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("small-west-9", -1.0);
    for (id, one_zone) in [("run-1", true), ("run-2", false)] {
        trace.job_with_watermark(
            submission(id, |s| {
                s.tasks = 6;
                s.same_zone = one_zone;
                s.spread = !one_zone;
            }),
            2,
        );
    }
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).heartbeat("big-east-1", &[]).bound();
    let seen = trace.report("small-west-9", 5, 1, &["run-1/0#4.1 running"]);
    trace.at(2.0).send(&seen);
    trace.at(3.0).heartbeat("big-east-1", &[]).bound();
    assert_snapshot!(trace.log);
}
