//! What a new leader may count on before it has heard from every machine of the last term.

use crate::trace::{LeaderTrace, at, one_team, submission};
use aspenreel::jobs::{JobKind, Submission};
use aspenreel::provisioning::ProvisioningResult;
use insta::assert_snapshot;

/// A new leader waits for every recorded machine before it runs an earlier job's tasks again.
#[test]
fn takeover_waits_for_recorded_machines() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -100.0);
    trace.prior_term_machine("big-east-2", -100.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    trace.at(0.2).job(submission("run-2", |s| s.tasks = 1));
    let old_token = trace.report("big-east-1", 4, 1, &["run-1/0#4.1 running"]);
    trace.at(0.5).send(&old_token);
    trace
        .at(1.0)
        .heartbeat("big-east-1", &["run-1/0#4.1 running"])
        .bound();
    trace.at(2.0).heartbeat("big-east-2", &[]).bound();
    assert_snapshot!(trace.log);
}

/// A recorded machine that stays silent is waited for through one full lease, not less.
#[test]
fn takeover_waits_a_lease_for_a_silent_machine() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-9", -1.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    for t in [1.0, 10.0, 20.0, 20.4] {
        trace.at(t).heartbeat("big-east-1", &[]);
        trace.on_timer(t).bound();
    }
    trace.on_timer(20.6).bound();
    assert_snapshot!(trace.log);
}

/// Two lists without a machine that existed long before prove that it is gone.
#[test]
fn unlisted_machines_are_gone() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-9", -60.0);
    trace.prior_term_machine("big-east-8", -2.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace.at(2.0).list(&[("big-east-1", "running")]);
    trace.at(5.0).list(&[("big-east-1", "running")]).bound();
    let unreconciled = format!(
        "unreconciled: {:?}",
        trace.scheduler.prior_term.unreconciled
    );
    trace.note(&unreconciled);
    trace.at(12.0).list(&[("big-east-1", "running")]);
    trace.at(15.0).list(&[("big-east-1", "running")]);
    trace.on_timer(15.2).bound();
    assert_snapshot!(trace.log);
}

/// A leader stands still between deciding a start and sending it, and goes on when another leads. A
/// machine that the next leader reconciled refuses the command; on one that it hasn't, the task may
/// start, and it starts nowhere else meanwhile.
#[test]
fn the_last_leader_stood_still() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -60.0);
    trace.prior_term_machine("big-east-2", -60.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    trace.at(1.0).heartbeat("big-east-1", &[]).bound();
    let woken = trace.report("big-east-2", 4, 1, &["run-1/0#4.9 running"]);
    trace.at(3.0).send(&woken).bound();
    trace
        .at(4.0)
        .heartbeat("big-east-2", &["run-1/0#4.9 running"])
        .bound();
    trace
        .at(5.0)
        .heartbeat("big-east-2", &["run-1/0#4.9 done"])
        .write_round(true)
        .view("run-1");
    assert_snapshot!(trace.log);
}

/// A lagging list may still name machines that were taken before a failover. That they existed long
/// before is known from the registry and from how long they were held: the next two lists prove
/// that they are gone, and earlier jobs don't wait for most of a lease.
#[test]
fn listed_late_and_gone() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-9", -60.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    trace.at(1.0).heartbeat("big-east-1", &[]);
    trace.at(2.0).list(&[
        ("big-east-1", "running"),
        ("big-east-8", "running"),
        ("big-east-9", "running"),
    ]);
    trace.at(5.0).list(&[("big-east-1", "running")]).bound();
    trace.at(7.0).heartbeat("big-east-1", &[]);
    trace.at(8.0).list(&[("big-east-1", "running")]);
    trace.on_timer(8.2).bound();
    trace.at(11.0).list(&[("big-east-1", "running")]);
    let known: Vec<&String> = trace.scheduler.machines.keys().collect();
    let known = format!("known: {known:?}");
    trace.note(&known);
    assert_snapshot!(trace.log);
}

/// A machine goes on the registry when it is first heard from: what still boots at a failover can
/// hold nothing, and nobody waits for it.
#[test]
fn booting_machines_are_not_waited_for() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.job(submission("run-1", |s| s.tasks = 1));
    trace.scheduler.provisioning.has_machine_list = true;
    trace.scheduler.plan_scale_out(at(1.0));
    let requests = trace.scheduler.provisioning.requests.clone();
    let rented = ProvisioningResult::Granted(vec!["small-east-7".to_string()]);
    trace
        .scheduler
        .apply_provisioning_result(&requests[0].name, rented, at(1.0));
    let due = |trace: &LeaderTrace| {
        format!(
            "registry pages due: {}",
            trace.scheduler.pending_registry_writes(true).len()
        )
    };
    let before = due(&trace);
    trace.note(&before);
    let first = trace.report("small-east-7", 2, 1, &[]);
    trace.scheduler.heartbeat(&first, at(9.0));
    let after = due(&trace);
    trace.at(9.0).note(&after);
    trace.bound();
    trace.apply_start_writes();
    trace.at(12.0).heartbeat("small-east-7", &[]).bound();
    assert_snapshot!(trace.log);
}

