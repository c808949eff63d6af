//! Tests of the simulation's checker: for each rule there is a case that violates it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel_simulation::checker::*;
use aspenreel_simulation::scheduler::secs;

fn place(machine: &str, zone: &str) -> Place {
    Place {
        machine: machine.into(),
        zone: zone.into(),
        spot: true,
    }
}

/// Answer with this job state, or without one if `state` is empty. Times are in seconds.
fn answer(kind: RequestKind, sent: f64, got: f64, status: u16, state: &str) -> Answer {
    Answer {
        kind,
        node: 0,
        sent: secs(sent),
        got: secs(got),
        status,
        state: (!state.is_empty()).then(|| state.to_string()),
    }
}

/// Checker that knows one accepted job: `run-1` of team `a` with two tasks of 4 CPUs, changed by `edit`. The team's
/// limit is 8 CPUs, and a cancellation may take 40 seconds.
fn accepted(edit: impl Fn(&mut JobPlan)) -> Checker {
    let mut checker = Checker::new(&[("a", 8.0)], 40.0);
    let mut plan = JobPlan::new(1, 2, 4.0, 10.0);
    edit(&mut plan);
    checker.submitted(&plan);
    checker.answered(
        "run-1",
        &answer(RequestKind::Submit, 0.0, 1.0, 201, "queued"),
    );
    assert_eq!(checker.violations, Vec::<String>::new());
    checker
}

/// Names of the violated rules, in the order of the violations.
fn rules(checker: &Checker) -> Vec<&str> {
    let word = |text: &String| -> usize { text.find(' ').unwrap() + 1 };
    let rule = |t| -> &str { &t[word(t)..t.find(": ").unwrap()] };
    checker
        .violations
        .iter()
        .map(|t: &String| rule(t))
        .collect()
}

#[test]
fn task_on_two_machines_violates_ran_twice() {
    let mut checker = accepted(|_| ());
    checker.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    checker.task_stopped("run-1", 0, "m", false);
    checker.task_started("run-1", 0, &place("n", "east"), secs(3.0));
    assert_eq!(rules(&checker), [""; 0]);
    checker.task_started("run-1", 0, &place("m", "east"), secs(4.0));
    assert_eq!(rules(&checker), ["ran_twice"]);
}

#[test]
fn starts_above_the_team_limit_violate_quota_exceeded() {
    let mut checker = accepted(|p| p.tasks = 3);
    for task in 0..2 {
        checker.task_started("run-1", task, &place("m", "east"), secs(2.0));
    }
    assert_eq!(rules(&checker), [""; 0]);
    checker.task_started("run-1", 2, &place("n", "east"), secs(3.0));
    assert_eq!(rules(&checker), ["quota_exceeded"]);
}

#[test]
fn starts_on_machines_that_the_job_excludes_violate_wrong_place() {
    let mut zone = accepted(|p| p.zone = Some("west".into()));
    zone.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    let mut spot = accepted(|p| p.spot = false);
    spot.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    let mut same_zone = accepted(|p| p.same_zone = true);
    same_zone.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    same_zone.task_started("run-1", 1, &place("n", "west"), secs(3.0));
    let mut spread = accepted(|p| p.spread = true);
    spread.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    spread.task_started("run-1", 1, &place("n", "east"), secs(3.0));
    for checker in [zone, spot, same_zone, spread] {
        assert_eq!(rules(&checker), ["wrong_place"]);
    }
}

#[test]
fn tasks_of_a_cancelled_job_after_the_time_limit_violate_ran_cancelled() {
    let mut checker = accepted(|_| ());
    checker.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    checker.cancel_requested("run-1");
    checker.answered(
        "run-1",
        &answer(RequestKind::Cancel, 3.0, 4.0, 200, "cancelled"),
    );
    checker.task_started("run-1", 1, &place("m", "east"), secs(5.0));
    checker.check_time_limits(secs(44.0));
    assert_eq!((rules(&checker), checker.late_starts.len()), (vec![], 1));
    checker.task_stopped("run-1", 1, "m", false);
    checker.check_time_limits(secs(44.1));
    checker.task_stopped("run-1", 0, "m", false);
    checker.check_time_limits(secs(44.2));
    checker.task_started("run-1", 1, &place("m", "east"), secs(45.0));
    assert_eq!(rules(&checker), ["ran_cancelled"; 2]);
}

