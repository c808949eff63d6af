//! Kept traces: what a leader does, event by event. Each guards one promise.

#[path = "traces/orders.rs"]
mod orders;
#[path = "common/trace.rs"]
mod trace;

use aspenreel::jobs::rounds::{WriteKind, affordable};
use aspenreel::jobs::spec::{Priority, Shape, Submission};
use aspenreel::provisioning::ProvisioningResult;
use aspenreel::settings::Objective;
use aspenreel::workers::direct::DirectResult;
use insta::assert_snapshot;
use std::collections::BTreeMap;
use trace::{SimWorker, World, at, decimal, submission, team};

fn one_team() -> Vec<aspenreel::settings::TeamSettings> {
    vec![team("a", 100.0, 100.0)]
}

/// A done task counts, and is cleared, only once its done set is written.
#[test]
fn settling() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.pieces = 2));
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
    w.old_job(submission("run-1", |s| s.pieces = 1));
    w.heartbeat("big-east-1", &["run-1/0#1.7 running"]);
    w.heartbeat("big-east-2", &["run-1/0#2.9 running"]);
    w.at(2.0).heartbeat("big-east-2", &["run-1/0#2.9 done"]);
    w.at(3.0).round(true).view("run-1");
    w.at(3.5).heartbeat("big-east-1", &["run-1/0#1.7 running"]);
    w.at(4.0).heartbeat("big-east-1", &["run-1/0#1.7 error"]);
    w.round(true).view("run-1");
    assert_snapshot!(w.log);
}

/// A new leader waits for every recorded machine before it runs an earlier job's tasks again.
#[test]
fn takeover_waits_for_recorded_machines() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -100.0);
    w.recorded("big-east-2", -100.0);
    w.old_job(submission("run-1", |s| s.pieces = 2));
    w.at(0.2).job(submission("run-2", |s| s.pieces = 1));
    let old_token = w.report("big-east-1", 4, 1, &["run-1/0#4.1 running"]);
    w.at(0.5).send(&old_token);
    w.at(1.0)
        .heartbeat("big-east-1", &["run-1/0#4.1 running"])
        .bound();
    w.at(2.0).heartbeat("big-east-2", &[]).bound();
    assert_snapshot!(w.log);
}

/// A recorded machine that stays silent is waited for through one full lease, not less.
#[test]
fn takeover_waits_a_lease_for_a_silent_machine() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -1.0);
    w.old_job(submission("run-1", |s| s.pieces = 1));
    for t in [1.0, 10.0, 20.0, 20.4] {
        w.at(t).heartbeat("big-east-1", &[]);
        w.on_timer(t).bound();
    }
    w.on_timer(20.6).bound();
    assert_snapshot!(w.log);
}

/// Two lists without a machine that existed long before prove that it is gone.
#[test]
fn unlisted_machines_are_gone() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -60.0);
    w.recorded("big-east-8", -2.0);
    w.old_job(submission("run-1", |s| s.pieces = 1));
    w.at(1.0).heartbeat("big-east-1", &[]);
    w.at(2.0).list(&[("big-east-1", "running")]);
    w.at(5.0).list(&[("big-east-1", "running")]).bound();
    let unreconciled = format!("unseen: {:?}", w.scheduler.prior_term.unreconciled);
    w.note(&unreconciled);
    w.at(12.0).list(&[("big-east-1", "running")]);
    w.at(15.0).list(&[("big-east-1", "running")]);
    w.on_timer(15.2).bound();
    assert_snapshot!(w.log);
}

/// A leader stands still between deciding a start and sending it, and goes on when another leads. A
/// machine that the next leader counted in refuses the order; on one that it hasn't, the task may
/// start, and it starts nowhere else meanwhile.
#[test]
fn the_last_leader_stood_still() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -60.0);
    w.recorded("big-east-2", -60.0);
    w.old_job(submission("run-1", |s| s.pieces = 2));
    w.at(1.0).heartbeat("big-east-1", &[]).bound();
    let woken = w.report("big-east-2", 4, 1, &["run-1/0#4.9 running"]);
    w.at(3.0).send(&woken).bound();
    w.at(4.0)
        .heartbeat("big-east-2", &["run-1/0#4.9 running"])
        .bound();
    w.at(5.0)
        .heartbeat("big-east-2", &["run-1/0#4.9 done"])
        .round(true)
        .view("run-1");
    assert_snapshot!(w.log);
}

/// Room is kept ready where work is to start sooner than a machine can be had; where the aims leave
/// time for a boot, idle machines would cost money for nothing.
#[test]
fn room_is_kept_where_no_boot_fits_the_aim() {
    let requests = |within_s: f64| {
        let mut w = World::new(2, one_team());
        w.scheduler.config.headroom = 4.0;
        w.scheduler.config.objectives = vec![Objective {
            kind: "wait".into(),
            class: Some("train".into()),
            within_s,
        }];
        w.heartbeat("big-east-1", &[]);
        w.at(1.0).job(submission("run-1", |_| ()));
        w.heartbeat("big-east-1", &[])
            .list(&[("big-east-1", "running")]);
        w.scheduler.plan_scale_out(at(2.0));
        w.scheduler.provisioning.requests.len()
    };
    // The soonest machine boots in 20 s, and some take half as long again.
    assert_eq!((requests(29.0), requests(31.0)), (1, 0));
}

/// A lagging list may still name machines that were taken before a takeover. That they existed long
/// before is known from the roster and from how long they were held: the next two lists prove
/// that they are gone, and earlier jobs don't wait for most of a lease.
#[test]
fn listed_late_and_gone() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -60.0);
    w.old_job(submission("run-1", |s| s.pieces = 1));
    w.at(1.0).heartbeat("big-east-1", &[]);
    w.at(2.0).list(&[
        ("big-east-1", "running"),
        ("big-east-8", "running"),
        ("big-east-9", "running"),
    ]);
    w.at(5.0).list(&[("big-east-1", "running")]).bound();
    w.at(7.0).heartbeat("big-east-1", &[]);
    w.at(8.0).list(&[("big-east-1", "running")]);
    w.on_timer(8.2).bound();
    w.at(11.0).list(&[("big-east-1", "running")]);
    let known: Vec<&String> = w.scheduler.machines.keys().collect();
    let known = format!("known: {known:?}");
    w.note(&known);
    assert_snapshot!(w.log);
}

