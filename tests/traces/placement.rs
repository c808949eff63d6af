//! Placement: the machines on which tasks start, and the attempts that are preempted for them.

use crate::trace::{LeaderTrace, decimal, one_team, submission, team};
use aspenreel::http::MAX_REQUEST_BODY_BYTES;
use aspenreel::http::cbor::json_len;
use aspenreel::jobs::Priority;
use aspenreel::store::to_value;
use aspenreel::workers::wire::{ExitReason, ReportedTask, TaskStatus};
use insta::assert_snapshot;

/// With `spread`, at most half of the tasks, rounded up, are in one zone. With `samePlace`, all are in one zone.
#[test]
fn spread_and_same_place_limit_the_zones_of_tasks() {
    let mut trace = LeaderTrace::new(2, one_team());
    for name in ["big-east-1", "small-west-1", "small-west-2"] {
        trace.heartbeat(name, &[]);
    }
    trace.job(submission("run-1", |s| {
        s.tasks = 5;
        s.spread = true;
    }));
    trace.job(submission("run-2", |s| {
        s.tasks = 4;
        s.same_zone = true;
    }));
    trace.on_timer(1.0).bound();
    assert_snapshot!(trace.log);
}

/// A job preempts attempts of lower priority. A job within its team's guarantee also reclaims capacity that other
/// teams have borrowed, but never from attempts of higher priority.
#[test]
fn preemption_follows_priorities_and_team_guarantees() {
    let teams = vec![team("a", 0.0, 100.0), team("b", 16.0, 100.0)];
    let mut trace = LeaderTrace::new(2, teams);
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| {
        s.tasks = 4;
        s.cpus = decimal(8.0);
    }));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    let running = [
        "run-1/0#2.1 running",
        "run-1/1#2.2 running",
        "run-1/2#2.3 running",
        "run-1/3#2.4 running",
    ];
    trace.at(2.0).heartbeat("big-east-1", &running);
    trace.at(5.0).job(submission("run-2", |s| {
        s.team = "b".into();
        s.tasks = 1;
        s.cpus = decimal(16.0);
    }));
    trace.at(5.1).heartbeat("big-east-1", &running);
    let remaining = ["run-1/2#2.3 running", "run-1/3#2.4 running"];
    trace.at(6.0).heartbeat("big-east-1", &remaining);
    let both = [
        "run-1/2#2.3 running",
        "run-1/3#2.4 running",
        "run-2/0#2.5 running",
    ];
    trace.at(8.0).heartbeat("big-east-1", &both);
    trace.job(submission("run-3", |s| {
        s.tasks = 3;
        s.cpus = decimal(8.0);
        s.priority = Priority::High;
    }));
    trace.at(9.0).heartbeat("big-east-1", &both);
    assert_snapshot!(trace.log);
}

/// A task that fails on every machine is retried with an increasing backoff. A machine on which tasks of several jobs
/// fail counts as faulty and gets no more tasks.
#[test]
fn failing_jobs_back_off_and_a_faulty_machine_gets_no_tasks() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.job(submission("run-2", |s| s.tasks = 1));
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace
        .at(2.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 error", "run-2/0#2.2 error"]);
    let faulty = trace.scheduler.machines["big-east-1"]
        .failures
        .is_machine_faulty();
    trace.note(&format!("big-east-1 faulty: {faulty}"));
    for (i, t) in [(2, 3.0), (3, 5.0), (4, 7.0)] {
        let name = format!("big-east-{i}");
        trace.at(t).heartbeat(&name, &[]);
        trace.at(t + 0.5).heartbeat(&name, &[]);
    }
    assert_snapshot!(trace.log);
}

