//! What a new leader may count on before it has heard from every machine of the last term.

use crate::trace::{World, at, one_team, submission};
use aspenreel::jobs::{JobKind, Submission};
use aspenreel::provisioning::ProvisioningResult;
use insta::assert_snapshot;

/// A new leader waits for every recorded machine before it runs an earlier job's tasks again.
#[test]
fn takeover_waits_for_recorded_machines() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -100.0);
    w.recorded("big-east-2", -100.0);
    w.old_job(submission("run-1", |s| s.tasks = 2));
    w.at(0.2).job(submission("run-2", |s| s.tasks = 1));
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
    w.old_job(submission("run-1", |s| s.tasks = 1));
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
    w.old_job(submission("run-1", |s| s.tasks = 1));
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
    w.old_job(submission("run-1", |s| s.tasks = 2));
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

/// A lagging list may still name machines that were taken before a takeover. That they existed long
/// before is known from the roster and from how long they were held: the next two lists prove
/// that they are gone, and earlier jobs don't wait for most of a lease.
#[test]
fn listed_late_and_gone() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -60.0);
    w.old_job(submission("run-1", |s| s.tasks = 1));
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
    w.job(submission("run-1", |s| s.tasks = 1));
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

/// Only claimed tasks wait for an unseen machine: what was never claimed starts at once.
#[test]
fn takeover_holds_only_what_may_be_unseen() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -50.0);
    w.recorded("big-east-1", -50.0);
    w.accepted(submission("run-1", |s| s.tasks = 4), 2);
    w.old_job(submission("run-2", |s| s.tasks = 1));
    w.accepted(submission("run-3", |s| s.tasks = 1), 0);
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

/// A copy may be the first that a new leader hears of a machine: it counts nothing in, but an
/// outcome in it still settles.
#[test]
fn a_copy_comes_first() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -100.0);
    w.old_job(submission("run-1", |s| s.tasks = 2));
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

/// A late copy is the first that a new leader hears of a machine; then the machine itself reports, in
/// its next session, which began under the last leader. An order of that one may still be on its way
/// to this session: the task is held until the machine is counted in.
#[test]
fn a_copy_of_an_earlier_session_frees_nothing() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-1", -60.0);
    w.old_job(submission("run-1", |s| s.tasks = 1));
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

/// An earlier version that led since a standing job was accepted dropped its claims: its replicas may be
/// on a machine that isn't seen, whatever the pages say. Jobs accepted later were claimed as ever.
#[test]
fn claims_that_an_earlier_version_dropped() {
    let mut w = World::new(5, one_team());
    w.recorded("big-east-9", -50.0);
    let standing = |s: &mut Submission| {
        s.kind = JobKind::Standing;
        s.tasks = 1;
    };
    // The roster's page has revision 101, the jobs the next ones.
    w.scheduler.prior_term.older_version_led_at = 103;
    w.accepted(submission("run-1", standing), 0);
    w.accepted(submission("run-2", standing), 0);
    w.accepted(submission("run-3", standing), 0);
    w.accepted(submission("run-4", |s| s.tasks = 1), 0);
    w.at(1.0).heartbeat("big-east-1", &[]).on_timer(1.2).bound();
    let back = ["run-3/0#5.1 running", "run-4/0#5.2 running"];
    w.at(20.0).heartbeat("big-east-1", &back).bound();
    w.on_timer(20.6).bound();
    assert_snapshot!(w.log);
}