/// A machine goes on the roster when it is first heard from: what still boots at a takeover can
/// hold nothing, and nobody waits for it.
#[test]
fn booting_machines_are_not_waited_for() {
    let mut w = World::new(2, one_team());
    w.job(submission("run-1", |s| s.pieces = 1));
    w.scheduler.provisioning.was_listed = true;
    w.scheduler.plan_scale_out(at(1.0));
    let requests = w.scheduler.provisioning.requests.clone();
    let rented = ProvisioningResult::Granted(vec!["small-east-7".to_string()]);
    w.scheduler
        .apply_provisioning_result(&requests[0].name, rented, at(1.0));
    let due = |w: &World| {
        format!(
            "roster pages due: {}",
            w.scheduler.pending_registry_writes(true).len()
        )
    };
    let before = due(&w);
    w.note(&before);
    let first = w.report("small-east-7", 2, 1, &[]);
    w.scheduler.heartbeat(&first, at(9.0));
    let after = due(&w);
    w.at(9.0).note(&after);
    w.bound();
    w.record_fleet();
    w.at(12.0).heartbeat("small-east-7", &[]).bound();
    assert_snapshot!(w.log);
}

/// Late reports change nothing; one that a direct answer overtook is still answered.
#[test]
fn late_reports() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.pieces = 1));
    let overtaken = w.report("big-east-1", 2, 1, &[]);
    w.at(1.0).on_timer(1.0);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &["run-1/0#2.1 running"])));
    w.at(1.1).send(&overtaken).bound();
    w.at(2.0).heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    w.on_timer(30.0).bound();
    let after_lease = w.report("big-east-1", 2, 1, &["run-1/0#2.1 done"]);
    w.send(&after_lease).view("run-1");
    let next_session = w.report("big-east-1", 2, 2, &[]);
    w.at(31.0).send(&next_session).bound();
    let higher = w.report("big-east-1", 3, 2, &[]);
    w.at(32.0).send(&higher);
    assert_snapshot!(w.log);
}

/// A start without an answer may arrive at any time: its task stays bound, and the attempt is
/// never cleared while the session lasts, since a start after `clear` would run it again.
#[test]
fn unanswered_direct_start() {
    let mut w = World::new(2, one_team());
    // Else the start would be fenced off, and could not show up any more.
    w.raises_tokens = false;
    w.heartbeat("big-east-1", &[]);
    w.heartbeat("big-east-2", &[]);
    w.at(0.5).job(submission("run-1", |s| s.pieces = 1));
    w.on_timer(1.0).direct(|_| DirectResult::Unknown).bound();
    let name = w
        .scheduler
        .machines
        .values()
        .find(|m| m.busy())
        .map(|m| m.name.clone())
        .unwrap();
    w.scheduler.ask_cancel("run-1", w.now);
    w.round(true).view("run-1");
    w.at(3.0).heartbeat(&name, &[]);
    w.at(6.0).heartbeat(&name, &[]).bound();
    w.at(7.0)
        .heartbeat(&name, &["run-1/0#2.1 stopped"])
        .round(true);
    w.at(9.0).heartbeat(&name, &["run-1/0#2.1 stopped"]).bound();
    let next_session = w.report(&name, 2, 2, &[]);
    w.at(40.0).send(&next_session).round(true);
    assert_snapshot!(w.log);
}

/// A start lost with its answer goes out again; one no longer wanted is dropped, by proof.
#[test]
fn lost_answers() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.pieces = 2));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    w.scheduler.ask_cancel("run-1", w.now);
    w.round(true);
    w.at(9.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    w.at(10.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 stopped"])
        .bound();
    assert_snapshot!(w.log);
}

/// Withdrawn or done: whichever is recorded first, and only one of them is ever told.
#[test]
fn withdraw_against_done() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.pieces = 1));
    w.job(submission("run-2", |s| s.pieces = 1));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-2/0#2.2 running"]);
    w.scheduler.ask_cancel("run-1", w.now);
    w.scheduler.ask_cancel("run-2", w.now);
    w.view("run-1").view("run-2");
    w.at(6.1).round(true).view("run-1").view("run-2");
    w.at(7.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-2/0#2.2 done"]);
    w.round(true).view("run-2");
    assert_snapshot!(w.log);
}

/// A team's limit counts what machines that were not heard from may still run.
#[test]
fn quota_counts_unseen_machines() {
    let mut w = World::new(2, vec![team("a", 8.0, 12.0)]);
    w.recorded("big-east-9", -1.0);
    w.old_job(submission("run-1", |s| s.pieces = 2));
    w.at(0.1).job(submission("run-2", |s| s.pieces = 3));
    w.at(1.0).heartbeat("big-east-1", &[]).on_timer(1.1).bound();
    let seen = w.report("big-east-9", 2, 1, &["run-1/0#1.1 running"]);
    w.at(2.0).send(&seen).bound();
    assert_snapshot!(w.log);
}

/// `spread`: at most half of the tasks, rounded up, in a zone. `samePlace`: all in one.
#[test]
fn zones() {
    let mut w = World::new(2, one_team());
    for name in ["big-east-1", "small-west-1", "small-west-2"] {
        w.heartbeat(name, &[]);
    }
    w.job(submission("run-1", |s| {
        s.pieces = 5;
        s.spread = true;
    }));
    w.job(submission("run-2", |s| {
        s.pieces = 4;
        s.same_place = true;
    }));
    w.on_timer(1.0).bound();
    assert_snapshot!(w.log);
}

/// Ranks stop lower ranks; guarantees take back what was lent, but never from a higher rank.
#[test]
fn preemption() {
    let teams = vec![team("a", 0.0, 100.0), team("b", 16.0, 100.0)];
    let mut w = World::new(2, teams);
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| {
        s.pieces = 4;
        s.cpus = decimal(8.0);
    }));
    w.at(1.0).heartbeat("big-east-1", &[]);
    let running = [
        "run-1/0#2.1 running",
        "run-1/1#2.2 running",
        "run-1/2#2.3 running",
        "run-1/3#2.4 running",
    ];
    w.at(2.0).heartbeat("big-east-1", &running);
    w.at(5.0).job(submission("run-2", |s| {
        s.crew = "b".into();
        s.pieces = 1;
        s.cpus = decimal(16.0);
    }));
    w.at(5.1).heartbeat("big-east-1", &running);
    let left = ["run-1/2#2.3 running", "run-1/3#2.4 running"];
    w.at(6.0).heartbeat("big-east-1", &left);
    let both = [
        "run-1/2#2.3 running",
        "run-1/3#2.4 running",
        "run-2/0#2.5 running",
    ];
    w.at(8.0).heartbeat("big-east-1", &both);
    w.job(submission("run-3", |s| {
        s.pieces = 3;
        s.cpus = decimal(8.0);
        s.rank = Priority::High;
    }));
    w.at(9.0).heartbeat("big-east-1", &both);
    assert_snapshot!(w.log);
}