/// Guards against a machine that loses all of its work because its report is too large for a request: a huge array of
/// tiny tasks is placed on a machine only while the report has room for them, running or exited.
#[test]
fn tiny_tasks_do_not_make_a_report_too_large() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-000001", |s| {
        s.tasks = 100_000;
        s.cpus = decimal(0.01);
        s.ram_gb = decimal(0.01);
    }));
    trace.on_timer(1.0);
    let mut report = trace.next_heartbeat("big-east-1", 2, 1, &[]);
    for second in [3.0, 6.0] {
        let attempts = trace.scheduler.machines["big-east-1"].attempts.keys();
        report.tasks = attempts
            .map(|key| ReportedTask {
                task_id: format!("run-000001/{}", key.task),
                attempt: key.attempt,
                status: TaskStatus::Exited,
                exit_reason: Some(ExitReason::Done),
                checkpointed: Some(false),
            })
            .collect();
        let size = json_len(&to_value(&report));
        assert!(size <= MAX_REQUEST_BODY_BYTES, "{size} bytes");
        assert!(report.tasks.len() > 500, "too few tasks start");
        // None of them is cleared before the done set is written, and none of the next ones may start.
        report.sequence += 1;
        trace.at(second).send(&report);
    }
}

/// Guards against tasks without CPUs that wait beside a machine on which only CPUs are used up.
#[test]
fn tasks_without_cpus_start_where_all_cpus_are_in_use() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-1", |s| {
        s.tasks = 1;
        s.cpus = decimal(32.0);
    }));
    trace.on_timer(1.0);
    trace.job(submission("run-2", |s| {
        s.tasks = 1;
        s.cpus = decimal(0.0);
    }));
    trace.on_timer(2.0);
    assert_eq!(busy_attempts(&trace), 2);
}

/// Guards against tasks that wait beside an empty machine: many small tasks have filled its report, end together and are
/// cleared. No other event follows.
#[test]
fn tasks_are_placed_once_a_full_report_has_room_again() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.job(submission("run-000001", |s| {
        s.tasks = 2_000;
        s.cpus = decimal(0.01);
        s.ram_gb = decimal(0.01);
    }));
    trace.on_timer(1.0);
    let attempts = trace.scheduler.machines["big-east-1"].attempts.keys();
    let ended: Vec<String> = attempts
        .map(|key| {
            let counter = key.attempt & u64::from(u32::MAX);
            format!("run-000001/{}#2.{counter} done", key.task)
        })
        .collect();
    let ended: Vec<&str> = ended.iter().map(String::as_str).collect();
    trace.at(3.0).heartbeat("big-east-1", &ended);
    trace.write_round(true);
    trace.scheduler.run_placement_pass(trace.now);
    assert_eq!(busy_attempts(&trace), 0);
    trace.at(6.0);
    let cleared = trace.next_heartbeat("big-east-1", 2, 1, &[]);
    trace.scheduler.heartbeat(&cleared, trace.now);
    assert!(busy_attempts(&trace) > 500, "nothing was placed");
}

