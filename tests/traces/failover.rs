//! What a new leader may place before it has reconciled every machine of earlier terms.

use crate::trace::{LeaderTrace, at, one_team, submission};
use aspenreel::jobs::{JobKind, Submission};
use aspenreel::provisioning::ProvisioningResult;
use insta::assert_snapshot;

/// A new leader waits for reports of all registered machines before it starts tasks of earlier terms again.
#[test]
fn prior_term_tasks_wait_for_reports_of_all_registered_machines() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -100.0);
    trace.prior_term_machine("big-east-2", -100.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    trace.at(0.2).job(submission("run-2", |s| s.tasks = 1));
    let old_token = trace.next_heartbeat("big-east-1", 4, 1, &["run-1/0#4.1 running"]);
    trace.at(0.5).send(&old_token);
    trace
        .at(1.0)
        .heartbeat("big-east-1", &["run-1/0#4.1 running"])
        .bound();
    trace.at(2.0).heartbeat("big-east-2", &[]).bound();
    assert_snapshot!(trace.log);
}

/// A new leader waits one full lease, not less, for a registered machine that stays silent.
#[test]
fn prior_term_tasks_wait_one_full_lease_for_a_silent_machine() {
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

/// A machine that has existed for long is proved to be gone by two lists that don't contain it.
#[test]
fn old_machines_missing_from_two_lists_are_gone() {
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

/// A leader is suspended between the decision on a start and its sending, and continues after another leader was
/// elected. A machine that the new leader has reconciled refuses the command. On one that isn't reconciled the task
/// may start, and until that machine is reconciled the new leader starts it nowhere else.
#[test]
fn late_start_of_previous_leader_runs_only_on_an_unreconciled_machine() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -60.0);
    trace.prior_term_machine("big-east-2", -60.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    trace.at(1.0).heartbeat("big-east-1", &[]).bound();
    let late_start = trace.next_heartbeat("big-east-2", 4, 1, &["run-1/0#4.9 running"]);
    trace.at(3.0).send(&late_start).bound();
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

/// A machine list that lags behind may still contain machines that were removed before a failover. The registry, or
/// the time for which the list reports them as held, shows that they have existed for long. The next two lists
/// without them therefore prove that they are gone, and jobs of earlier terms don't wait for most of a lease.
#[test]
fn machines_in_a_stale_list_are_gone_after_two_lists_without_them() {
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

/// A machine is registered when its first heartbeat arrives. One that is still booting at a failover can hold no
/// tasks, so the new leader doesn't wait for it.
#[test]
fn booting_machine_is_not_registered_before_its_first_heartbeat() {
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
    let first = trace.next_heartbeat("small-east-7", 2, 1, &[]);
    trace.scheduler.heartbeat(&first, at(9.0));
    let after = due(&trace);
    trace.at(9.0).note(&after);
    trace.bound();
    trace.apply_start_writes();
    trace.at(12.0).heartbeat("small-east-7", &[]).bound();
    assert_snapshot!(trace.log);
}

/// Only tasks below a stored start watermark wait for unreconciled machines. Tasks above it were never started, and
/// are placed at once.
#[test]
fn only_tasks_below_the_start_watermark_wait_for_reconciliation() {
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
    // A task below the watermark isn't placed when its attempt ends either: a later attempt may be on a machine that
    // isn't reconciled.
    trace
        .at(4.0)
        .heartbeat("big-east-1", &["run-1/1#4.2 stopped"])
        .bound();
    let running = [
        "run-1/2#5.2 running",
        "run-1/3#5.3 running",
        "run-3/0#5.1 running",
    ];
    trace.at(7.0).heartbeat("big-east-1", &running);
    trace.at(20.0).heartbeat("big-east-1", &running);
    trace.on_timer(20.6).bound();
    assert_snapshot!(trace.log);
}

/// The first report of a machine that a new leader receives may be a late duplicate from the previous term. It
/// doesn't reconcile the machine, but an outcome that it contains counts.
#[test]
fn late_duplicate_received_first_counts_outcomes_without_reconciling() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -100.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 2));
    let duplicate = trace.next_heartbeat(
        "big-east-1",
        4,
        1,
        &["run-1/0#4.1 done", "run-1/1#4.2 running"],
    );
    trace.at(1.0).send(&duplicate).bound();
    let unreconciled = format!(
        "unreconciled: {:?}",
        trace.scheduler.prior_term.unreconciled
    );
    trace.note(&unreconciled);
    trace.write_round(true).view("run-1");
    let reconciled = trace.next_heartbeat("big-east-1", 5, 2, &[]);
    trace.at(2.0).send(&reconciled).bound();
    trace.at(2.5).send(&duplicate).bound();
    assert_snapshot!(trace.log);
}

/// The first report of a machine that a new leader receives is a late duplicate. Then the machine reports in its next
/// agent epoch, which began under the previous leader. A command of that leader may still be on its way to this agent
/// epoch, so the task isn't placed before the machine is reconciled.
#[test]
fn late_duplicate_of_an_earlier_agent_epoch_releases_no_tasks() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-1", -60.0);
    trace.prior_term_job(submission("run-1", |s| s.tasks = 1));
    trace.at(0.5).heartbeat("big-east-2", &[]);
    let duplicate = trace.next_heartbeat("big-east-1", 4, 1, &[]);
    let next_epoch = trace.next_heartbeat("big-east-1", 4, 2, &[]);
    trace.at(1.0).send(&duplicate).bound();
    trace.at(2.0).send(&next_epoch).bound();
    trace.at(3.0).heartbeat("big-east-2", &[]).bound();
    let reconciled = trace.next_heartbeat("big-east-1", 5, 2, &["run-1/0#4.7 running"]);
    trace.at(4.0).send(&reconciled).bound();
    assert_snapshot!(trace.log);
}

/// A leader of an earlier version drops the start watermarks of standing jobs. If such a leader was elected after a
/// standing job was accepted, replicas of the job may be on an unreconciled machine, whatever watermark is stored.
/// Jobs accepted later have valid watermarks.
#[test]
fn standing_jobs_of_an_earlier_version_wait_for_reconciliation() {
    let mut trace = LeaderTrace::new(5, one_team());
    trace.prior_term_machine("big-east-9", -50.0);
    let standing = |s: &mut Submission| {
        s.kind = JobKind::Standing;
        s.tasks = 1;
    };
    // The registry's page has revision 101, the jobs have 102 to 105.
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
    let running = ["run-3/0#5.1 running", "run-4/0#5.2 running"];
    trace.at(20.0).heartbeat("big-east-1", &running).bound();
    trace.on_timer(20.6).bound();
    assert_snapshot!(trace.log);
}