/// A task that fails everywhere waits longer and longer; one bad machine is left alone.
#[test]
fn failures() {
    let mut w = World::new(2, one_team());
    w.job(submission("run-1", |s| s.pieces = 1));
    w.job(submission("run-2", |s| s.pieces = 1));
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).heartbeat("big-east-1", &[]);
    w.at(2.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 error", "run-2/0#2.2 error"]);
    let faulty = w.scheduler.machines["big-east-1"].faulty;
    w.note(&format!("big-east-1 faulty: {faulty}"));
    for (i, t) in [(2, 3.0), (3, 5.0), (4, 7.0)] {
        let name = format!("big-east-{i}");
        w.at(t).heartbeat(&name, &[]);
        w.at(t + 0.5).heartbeat(&name, &[]);
    }
    assert_snapshot!(w.log);
}

/// 100,000 tasks: the done set is cut into small values, and a takeover reads it back.
#[test]
fn large_job() {
    let mut w = World::new(2, one_team());
    w.job(submission("run-1", |s| s.pieces = 100_000));
    let id = w.scheduler.jobs.find("run-1").unwrap();
    for task in (0..100_000).filter(|t| t % 7 != 3) {
        w.scheduler.jobs.table.get_mut(&id).unwrap().settle(task);
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
    next.old_job(submission("run-1", |s| s.pieces = 100_000));
    for write in &writes {
        w.scheduler.written(write, 500);
        if let WriteKind::Set { chunk, text, .. } = &write.kind {
            let record = aspenreel::jobs::DoneRecord {
                state: None,
                set: text.clone(),
            };
            next.scheduler.load_done("run-1", *chunk, &record, 500);
        }
    }
    let remaining = next.scheduler.jobs.get("run-1").unwrap().remaining();
    w.note(&format!("the next leader finds {remaining} tasks left"));
    w.scheduler.ask_cancel("run-1", w.now);
    w.round(true);
    // More chunks than a transaction holds: they go in steps, the final record last.
    w.round(true).round(true).view("run-1");
    assert_snapshot!(w.log);
}

/// Waiting work rents the cheapest that holds it; what is refused isn't asked for at once again.
#[test]
fn renting() {
    let mut w = World::new(4, one_team());
    w.job(submission("run-1", |s| {
        s.pieces = 3;
        s.cpus = decimal(8.0);
        s.yard = Some("west".into());
    }));
    w.rentals();
    w.at(1.0).list(&[]).rentals();
    w.scheduler.apply_provisioning_result(
        "r-4-1",
        ProvisioningResult::Granted(vec!["small-west-7".into()]),
        at(2.0),
    );
    w.at(2.0).rentals();
    w.at(3.0).job(submission("run-2", |s| {
        s.cpus = decimal(8.0);
        s.pieces = 1;
        s.loaners = false;
    }));
    w.rentals();
    w.scheduler
        .apply_provisioning_result("r-4-2", ProvisioningResult::Unknown, at(4.0));
    w.at(4.0).rentals();
    w.scheduler
        .apply_provisioning_result("r-4-2", ProvisioningResult::NoCapacity, at(5.0));
    w.at(5.0).rentals();
    assert_snapshot!(w.log);
}

/// A new leader keeps machines that it has not heard from yet, and returns what never came up.
#[test]
fn returns() {
    let mut w = World::new(4, one_team());
    w.recorded("big-east-1", -300.0);
    w.at(1.0)
        .list(&[("big-east-1", "running"), ("small-west-2", "starting")]);
    let due = w.scheduler.plan_scale_in(at(1.0));
    w.note(&format!("to return: {due:?}"));
    for t in [5.0, 30.0, 60.0, 140.0] {
        w.at(t).heartbeat("big-east-1", &[]);
        w.on_timer(t);
        let due = w.scheduler.plan_scale_in(at(t));
        w.note(&format!("to return: {due:?}"));
    }
    w.scheduler.drop_gone_machines(&["big-east-1".into()]);
    w.at(141.0).heartbeat("big-east-1", &[]);
    assert_snapshot!(w.log);
}

/// Only claimed tasks wait for an unseen machine: what was never claimed starts at once.
#[test]
fn takeover_holds_only_what_may_be_unseen() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -50.0);
    w.recorded("big-east-1", -50.0);
    w.accepted(submission("run-1", |s| s.pieces = 4), 2);
    w.old_job(submission("run-2", |s| s.pieces = 1));
    w.accepted(submission("run-3", |s| s.pieces = 1), 0);
    w.at(1.0)
        .heartbeat("big-east-1", &["run-1/1#4.2 running"])
        .on_timer(1.2)
        .bound();
    // A claimed task that comes back is not free either: a later attempt may be unseen.
    w.at(4.0)
        .heartbeat("big-east-1", &["run-1/1#4.2 stopped"])
        .bound();
    let back = [
        "run-1/2#5.2 running",
        "run-1/3#5.3 running",
        "run-3/0#5.1 running",
    ];
    w.at(7.0).heartbeat("big-east-1", &back);
    w.at(20.0).heartbeat("big-east-1", &back);
    w.on_timer(20.6).bound();
    assert_snapshot!(w.log);
}

/// A task starts only once its job's claim is recorded, and only on a recorded machine.
#[test]
fn no_start_before_the_record() {
    let mut w = World::new(2, one_team());
    let first = w.report("big-east-1", 2, 1, &[]);
    w.scheduler.heartbeat(&first, at(0.0));
    w.at(1.0).job(submission("run-1", |s| s.pieces = 9));
    w.scheduler.on_timer(at(1.0));
    w.bound();
    for write in w.scheduler.pending_registry_writes(false) {
        w.scheduler.written(&write, 7);
    }
    w.scheduler.on_timer(at(1.01));
    w.bound().direct(|_| unreachable!());
    let start_watermarks = w.scheduler.pending_watermark_writes();
    for write in &start_watermarks {
        w.note(&format!("to be written: {:?}", write.kind));
    }
    // The page changes while it is being written: it stays due, over its own revision.
    w.job(submission("run-2", |s| s.pieces = 1));
    w.scheduler.on_timer(at(1.02));
    w.scheduler.written(&start_watermarks[0], 8);
    for write in w.scheduler.pending_watermark_writes() {
        w.note(&format!("to be written: {:?}", write.kind));
    }
    w.at(1.1)
        .direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &["run-1/0#2.1 running"])));
    assert_snapshot!(w.log);
}

/// A machine that refuses connections isn't called again and again; what was to start there starts
/// elsewhere at once, and not when its lease is over.
#[test]
fn unreached_machines() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.pieces = 2));
    w.scheduler.run_placement_pass(at(1.0));
    w.record_fleet();
    w.bound().direct(|_| DirectResult::Unreached);
    w.bound().direct(|_| unreachable!());
    // Another machine takes them; the first is asked again once it reports.
    w.at(2.0).heartbeat("big-east-2", &[]).bound();
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &[])));
    w.at(3.1)
        .direct(|_| DirectResult::Unsent)
        .direct(|_| unreachable!());
    assert_snapshot!(w.log);
}