/// Starts two jobs on the only machine, and reports that both fail there.
fn jobs_that_fail(trace: &mut LeaderTrace) {
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.job(submission("run-2", |s| s.tasks = 1));
    trace.heartbeat("big-east-1", &[]);
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace
        .at(2.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 error", "run-2/0#2.2 error"]);
    trace.job(submission("run-3", |s| s.tasks = 1));
}

/// Number of attempts that the machine runs or starts.
fn busy_attempts(trace: &LeaderTrace) -> usize {
    let attempts = trace.scheduler.machines["big-east-1"].attempts.values();
    attempts.filter(|attempt| attempt.holds_resources()).count()
}

/// Guards against a job that waits beside a sound machine: the failures of jobs with a mistake no longer count against
/// the machine once their users have cancelled them.
#[test]
fn failures_of_cancelled_jobs_do_not_exclude_a_machine() {
    let mut trace = LeaderTrace::new(2, one_team());
    jobs_that_fail(&mut trace);
    trace.at(5.0).heartbeat("big-east-1", &[]);
    assert_eq!(busy_attempts(&trace), 0);
    for id in ["run-1", "run-2"] {
        trace.scheduler.request_cancellation(id, trace.now);
    }
    trace.at(8.0).heartbeat("big-east-1", &[]);
    assert_eq!(busy_attempts(&trace), 1);
}

/// Guards against the same where nobody cancels the jobs and they have too few machines to be found at fault: the
/// machine is tried again before a job has waited for 90 s.
#[test]
fn machine_excluded_for_failures_is_tried_again() {
    let mut trace = LeaderTrace::new(2, one_team());
    jobs_that_fail(&mut trace);
    for second in (5..=86).step_by(3) {
        trace
            .on_timer(f64::from(second))
            .heartbeat("big-east-1", &[]);
        if busy_attempts(&trace) > 0 {
            return;
        }
    }
    panic!("no task starts:\n{}", trace.log);
}

/// A job whose first task is preempted soon after its start doesn't count as begun. It goes on waiting, and a task
/// that starts after it became overdue isn't preempted for other jobs.
#[test]
fn job_preempted_soon_after_its_start_has_not_begun() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("small-east-1", &[]);
    trace.job(submission("run-1", |s| {
        s.tasks = 2;
        s.cpus = decimal(8.0);
    }));
    trace.at(3.0).heartbeat("small-east-1", &[]);
    trace
        .at(6.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 running"]);
    for n in 2..60 {
        trace.job(submission(&format!("run-{n}"), |s| {
            s.tasks = 1;
            s.cpus = decimal(8.0);
            s.priority = Priority::High;
        }));
    }
    trace
        .at(9.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 running"]);
    trace
        .at(12.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 stopped"]);
    let has_begun = |trace: &LeaderTrace| trace.scheduler.jobs.get("run-1").unwrap().has_begun();
    let early = has_begun(&trace);
    trace.note(&format!("run-1 has begun: {early}"));
    trace
        .at(95.0)
        .heartbeat("small-east-1", &["run-2/0#2.2 done"])
        .bound();
    let task = "run-1/0#2.3 running";
    trace.at(98.0).heartbeat("small-east-1", &[task]).bound();
    trace.at(120.0).heartbeat("small-east-1", &[task]);
    trace.at(130.0).heartbeat("small-east-1", &[task]).bound();
    let late = has_begun(&trace);
    trace.note(&format!("run-1 has begun: {late}"));
    assert_snapshot!(trace.log);
}

/// A task that needs a whole machine preempts nothing on machines where it would still not fit afterwards. Otherwise
/// the preempted task starts again in the capacity that it left and is preempted again: this happened thousands of
/// times in a row.
#[test]
fn nothing_is_preempted_where_the_new_task_would_not_fit() {
    let mut trace = LeaderTrace::new(2, one_team());
    for name in ["small-east-1", "small-east-2"] {
        trace.heartbeat(name, &[]);
    }
    // Each machine has one task that can't be preempted for it, and one that can.
    trace.job(submission("run-1", |s| s.priority = Priority::High));
    trace.at(1.0).heartbeat("small-east-1", &[]);
    trace.heartbeat("small-east-2", &[]);
    trace.job(submission("run-2", |s| s.priority = Priority::Low));
    trace
        .at(2.0)
        .heartbeat("small-east-1", &["run-1/1#2.2 running"]);
    trace.heartbeat("small-east-2", &["run-1/0#2.1 running"]);
    trace.at(2.1).bound();
    trace.job(submission("run-3", |s| {
        s.tasks = 1;
        s.cpus = decimal(8.0);
        s.priority = Priority::High;
    }));
    trace.on_timer(3.0).bound();
    let both = [
        (
            "small-east-1",
            ["run-1/1#2.2 running", "run-2/1#2.4 running"],
        ),
        (
            "small-east-2",
            ["run-1/0#2.1 running", "run-2/0#2.3 running"],
        ),
    ];
    for (name, tasks) in both {
        trace.at(4.0).heartbeat(name, &tasks);
    }
    trace.at(4.1).bound();
    assert_snapshot!(trace.log);
}
