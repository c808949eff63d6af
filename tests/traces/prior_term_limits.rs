//! Team quotas and zone constraints count the tasks that unreconciled machines may still run.

use crate::trace::{LeaderTrace, one_team, submission, team};
use insta::assert_snapshot;

/// A team's limit counts the tasks that unreconciled machines may still run.
#[test]
fn team_limit_counts_tasks_of_unreconciled_machines() {
    let mut trace = LeaderTrace::new(2, vec![team("a", 8.0, 12.0)]);
    trace.prior_term_machine("big-east-9", -1.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    trace.at(0.1).job(submission("run-2", |s| s.tasks = 3));
    trace
        .at(1.0)
        .heartbeat("big-east-1", &[])
        .on_timer(1.1)
        .bound();
    let report = trace.next_heartbeat("big-east-9", 2, 1, &["run-1/0#1.1 running"]);
    trace.at(2.0).send(&report).bound();
    assert_snapshot!(trace.log);
}

/// After a failover a team's limit counts the tasks that unreconciled machines may run, but no more than the capacity
/// of these machines. Done tasks count as well: a command of the previous leader may start them once more.
#[test]
fn team_limit_counts_at_most_the_capacity_of_unreconciled_machines() {
    let mut trace = LeaderTrace::new(5, vec![team("a", 40.0, 40.0)]);
    trace.prior_term_machine("small-east-9", -1.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 3));
    trace
        .scheduler
        .apply_done_record("run-1", 0, &done_record("0-1"), 50);
    trace.job(submission("run-2", |s| s.tasks = 10));
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).heartbeat("big-east-1", &[]).bound();
    let report = trace.next_heartbeat("small-east-9", 4, 1, &[]);
    trace.note("the unseen machine turns out to be a small one: 8 CPUs");
    trace.at(2.0).send(&report);
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

/// Tasks that unreconciled machines may run may be in any zone. A job that must be in one zone therefore waits, and
/// of a job that is spread only as many tasks start as the worst case allows.
#[test]
fn zone_constraints_count_tasks_of_unreconciled_machines() {
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
    let report = trace.next_heartbeat("small-west-9", 5, 1, &["run-1/0#4.1 running"]);
    trace.at(2.0).send(&report);
    trace.at(3.0).heartbeat("big-east-1", &[]).bound();
    assert_snapshot!(trace.log);
}