/// A job that spreads over many machines doesn't call all of them at once: on a small share of a
/// core their answers would queue, and users' requests behind them. Calls that get no answer hold
/// up the others only for a moment, and while timers fire late none is made: heartbeats carry the
/// orders.
#[test]
fn direct_calls_are_few_at_a_time() {
    let mut w = World::new(2, one_team());
    for n in 1..=9 {
        w.heartbeat(&format!("big-east-{n}"), &[]);
    }
    for n in 1..=9 {
        w.job(submission(&format!("run-{n}"), |s| {
            s.pieces = 1;
            s.cpus = decimal(10.0);
            s.ram_gb = decimal(100.0);
        }));
    }
    w.scheduler.run_placement_pass(at(0.0));
    w.record_fleet();
    let calls = |w: &mut World, seconds: f64| {
        let calls: Vec<_> = std::iter::from_fn(|| w.scheduler.next_direct(at(seconds))).collect();
        let names: Vec<&str> = calls.iter().map(|c| c.machine.as_str()).collect();
        let text = format!("called: [{}]", names.join(", "));
        w.at(seconds).note(&text);
        calls
    };
    let first = calls(&mut w, 1.0);
    w.scheduler
        .direct_done(&first[0], DirectResult::Unsent, at(1.01));
    calls(&mut w, 1.02);
    calls(&mut w, 1.15);
    w.scheduler.overload.note(true, at(1.3));
    calls(&mut w, 1.3);
    w.scheduler.overload.note(false, at(1.4));
    calls(&mut w, 1.4);
    assert_snapshot!(w.log);
}

/// A leader that most workers fall silent to stands down, but not while it falls behind itself: it
/// lost term after term to its own work, and each cost more than it had.
#[test]
fn a_slow_leader_keeps_its_term() {
    let silent = |overloaded: bool, at_seconds: f64| {
        let mut w = World::new(2, one_team());
        for n in 1..=4 {
            w.heartbeat(&format!("big-east-{n}"), &[]);
        }
        w.scheduler.overload.note(overloaded, at(4.0));
        w.scheduler.unheard(at(0.0), at(at_seconds))
    };
    assert!(!silent(false, 4.0), "nobody is silent yet");
    assert!(silent(false, 10.0));
    assert!(!silent(true, 10.0));
    // Once it has kept up for long enough, silence counts again.
    assert!(silent(true, 13.5));
}

/// What outsiders can make a leader hold is bounded: jobs by their bytes, large ones by their tasks,
/// machines by their number, and images that take no room in a cache.
#[test]
fn memory_is_bounded() {
    let mut w = World::new(2, one_team());
    w.scheduler.config.job_bytes = 100_000;
    w.scheduler.config.max_machines = 2;
    let mut n = 0;
    while !w.scheduler.is_full(false) {
        n += 1;
        w.job(submission(&format!("run-{n}"), |s| s.pieces = 1));
    }
    w.note(&format!("full after {n} small jobs"));
    w.scheduler.forget_job("run-1");
    let states = (w.scheduler.is_full(false), w.scheduler.is_full(true));
    w.note(&format!(
        "one less: full {states:?} if it was not, if it was"
    ));
    for n in 2..=8 {
        w.scheduler.forget_job(&format!("run-{n}"));
    }
    let full = w.scheduler.is_full(true);
    w.note(&format!("a tenth less: full {full}"));
    w.job(submission("run-999", |s| s.pieces = 100_000));
    let full = w.scheduler.is_full(false);
    w.note(&format!("one of 100,000 tasks more: full {full}"));
    for n in 1..=3 {
        w.heartbeat(&format!("big-east-{n}"), &[]);
    }
    let m = w.scheduler.machines.get_mut("big-east-1").unwrap();
    for n in 0..1000 {
        m.note_image(&format!("img-{n}"), 0.0, true, 50.0, at(n.into()));
    }
    let images = m.images.len();
    w.note(&format!(
        "{images} of 1000 images of no size are remembered"
    ));
    assert_snapshot!(
        w.log
            .lines()
            .filter(|l| !l.contains("accepted"))
            .collect::<Vec<_>>()
            .join("\n")
    );
}

/// Endless small and urgent work, from `from` on, on a machine that it fills. Returns when the
/// jobs of `patient` began, by second; `over` carries running tasks into a next leader's term.
fn crowded(
    w: &mut World,
    worker: &mut SimWorker,
    begun: &mut BTreeMap<String, f64>,
    seconds: std::ops::Range<u32>,
) {
    for second in seconds {
        let t = f64::from(second);
        w.now = at(t);
        w.job(submission(&format!("run-{}", 1000 + second), |s| {
            s.pieces = 4;
            s.rank = Priority::High;
            s.guess_s = decimal(3.0);
            s.due_s = Some(decimal(20.0));
            s.accepted_us = (t * 1e6) as u64;
        }));
        w.serve(worker, t, &|_| 3.0, begun);
    }
}

fn patient(w: &mut World) {
    w.note("the patient ones:");
    w.job(submission("run-1", |s| s.pieces = 5000));
    w.job(submission("run-2", |s| s.rank = Priority::Low));
    w.job(submission("run-3", |s| s.due_s = Some(decimal(1.0))));
    w.job(submission("run-4", |s| s.cpus = decimal(32.0)));
    w.job(submission("run-5", |s| s.crew = "b".into()));
}

/// Waiting wins: a largest job, a low rank, a late job, a task that fills a machine and a small
/// team begin in bounded time, though small and urgent work never ends.
#[test]
fn waiting_wins() {
    let teams = vec![team("a", 100.0, 100.0), team("b", 0.0, 8.0)];
    let mut w = World::new(2, teams);
    let mut worker = SimWorker::new("big-east-1");
    let mut begun = BTreeMap::new();
    w.serve(&mut worker, 0.0, &|_| 3.0, &mut begun);
    patient(&mut w);
    crowded(&mut w, &mut worker, &mut begun, 1..160);
    for id in ["run-1", "run-2", "run-3", "run-4", "run-5"] {
        let at = begun.get(id).copied().unwrap_or(f64::INFINITY);
        assert!((90.0..150.0).contains(&at), "{id} began at {at} s");
    }
    // The crowd asks for half more than there is, and most of it is served all the same.
    let crowd = begun.keys().filter(|id| id.len() > 5).count();
    assert!(crowd > 80, "{crowd} of 159 began");
}