#[test]
fn refused_or_unanswered_requests_for_an_accepted_job_violate_job_lost() {
    let mut checker = accepted(|_| ());
    checker.answered("run-1", &answer(RequestKind::Status, 0.5, 2.0, 404, ""));
    assert_eq!(
        rules(&checker),
        [""; 0],
        "the request was sent before the job was accepted"
    );
    checker.answered("run-1", &answer(RequestKind::Status, 2.0, 2.1, 404, ""));
    checker.answered(
        "run-1",
        &answer(RequestKind::MalformedSubmit, 2.0, 2.1, 400, ""),
    );
    checker.answered("run-1", &answer(RequestKind::Submit, 2.0, 2.1, 422, ""));
    checker.answered("run-1", &answer(RequestKind::Cancel, 2.0, 2.1, 404, ""));
    assert_eq!(rules(&checker), ["job_lost"; 4]);
    let mut checker = accepted(|_| ());
    checker.unanswered("run-1", RequestKind::Status, secs(5.0), secs(7.0));
    checker.unanswered("run-1", RequestKind::Status, secs(95.0), secs(96.0));
    assert_eq!(rules(&checker), ["job_lost"]);
}

#[test]
fn jobs_without_an_answer_after_all_faults_violate_job_lost() {
    let mut checker = accepted(|_| ());
    checker.faults_ended(secs(30.0), secs(15.0));
    let ask = |checker: &mut Checker, sent: f64| {
        checker.unanswered("run-1", RequestKind::Status, secs(sent), secs(sent + 2.0));
    };
    ask(&mut checker, 5.0);
    ask(&mut checker, 42.0);
    assert_eq!(rules(&checker), [""; 0], "faults ended 14 s ago");
    ask(&mut checker, 44.0);
    assert_eq!(rules(&checker), ["job_lost"]);
    checker.answered(
        "run-1",
        &answer(RequestKind::Status, 47.0, 48.0, 200, "queued"),
    );
    ask(&mut checker, 50.0);
    ask(&mut checker, 60.0);
    assert_eq!(rules(&checker), ["job_lost"], "a new question was answered");
}

#[test]
fn answers_and_starts_of_unsubmitted_jobs_violate_unknown_job() {
    let mut checker = accepted(|_| ());
    checker.answered("run-2", &answer(RequestKind::Status, 2.0, 3.0, 404, ""));
    assert_eq!(rules(&checker), [""; 0]);
    checker.answered(
        "run-2",
        &answer(RequestKind::Status, 2.0, 3.0, 200, "queued"),
    );
    checker.task_started("run-2", 0, &place("m", "east"), secs(2.0));
    assert_eq!(rules(&checker), ["unknown_job"; 2]);
}

#[test]
fn done_state_before_all_tasks_are_done_violates_done_too_early() {
    let mut checker = accepted(|_| ());
    checker.task_stopped("run-1", 0, "m", true);
    checker.answered("run-1", &answer(RequestKind::Status, 2.0, 3.0, 200, "done"));
    assert_eq!(rules(&checker), ["done_too_early"]);
}

#[test]
fn contradictory_or_unrequested_states_violate_state_reverted() {
    let done = || {
        let mut checker = accepted(|_| ());
        checker.task_stopped("run-1", 0, "m", true);
        checker.task_stopped("run-1", 1, "m", true);
        checker.answered("run-1", &answer(RequestKind::Status, 2.0, 3.0, 200, "done"));
        checker
    };
    let mut checker = done();
    checker.answered(
        "run-1",
        &answer(RequestKind::Status, 2.9, 3.1, 200, "running"),
    );
    assert_eq!(
        rules(&checker),
        [""; 0],
        "the request was sent before the job was known to be done"
    );
    checker.answered(
        "run-1",
        &answer(RequestKind::Status, 3.0, 3.1, 200, "running"),
    );
    assert_eq!(rules(&checker), ["state_reverted"]);
    let mut checker = done();
    checker.cancel_requested("run-1");
    checker.answered(
        "run-1",
        &answer(RequestKind::Cancel, 2.9, 3.1, 200, "cancelled"),
    );
    assert_eq!(
        rules(&checker),
        ["state_reverted"],
        "the job has two final states"
    );
    let mut checker = accepted(|_| ());
    checker.answered(
        "run-1",
        &answer(RequestKind::Status, 2.0, 3.0, 200, "cancelled"),
    );
    assert_eq!(
        rules(&checker),
        ["state_reverted"],
        "the job was not cancelled by a user"
    );
}