/// Only claimed tasks wait for an unreconciled machine: what was never claimed starts at once.
#[test]
fn takeover_holds_only_what_may_be_unseen() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-9", -50.0);
    trace.prior_term_machine("big-east-1", -50.0);
    trace.job_with_watermark(submission("run-1", |s| s.tasks = 4), 2);
    trace.prior_term_job(submission("run-2", |s| s.tasks = 1));
    trace.job_with_watermark(submission("run-3", |s| s.tasks = 1), 0);
    trace
        .at(1.0)
        .heartbeat("big-east-1", &["run-1/1#4.2 running"])
        .on_timer(1.2)
        .bound();
    // A claimed task that comes back is not free either: a later attempt may be unseen.
    trace
        .at(4.0)
        .heartbeat("big-east-1", &["run-1/1#4.2 stopped"])
        .bound();
    let back = [
        "run-1/2#5.2 running",
        "run-1/3#5.3 running",
        "run-3/0#5.1 running",
    ];
    trace.at(7.0).heartbeat("big-east-1", &back);
    trace.at(20.0).heartbeat("big-east-1", &back);
    trace.on_timer(20.6).bound();
    assert_snapshot!(trace.log);
}

/// A copy may be the first that a new leader hears of a machine: it counts nothing in, but an
/// outcome in it still settles.
#[test]
fn a_copy_comes_first() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -100.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    let copy = trace.report(
        "big-east-1",
        4,
        1,
        &["run-1/0#4.1 done", "run-1/1#4.2 running"],
    );
    trace.at(1.0).send(&copy).bound();
    let unreconciled = format!(
        "unreconciled: {:?}",
        trace.scheduler.prior_term.unreconciled
    );
    trace.note(&unreconciled);
    trace.write_round(true).view("run-1");
    let own = trace.report("big-east-1", 5, 2, &[]);
    trace.at(2.0).send(&own).bound();
    trace.at(2.5).send(&copy).bound();
    assert_snapshot!(trace.log);
}

/// A late copy is the first that a new leader hears of a machine; then the machine itself reports, in
/// its next agent epoch, which began under the last leader. An order of that one may still be on its way
/// to this agent epoch: the task is held until the machine is reconciled.
#[test]
fn a_copy_of_an_earlier_session_frees_nothing() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -60.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    trace.at(0.5).heartbeat("big-east-2", &[]);
    let copy = trace.report("big-east-1", 4, 1, &[]);
    let next_epoch = trace.report("big-east-1", 4, 2, &[]);
    trace.at(1.0).send(&copy).bound();
    trace.at(2.0).send(&next_epoch).bound();
    trace.at(3.0).heartbeat("big-east-2", &[]).bound();
    let reconciled = trace.report("big-east-1", 5, 2, &["run-1/0#4.7 running"]);
    trace.at(4.0).send(&reconciled).bound();
    assert_snapshot!(trace.log);
}

/// An earlier version that led since a standing job was accepted dropped its claims: its replicas may be
/// on a machine that isn't seen, whatever the pages say. Jobs accepted later were claimed as ever.
#[test]
fn claims_that_an_earlier_version_dropped() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-9", -50.0);
    let standing = |s: &mut Submission| {
        s.kind = JobKind::Standing;
        s.tasks = 1;
    };
    // The registry's page has revision 101, the jobs the next ones.
    trace.scheduler.prior_term.older_version_led_at = 103;
    trace.job_with_watermark(submission("run-1", standing), 0);
    trace.job_with_watermark(submission("run-2", standing), 0);
    trace.job_with_watermark(submission("run-3", standing), 0);
    trace.job_with_watermark(submission("run-4", |s| s.tasks = 1), 0);
    trace
        .at(1.0)
        .heartbeat("big-east-1", &[])
        .on_timer(1.2)
        .bound();
    let back = ["run-3/0#5.1 running", "run-4/0#5.2 running"];
    trace.at(20.0).heartbeat("big-east-1", &back).bound();
    trace.on_timer(20.6).bound();
    assert_snapshot!(trace.log);
}