/// A first task that is stopped soon after its start doesn't count: its job waits on, and what
/// starts once it has waited too long isn't stopped for others.
#[test]
fn what_was_stopped_at_once_has_not_begun() {
    let mut w = World::new(2, one_team());
    w.heartbeat("small-east-1", &[]);
    w.job(submission("run-1", |s| {
        s.pieces = 2;
        s.cpus = decimal(8.0);
    }));
    w.at(3.0).heartbeat("small-east-1", &[]);
    w.at(6.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 running"]);
    for n in 2..60 {
        w.job(submission(&format!("run-{n}"), |s| {
            s.pieces = 1;
            s.cpus = decimal(8.0);
            s.rank = Priority::High;
        }));
    }
    w.at(9.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 running"]);
    w.at(12.0)
        .heartbeat("small-east-1", &["run-1/0#2.1 stopped"]);
    let begun = |w: &World| w.scheduler.jobs.get("run-1").unwrap().begun();
    let early = begun(&w);
    w.note(&format!("run-1 has begun: {early}"));
    w.at(95.0)
        .heartbeat("small-east-1", &["run-2/0#2.2 done"])
        .bound();
    let task = "run-1/0#2.3 running";
    w.at(98.0).heartbeat("small-east-1", &[task]).bound();
    w.at(120.0).heartbeat("small-east-1", &[task]);
    w.at(130.0).heartbeat("small-east-1", &[task]).bound();
    let late = begun(&w);
    w.note(&format!("run-1 has begun: {late}"));
    assert_snapshot!(w.log);
}

/// The age of a job comes from its record: a takeover doesn't make it wait anew.
#[test]
fn waiting_wins_through_a_takeover() {
    let mut w = World::new(3, vec![team("a", 100.0, 100.0), team("b", 0.0, 8.0)]);
    w.scheduler.wall_at_start = aspenreel::time::WallTime(85_000_000);
    let mut worker = SimWorker::new("big-east-1");
    let mut begun = BTreeMap::new();
    w.serve(&mut worker, 0.0, &|_| 3.0, &mut begun);
    // Accepted 85 s ago by the time of day.
    let old = submission("run-1", |s| s.pieces = 5000);
    let wall = aspenreel::time::WallTime(old.accepted_us + 85_000_000);
    w.scheduler.add_job(&old, 50, at(0.0), wall);
    crowded(&mut w, &mut worker, &mut begun, 1..40);
    let at = begun.get("run-1").copied().unwrap_or(f64::INFINITY);
    assert!((5.0..30.0).contains(&at), "run-1 began at {at} s");
}

/// Reports arrive, answers and orders don't: no new work, a replacement, a return if it lasts;
/// and a machine that hears again counts again.
#[test]
fn one_way_silence() {
    let mut w = World::new(2, one_team());
    w.scheduler.config.max_idle = aspenreel::time::Micros::from_secs(1000);
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.pieces = 2));
    w.on_timer(1.0);
    w.direct(|_| DirectResult::Unknown).bound();
    // Its lease runs out, and each session looks healthy.
    w.at(3.0).heartbeat("big-east-1", &[]);
    let next = w.report("big-east-1", 2, 2, &[]);
    w.at(21.0).send(&next).bound();
    w.direct(|_| DirectResult::Unknown);
    let next = w.report("big-east-1", 2, 2, &[]);
    w.at(33.0).list(&[("big-east-1", "running")]);
    w.send(&next).bound().rentals();
    w.at(36.0)
        .direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 2, &[])));
    w.on_timer(36.5).bound();
    // Another one never heals.
    w.at(50.0).heartbeat("small-west-1", &[]);
    for (t, agent_epoch) in [(75.0, 2), (100.0, 3), (125.0, 4)] {
        let next = w.report("small-west-1", 2, agent_epoch, &[]);
        w.at(t).send(&next);
        w.direct(|_| DirectResult::Unknown);
    }
    let due = w.scheduler.plan_scale_in(at(126.0));
    w.note(&format!("to return: {due:?}"));
    assert_snapshot!(w.log);
}

/// A start that an answer carried and the next report doesn't show was lost with the answer: it
/// starts elsewhere, and the machine is asked whether it hears.
#[test]
fn starts_that_never_show() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).job(submission("run-1", |s| s.pieces = 1));
    w.at(3.0).heartbeat("big-east-1", &[]).bound();
    w.at(6.0).heartbeat("big-east-1", &[]).bound();
    w.heartbeat("big-east-2", &[]).bound();
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &[])));
    w.at(9.0).heartbeat("big-east-2", &["run-1/0#2.2 running"]);
    assert_snapshot!(w.log);
}

/// Copies of reports, from seconds old to older than a lease: they renew nothing, get no orders,
/// bind and free nothing, and bring no machine back.
#[test]
fn late_copies() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.pieces = 1));
    w.at(1.0).on_timer(1.0);
    let idle = w.report("big-east-1", 2, 1, &[]);
    w.at(3.0).send(&idle);
    let running = w.report("big-east-1", 2, 1, &["run-1/0#2.1 running"]);
    w.at(4.0).send(&running);
    w.at(9.0).send(&idle).bound();
    // Copies don't keep a silent machine's session alive.
    w.at(20.0).send(&running);
    w.on_timer(24.4).bound();
    w.on_timer(24.6).bound();
    w.at(40.0).send(&running).bound();
    // Its next session runs the task anew: a copy of the old one frees nothing.
    let next = w.report("big-east-1", 2, 2, &["run-1/0#2.2 running"]);
    w.at(41.0).send(&next).bound();
    w.at(42.0).send(&idle).send(&running).bound();
    // The machine is gone.
    w.scheduler.drop_gone_machines(&["big-east-1".into()]);
    w.at(60.0).send(&next).bound();
    assert_snapshot!(w.log);
}

/// A copy may be the first that a new leader hears of a machine: it counts nothing in, but an
/// outcome in it still settles.
#[test]
fn a_copy_comes_first() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -100.0);
    w.old_job(submission("run-1", |s| s.pieces = 2));
    let copy = w.report(
        "big-east-1",
        4,
        1,
        &["run-1/0#4.1 done", "run-1/1#4.2 running"],
    );
    w.at(1.0).send(&copy).bound();
    let unreconciled = format!("unseen: {:?}", w.scheduler.prior_term.unreconciled);
    w.note(&unreconciled);
    w.round(true).view("run-1");
    let own = w.report("big-east-1", 5, 2, &[]);
    w.at(2.0).send(&own).bound();
    w.at(2.5).send(&copy).bound();
    assert_snapshot!(w.log);
}

