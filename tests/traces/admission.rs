//! Limits on the memory that jobs and machines take in a leader.

use crate::trace::{LeaderTrace, at, one_team, submission};
use insta::assert_snapshot;

/// The memory that requests and heartbeats can take in a leader is limited: jobs count by their bytes, which for
/// large jobs grow with the number of tasks, machines by their number. The number of remembered images of a machine
/// is limited too, also if they are reported with size 0 and so never exceed the capacity of its cache.
#[test]
fn jobs_machines_and_images_are_limited_in_memory() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.scheduler.config.job_bytes = 100_000;
    trace.scheduler.config.max_machines = 2;
    let mut n = 0;
    while !trace.scheduler.is_full(false) {
        n += 1;
        trace.job(submission(&format!("run-{n}"), |s| s.tasks = 1));
    }
    trace.note(&format!("full after {n} small jobs"));
    let retire = |trace: &mut LeaderTrace, id: &str| {
        let job = trace.scheduler.jobs.find(id).unwrap();
        trace.scheduler.forget_job(job);
    };
    retire(&mut trace, "run-1");
    let states = (
        trace.scheduler.is_full(false),
        trace.scheduler.is_full(true),
    );
    trace.note(&format!(
        "one less: full {states:?} if it was not, if it was"
    ));
    for n in 2..=8 {
        retire(&mut trace, &format!("run-{n}"));
    }
    let full = trace.scheduler.is_full(true);
    trace.note(&format!("a tenth less: full {full}"));
    trace.job(submission("run-999", |s| s.tasks = 100_000));
    let full = trace.scheduler.is_full(false);
    trace.note(&format!("one of 100,000 tasks more: full {full}"));
    for n in 1..=3 {
        trace.heartbeat(&format!("big-east-{n}"), &[]);
    }
    let machine = trace.scheduler.machines.get_mut("big-east-1").unwrap();
    for n in 0..1000 {
        machine
            .images
            .note_use(&format!("img-{n}"), 0.0, true, 50.0, at(n.into()));
    }
    let images = machine.images.values().count();
    trace.note(&format!(
        "{images} of 1000 images of no size are remembered"
    ));
    assert_snapshot!(
        trace
            .log
            .lines()
            .filter(|l| !l.contains("accepted"))
            .collect::<Vec<_>>()
            .join("\n")
    );
}

/// A write that closes or opens the admission gate is repeated until it is confirmed, before the opposite is
/// written. Otherwise the unconfirmed write could be executed late and undo the opposite one, and no controller
/// would accept jobs for the rest of this leader's term.
#[test]
fn unconfirmed_gate_write_is_repeated_before_the_opposite_write() {
    let mut gate = aspenreel::jobs::AdmissionGate::default();
    assert_eq!(
        (gate.next_write(false), gate.next_write(true)),
        (None, Some(true))
    );
    gate.unconfirmed = Some(true);
    assert_eq!(gate.next_write(false), Some(true));
    gate.confirm(true, 7);
    assert_eq!(
        (gate.next_write(true), gate.next_write(false)),
        (None, Some(false))
    );
    gate.unconfirmed = Some(false);
    assert_eq!(gate.next_write(true), Some(false));
    gate.confirm(false, 0);
    assert_eq!((gate.next_write(false), gate.revision), (None, 0));
}
