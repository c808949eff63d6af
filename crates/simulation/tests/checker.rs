//! Each rule of the checker has a case in which it fires.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use aspenreel_simulation::checker::*;
use aspenreel_simulation::scheduler::secs;

fn place(machine: &str, zone: &str) -> Place {
    Place {
        machine: machine.into(),
        zone: zone.into(),
        spot: true,
    }
}

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

fn accepted(edit: impl Fn(&mut JobPlan)) -> Checker {
    let mut c = Checker::new(&[("a", 8.0)], 40.0);
    let mut plan = JobPlan::new(1, 2, 4.0, 10.0);
    edit(&mut plan);
    c.submitted(&plan);
    c.answered(
        "run-1",
        &answer(RequestKind::Submit, 0.0, 1.0, 201, "queued"),
    );
    assert_eq!(c.violations, Vec::<String>::new());
    c
}

fn rules(c: &Checker) -> Vec<&str> {
    let word = |text: &String| -> usize { text.find(' ').unwrap() + 1 };
    let rule = |t| -> &str { &t[word(t)..t.find(": ").unwrap()] };
    c.violations.iter().map(|t: &String| rule(t)).collect()
}

#[test]
fn a_task_on_two_machines() {
    let mut c = accepted(|_| ());
    c.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    c.task_stopped("run-1", 0, "m", false);
    c.task_started("run-1", 0, &place("n", "east"), secs(3.0));
    assert_eq!(rules(&c), [""; 0]);
    c.task_started("run-1", 0, &place("m", "east"), secs(4.0));
    assert_eq!(rules(&c), ["ran_twice"]);
}

#[test]
fn more_than_the_team_may_use() {
    let mut c = accepted(|p| p.tasks = 3);
    for task in 0..2 {
        c.task_started("run-1", task, &place("m", "east"), secs(2.0));
    }
    assert_eq!(rules(&c), [""; 0]);
    c.task_started("run-1", 2, &place("n", "east"), secs(3.0));
    assert_eq!(rules(&c), ["quota"]);
}

#[test]
fn places_that_the_job_does_not_allow() {
    let mut c = accepted(|p| p.zone = Some("west".into()));
    c.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    let mut spot = accepted(|p| p.spot = false);
    spot.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    let mut same = accepted(|p| p.same_zone = true);
    same.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    same.task_started("run-1", 1, &place("n", "west"), secs(3.0));
    let mut spread = accepted(|p| p.spread = true);
    spread.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    spread.task_started("run-1", 1, &place("n", "east"), secs(3.0));
    for c in [c, spot, same, spread] {
        assert_eq!(rules(&c), ["wrong_place"]);
    }
}

#[test]
fn tasks_of_a_cancelled_job() {
    let mut c = accepted(|_| ());
    c.task_started("run-1", 0, &place("m", "east"), secs(2.0));
    c.cancel_requested("run-1");
    c.answered(
        "run-1",
        &answer(RequestKind::Cancel, 3.0, 4.0, 200, "cancelled"),
    );
    c.task_started("run-1", 1, &place("m", "east"), secs(5.0));
    c.check_time_limits(secs(44.0));
    assert_eq!((rules(&c), c.late_starts.len()), (vec![], 1));
    c.task_stopped("run-1", 1, "m", false);
    c.check_time_limits(secs(44.1));
    c.task_stopped("run-1", 0, "m", false);
    c.check_time_limits(secs(44.2));
    c.task_started("run-1", 1, &place("m", "east"), secs(45.0));
    assert_eq!(rules(&c), ["ran_cancelled"; 2]);
}

#[test]
fn jobs_that_are_forgotten() {
    let mut c = accepted(|_| ());
    c.answered("run-1", &answer(RequestKind::Status, 0.5, 2.0, 404, ""));
    assert_eq!(
        rules(&c),
        [""; 0],
        "it was asked before the job was accepted"
    );
    c.answered("run-1", &answer(RequestKind::Status, 2.0, 2.1, 404, ""));
    c.answered(
        "run-1",
        &answer(RequestKind::MalformedSubmit, 2.0, 2.1, 400, ""),
    );
    c.answered("run-1", &answer(RequestKind::Submit, 2.0, 2.1, 422, ""));
    c.answered("run-1", &answer(RequestKind::Cancel, 2.0, 2.1, 404, ""));
    assert_eq!(rules(&c), ["forgotten"; 4]);
    let mut c = accepted(|_| ());
    c.unanswered("run-1", RequestKind::Status, secs(5.0), secs(7.0));
    c.unanswered("run-1", RequestKind::Status, secs(95.0), secs(96.0));
    assert_eq!(rules(&c), ["forgotten"]);
}

#[test]
fn jobs_that_nobody_submitted() {
    let mut c = accepted(|_| ());
    c.answered("run-2", &answer(RequestKind::Status, 2.0, 3.0, 404, ""));
    assert_eq!(rules(&c), [""; 0]);
    c.answered(
        "run-2",
        &answer(RequestKind::Status, 2.0, 3.0, 200, "queued"),
    );
    c.task_started("run-2", 0, &place("m", "east"), secs(2.0));
    assert_eq!(rules(&c), ["invented"; 2]);
}

#[test]
fn jobs_called_done_too_soon() {
    let mut c = accepted(|_| ());
    c.task_stopped("run-1", 0, "m", true);
    c.answered("run-1", &answer(RequestKind::Status, 2.0, 3.0, 200, "done"));
    assert_eq!(rules(&c), ["not_done"]);
}

#[test]
fn answers_that_go_back() {
    let done = || {
        let mut c = accepted(|_| ());
        c.task_stopped("run-1", 0, "m", true);
        c.task_stopped("run-1", 1, "m", true);
        c.answered("run-1", &answer(RequestKind::Status, 2.0, 3.0, 200, "done"));
        c
    };
    let mut c = done();
    c.answered(
        "run-1",
        &answer(RequestKind::Status, 2.9, 3.1, 200, "running"),
    );
    assert_eq!(rules(&c), [""; 0], "it was asked before");
    c.answered(
        "run-1",
        &answer(RequestKind::Status, 3.0, 3.1, 200, "running"),
    );
    assert_eq!(rules(&c), ["went_back"]);
    let mut c = done();
    c.cancel_requested("run-1");
    c.answered(
        "run-1",
        &answer(RequestKind::Cancel, 2.9, 3.1, 200, "cancelled"),
    );
    assert_eq!(rules(&c), ["went_back"], "it ended in two ways");
    let mut c = accepted(|_| ());
    c.answered(
        "run-1",
        &answer(RequestKind::Status, 2.0, 3.0, 200, "cancelled"),
    );
    assert_eq!(rules(&c), ["went_back"], "nobody cancelled it");
}