/// Repeats of submissions, withdrawals, rentals, returns and transactions change nothing.
#[test]
fn repeats() {
    let mut w = World::new(4, one_team());
    let first = submission("run-1", |s| s.pieces = 1);
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
    w.scheduler.ask_cancel("run-1", w.now);
    w.scheduler.ask_cancel("run-1", w.now);
    let writes = w.scheduler.pending_final_writes(12);
    w.round(true).view("run-1");
    // The same transaction again fails on its revision; what is read back changes nothing.
    let record = aspenreel::jobs::DoneRecord {
        state: Some(aspenreel::jobs::Outcome::Cancelled),
        set: String::new(),
    };
    w.scheduler.load_done("run-1", 0, &record, 105);
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
        w.job(submission(&format!("run-{n}"), |s| s.pieces = 1));
        let id = w.scheduler.jobs.find(&format!("run-{n}")).unwrap();
        w.scheduler.jobs.table.get_mut(&id).unwrap().settle(0);
    }
    w.job(submission("run-99", |s| s.pieces = 1));
    w.scheduler.on_timer(at(1.0));
    let mut left = 12;
    let mut writes = affordable(w.scheduler.pending_watermark_writes(), &mut left);
    writes.extend(affordable(w.scheduler.pending_final_writes(12), &mut left));
    let changes: usize = writes.iter().map(|x| x.changes.len()).sum();
    assert!(matches!(writes[0].kind, WriteKind::Claims(_)));
    assert_eq!((writes.len(), changes, left), (6, 11, 1));
    // A large write that must wait isn't passed by later, smaller ones.
    w.scheduler.ask_cancel("run-99", w.now);
    let due = w.scheduler.pending_final_writes(12);
    assert_eq!(affordable(due, &mut 1).len(), 0);
}

/// A final state exists from the moment its transaction is applied, which may be before its writer
/// knows, or without it ever knowing: another node may have told it already. From its sending until
/// that is known the leader says nothing of the job by itself.
#[test]
fn a_final_state_on_its_way_is_not_talked_over() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.pieces = 1));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0).heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    w.view("run-1");
    w.scheduler.ask_cancel("run-1", w.now);
    let writes = w.scheduler.pending_final_writes(12);
    w.scheduler.sending(&writes);
    w.note("the cancellation is sent").view("run-1");
    w.scheduler.not_written(&writes);
    w.at(6.1).note("it was surely refused").view("run-1");
    w.scheduler.sending(&writes);
    w.scheduler.unanswered(&writes);
    w.at(6.2).note("sent again, it got no answer").view("run-1");
    w.scheduler.sending(&writes);
    w.scheduler.not_written(&writes);
    w.at(6.3)
        .note("sent once more, that one was refused")
        .view("run-1");
    w.scheduler.written(&writes[0], 200);
    w.at(6.4).note("the fourth was written").view("run-1");
    assert_snapshot!(w.log);
}

/// A late copy is the first that a new leader hears of a machine; then the machine itself reports, in
/// its next session, which began under the last leader. An order of that one may still be on its way
/// to this session: the task is held until the machine is counted in.
#[test]
fn a_copy_of_an_earlier_session_frees_nothing() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -60.0);
    w.old_job(submission("run-1", |s| s.pieces = 1));
    w.at(0.5).heartbeat("big-east-2", &[]);
    let copy = w.report("big-east-1", 4, 1, &[]);
    let next_session = w.report("big-east-1", 4, 2, &[]);
    w.at(1.0).send(&copy).bound();
    w.at(2.0).send(&next_session).bound();
    w.at(3.0).heartbeat("big-east-2", &[]).bound();
    let reconciled = w.report("big-east-1", 5, 2, &["run-1/0#4.7 running"]);
    w.at(4.0).send(&reconciled).bound();
    assert_snapshot!(w.log);
}

/// A machine of the last leader's roster stays silent for a lease, and its entry goes. When it is back
/// it is written down anew before anything starts there, however often it reports meanwhile: else a
/// next leader would not know that it may hold tasks.
#[test]
fn a_machine_that_is_back_waits_for_its_record() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -60.0);
    w.on_timer(21.0);
    w.record_fleet();
    w.job(submission("run-1", |s| s.pieces = 1));
    let due = |w: &World| w.scheduler.pending_registry_writes(false).len();
    for t in [22.0, 23.0, 24.0] {
        let report = w.report("big-east-1", 5, 2, &[]);
        w.scheduler.heartbeat(&report, at(t));
        let recorded = w.scheduler.machines["big-east-1"].recorded;
        let pages = due(&w);
        w.at(t).note(&format!(
            "reports; recorded: {recorded}, pages due: {pages}"
        ));
    }
    w.record_fleet();
    let report = w.report("big-east-1", 5, 2, &[]);
    w.at(25.0).send(&report).bound();
    assert_snapshot!(w.log);
}

/// A machine that reaches nobody still answers direct calls, while its sessions end one after the
/// other: its answers bring it no work. Stops go there all the same.
#[test]
fn a_mute_machine_gets_no_work() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| s.pieces = 1));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(4.0).heartbeat("big-east-1", &["run-1/0#2.1 running"]);
    w.at(9.9);
    w.scheduler.ask_cancel("run-1", w.now);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &["run-1/0#2.1 stopped"])));
    w.at(10.2).job(submission("run-2", |s| s.pieces = 1));
    w.on_timer(10.5).direct(|_| DirectResult::Unknown).bound();
    w.at(12.0).heartbeat("big-east-1", &[]).bound();
    assert_snapshot!(w.log);
}

/// At a takeover a team's limit counts what unseen machines may run, tasks that are done as well (an
/// order of the last leader may start them once more), but no more than these machines hold.
#[test]
fn limits_count_what_unseen_machines_can_hold() {
    let mut w = World::new(5, vec![team("a", 40.0, 40.0)]);
    w.recorded("small-east-9", -1.0);
    w.old_job(submission("run-1", |s| s.pieces = 3));
    w.scheduler.load_done("run-1", 0, &done_record("0-1"), 50);
    w.job(submission("run-2", |s| s.pieces = 10));
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).heartbeat("big-east-1", &[]).bound();
    let old = w.report("small-east-9", 4, 1, &[]);
    w.note("the unseen machine turns out to be a small one: 8 CPUs");
    w.at(2.0).send(&old);
    w.at(3.0).heartbeat("big-east-2", &[]);
    w.at(4.0).heartbeat("big-east-2", &[]).bound();
    assert_snapshot!(w.log);
}

fn done_record(set: &str) -> aspenreel::jobs::DoneRecord {
    aspenreel::jobs::DoneRecord {
        state: None,
        set: set.into(),
    }
}

