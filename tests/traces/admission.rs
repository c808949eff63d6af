//! What outsiders can make a leader hold is bounded.

use crate::trace::{LeaderTrace, at, one_team, submission};
use insta::assert_snapshot;

/// What outsiders can make a leader hold is bounded: jobs by their bytes, large ones by their tasks,
/// machines by their number, and images that take no room in a cache.
#[test]
fn memory_is_bounded() {
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
    let m = trace.scheduler.machines.get_mut("big-east-1").unwrap();
    for n in 0..1000 {
        m.images
            .note_use(&format!("img-{n}"), 0.0, true, 50.0, at(n.into()));
    }
    let images = m.images.values().count();
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

/// The mark that no more jobs are accepted is written until that is known, before its opposite is: a
/// late one would undo it, and nobody would accept anything for as long as this leader leads.
#[test]
fn the_mark_of_being_full_is_never_in_doubt_for_long() {
    let mut mark = aspenreel::jobs::AdmissionGate::default();
    assert_eq!(
        (mark.next_write(false), mark.next_write(true)),
        (None, Some(true))
    );
    mark.unconfirmed = Some(true);
    assert_eq!(mark.next_write(false), Some(true));
    mark.confirm(true, 7);
    assert_eq!(
        (mark.next_write(true), mark.next_write(false)),
        (None, Some(false))
    );
    mark.unconfirmed = Some(false);
    assert_eq!(mark.next_write(true), Some(false));
    mark.confirm(false, 0);
    assert_eq!((mark.next_write(false), mark.revision), (None, 0));
}