/// What an unseen machine may run of a job may be in any zone: a job that must be in one zone waits,
/// and of one that is spread as many may start as in the worst case.
#[test]
fn zones_count_what_unseen_machines_may_run() {
    let mut w = World::new(5, one_team());
    w.recorded("small-west-9", -1.0);
    for (id, one_zone) in [("run-1", true), ("run-2", false)] {
        w.accepted(
            submission(id, |s| {
                s.pieces = 6;
                s.same_place = one_zone;
                s.spread = !one_zone;
            }),
            2,
        );
    }
    w.heartbeat("big-east-1", &[]);
    w.at(1.0).heartbeat("big-east-1", &[]).bound();
    let seen = w.report("small-west-9", 5, 1, &["run-1/0#4.1 running"]);
    w.at(2.0).send(&seen);
    w.at(3.0).heartbeat("big-east-1", &[]).bound();
    assert_snapshot!(w.log);
}

/// From the moment a user asks for it, a cancelled job's tasks are stopped and nothing of it starts. It
/// is recorded once no start of it is under way, since that would come after the user was told.
#[test]
fn a_cancellation_waits_for_starts_under_way() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(0.5).job(submission("run-1", |s| s.pieces = 2));
    w.on_timer(1.0);
    let call = w.scheduler.next_direct(at(1.0)).unwrap();
    w.note("a direct call with its starts is under way");
    w.scheduler.ask_cancel("run-1", w.now);
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
    w.job(submission("run-2", |s| s.pieces = 1));
    w.scheduler.ask_cancel("run-2", w.now);
    w.note("run-2 is cancelled before anything of it starts")
        .round(true);
    assert_snapshot!(w.log);
}

/// A start got no answer and was never delivered, its job is cancelled, and the machine is well: once
/// it tells a higher token than the order's it will refuse the order. Else the cancelled job would keep
/// its place there for good.
#[test]
fn an_undelivered_start_has_an_end() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.at(0.5).job(submission("run-1", |s| s.pieces = 1));
    w.on_timer(1.0).direct(|_| DirectResult::Unknown);
    w.scheduler.ask_cancel("run-1", w.now);
    w.at(1.1).round(true);
    w.at(4.0).heartbeat("big-east-1", &[]);
    w.direct(|w| DirectResult::Answered(w.report("big-east-1", 2, 1, &[])));
    for t in [7.0, 15.0, 23.0] {
        w.at(t).heartbeat("big-east-1", &[]).bound();
    }
    w.at(26.0).heartbeat("big-east-1", &[]).bound().round(true);
    assert_snapshot!(w.log);
}

/// The mark that no more jobs are accepted is written until that is known, before its opposite is: a
/// late one would undo it, and nobody would accept anything for as long as this leader leads.
#[test]
fn the_mark_of_being_full_is_never_in_doubt_for_long() {
    let mut mark = aspenreel::jobs::edge::Fullness::default();
    assert_eq!((mark.next(false), mark.next(true)), (None, Some(true)));
    mark.unconfirmed = Some(true);
    assert_eq!(mark.next(false), Some(true));
    mark.known(true, 7);
    assert_eq!((mark.next(true), mark.next(false)), (None, Some(false)));
    mark.unconfirmed = Some(false);
    assert_eq!(mark.next(true), Some(false));
    mark.known(false, 0);
    assert_eq!((mark.next(false), mark.revision), (None, 0));
}

/// A job that is spread, or bound to one zone, has no use for room elsewhere: a machine is rented where
/// its tasks may run, however much room there is in the other zone.
#[test]
fn rentals_mind_zones() {
    let mut w = World::new(2, one_team());
    for name in ["big-east-1", "big-east-2"] {
        w.heartbeat(name, &[]);
    }
    w.job(submission("run-1", |s| {
        s.pieces = 4;
        s.spread = true;
    }));
    w.on_timer(1.0).bound();
    w.list(&[("big-east-1", "running"), ("big-east-2", "running")]);
    w.rentals();
    assert_snapshot!(w.log);
}

/// Replicas of a standing job run again when they end, whatever the end; the job is never done. Those
/// that end soon after their start on one machine after the other wait longer and longer.
#[test]
fn replicas_run_again() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.job(submission("run-1", |s| {
        s.shape = Shape::Standing;
        s.pieces = 2;
    }));
    w.at(3.0).heartbeat("big-east-1", &[]);
    w.at(6.0)
        .heartbeat(
            "big-east-1",
            &["run-1/0#2.1 running", "run-1/1#2.2 running"],
        )
        .view("run-1");
    w.at(60.0)
        .heartbeat("big-east-1", &["run-1/0#2.1 done", "run-1/1#2.2 running"])
        .round(true)
        .view("run-1");
    w.at(63.0).heartbeat("big-east-1", &["run-1/1#2.2 running"]);
    w.at(66.0)
        .heartbeat("big-east-1", &["run-1/0#2.3 error", "run-1/1#2.2 running"]);
    w.at(69.0)
        .heartbeat("big-east-1", &["run-1/1#2.2 running"])
        .bound();
    w.scheduler.ask_cancel("run-1", w.now);
    w.at(70.0).round(true).view("run-1");
    assert_snapshot!(w.log);
}

/// An earlier version that led since a standing job was accepted dropped its claims: its replicas may be
/// on a machine that isn't seen, whatever the pages say. Jobs accepted later were claimed as ever.
#[test]
fn claims_that_an_earlier_version_dropped() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -50.0);
    let standing = |s: &mut Submission| {
        s.shape = Shape::Standing;
        s.pieces = 1;
    };
    // The roster's page has revision 101, the jobs the next ones.
    w.scheduler.prior_term.older_version_led_at = 103;
    w.accepted(submission("run-1", standing), 0);
    w.accepted(submission("run-2", standing), 0);
    w.accepted(submission("run-3", standing), 0);
    w.accepted(submission("run-4", |s| s.pieces = 1), 0);
    w.at(1.0).heartbeat("big-east-1", &[]).on_timer(1.2).bound();
    let back = ["run-3/0#5.1 running", "run-4/0#5.2 running"];
    w.at(20.0).heartbeat("big-east-1", &back).bound();
    w.on_timer(20.6).bound();
    assert_snapshot!(w.log);
}

/// Room for replicas that may not use spot machines is kept ready: on two of the smallest ordinary machines
/// at least, as soon as an objective on starting times tells of them, and for what comes within a boot.
/// What lower ranks use counts, since it is stopped for them. Without standing jobs or such an objective
/// none is kept.
#[test]
fn room_is_kept_for_replicas() {
    let mut w = World::new(2, one_team());
    w.heartbeat("big-east-1", &[]);
    w.list(&[("big-east-1", "running")]);
    w.rentals();
    w.note("an objective: services start within 2 s");
    w.scheduler.config.objectives = vec![Objective {
        kind: "wait".into(),
        class: Some("portal".into()),
        within_s: 2.0,
    }];
    w.at(3.0).rentals();
    w.scheduler.apply_provisioning_result(
        "r-2-1",
        ProvisioningResult::Granted(Vec::new()),
        at(3.0),
    );
    w.note("two other machines are up");
    let reports = |w: &mut World| {
        for name in ["small-east-8", "small-east-9"] {
            let mut report = w.report(name, 2, 1, &[]);
            report.spot = false;
            w.send(&report);
        }
    };
    reports(&mut w);
    w.at(6.0).rentals();
    for n in 1..4 {
        w.job(submission(&format!("run-{n}"), |s| {
            s.shape = Shape::Standing;
            s.lane = "portal".into();
            s.loaners = false;
            s.pieces = 1;
        }));
    }
    w.on_timer(7.0).bound().rentals();
    assert_snapshot!(w.log);
}

/// A machine with replicas that falls silent is returned after three reports that didn't come: the answer
/// proves that the replicas are gone, and they run elsewhere long before the lease is over. Machines with
/// arrays alone are waited for; and where more than a third is silent, all are.
#[test]
fn silent_machines_with_replicas_are_returned() {
    let mut w = World::new(2, one_team());
    let names = [
        "big-east-1",
        "big-east-2",
        "big-east-3",
        "big-east-4",
        "big-east-5",
        "big-east-6",
    ];
    let all_but = |w: &mut World, silent: &[&str]| {
        for name in names.iter().filter(|name| !silent.contains(name)) {
            let tasks: Vec<String> = w.scheduler.machines.get(*name).map_or(Vec::new(), |m| {
                let held = m.attempts.keys();
                let text = |k: &(_, u32, u64)| {
                    let job = &w.scheduler.jobs.table[&k.0].spec.id;
                    format!("{job}/{}#2.{} running", k.1, k.2 & 0xffff_ffff)
                };
                held.map(text).collect()
            });
            let tasks: Vec<&str> = tasks.iter().map(String::as_str).collect();
            w.heartbeat(name, &tasks);
        }
    };
    all_but(&mut w, &[]);
    w.job(submission("run-1", |s| {
        s.shape = Shape::Standing;
        s.pieces = 1;
    }));
    w.job(submission("run-2", |s| s.pieces = 12));
    w.on_timer(1.0).bound();
    let holds = |w: &World, job: &str| -> Vec<String> {
        let id = w.scheduler.jobs.find(job).unwrap();
        let machines = w.scheduler.machines.values();
        let holding = machines.filter(|m| m.attempts.keys().any(|k| k.0 == id));
        holding.map(|m| m.name.clone()).collect()
    };
    let replica_on = holds(&w, "run-1");
    let array_only = holds(&w, "run-2").into_iter().find(|m| *m != replica_on[0]);
    let silent = [replica_on[0].as_str(), array_only.as_deref().unwrap()];
    for k in 1..8 {
        w.at(3.0 * f64::from(k));
        all_but(&mut w, &[]);
    }
    let mut returned_at = Vec::new();
    for k in 0..5 {
        let now = 24.0 + 3.0 * f64::from(k);
        w.at(now);
        all_but(&mut w, &silent);
        let due = w.scheduler.plan_scale_in(at(now + 1.0));
        assert!(!due.contains(&silent[1].to_string()), "{due:?}");
        if due.contains(&replica_on[0]) {
            returned_at.push(now + 1.0);
        }
    }
    // Silent since 21 s.
    assert_eq!(returned_at, [31.0, 34.0, 37.0]);
    w.scheduler.drop_gone_machines(&replica_on);
    w.on_timer(38.0);
    assert_eq!(holds(&w, "run-1").len(), 1, "it runs elsewhere");

    // Half are silent at once: it is rather this node that is cut off.
    let again_on = holds(&w, "run-1");
    let known = |name: &&&str| w.scheduler.machines.contains_key(**name);
    let mut others = names.iter().filter(known).filter(|n| **n != again_on[0]);
    let half = [
        again_on[0].as_str(),
        others.next().unwrap(),
        others.next().unwrap(),
    ];
    for k in 0..5 {
        let now = 39.0 + 3.0 * f64::from(k);
        w.at(now);
        all_but(&mut w, &half);
        let due = w.scheduler.plan_scale_in(at(now + 1.0));
        assert!(!due.contains(&again_on[0]), "{due:?}");
    }
}

/// A task that needs a whole machine stops nothing where it would not get one: what is stopped in vain
/// starts again in the room that it left, and was stopped again, thousands of times in a row.
#[test]
fn nothing_is_stopped_in_vain() {
    let mut w = World::new(2, one_team());
    for name in ["small-east-1", "small-east-2"] {
        w.heartbeat(name, &[]);
    }
    // Each machine has a task that can't be stopped for it, and one that could.
    w.job(submission("run-1", |s| s.rank = Priority::High));
    w.at(1.0).heartbeat("small-east-1", &[]);
    w.heartbeat("small-east-2", &[]);
    w.job(submission("run-2", |s| s.rank = Priority::Low));
    w.at(2.0)
        .heartbeat("small-east-1", &["run-1/1#2.2 running"]);
    w.heartbeat("small-east-2", &["run-1/0#2.1 running"]);
    w.at(2.1).bound();
    w.job(submission("run-3", |s| {
        s.pieces = 1;
        s.cpus = decimal(8.0);
        s.rank = Priority::High;
    }));
    w.on_timer(3.0).bound();
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
        w.at(4.0).heartbeat(name, &tasks);
    }
    w.at(4.1).bound();
    assert_snapshot!(w.log);
}

/// Replicas that end soon after their start, on one machine after the other, are tried less and less
/// often; one that lasts ends the wait.
#[test]
fn replicas_that_fail_everywhere_back_off() {
    let mut w = World::new(2, one_team());
    w.job(submission("run-1", |s| {
        s.shape = Shape::Standing;
        s.pieces = 1;
    }));
    let wait = |w: &World| {
        let job = w.scheduler.jobs.get("run-1").unwrap();
        (job.retry_at - w.now).as_secs_f64()
    };
    let mut waits = Vec::new();
    for k in 1..6u32 {
        let name = format!("big-east-{k}");
        let start = 100.0 * f64::from(k);
        w.at(start).heartbeat(&name, &[]);
        w.on_timer(start + 1.0);
        let attempt = w.scheduler.machines[&name].attempts.keys().next().copied();
        let (_, _, attempt) = attempt.expect("it is tried on the machine that is there");
        let ended = format!("run-1/0#2.{} done", attempt & 0xffff_ffff);
        w.at(start + 3.0).heartbeat(&name, &[]);
        w.at(start + 6.0).heartbeat(&name, &[&ended]);
        waits.push(wait(&w));
    }
    assert_eq!(waits, [0.0, 0.0, 2.0, 4.0, 8.0]);
}
