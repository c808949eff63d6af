//! Machines are rented and returned.

use crate::trace::{LeaderTrace, at, decimal, one_team, submission};
use aspenreel::jobs::JobKind;
use aspenreel::provisioning::ProvisioningResult;
use aspenreel::settings::Objective;
use insta::assert_snapshot;

/// Room is kept ready where work is to start sooner than a machine can be had; where the aims leave
/// time for a boot, idle machines would cost money for nothing.
#[test]
fn room_is_kept_where_no_boot_fits_the_aim() {
    let requests = |within_s: f64| {
        let mut trace = LeaderTrace::new(2, one_team());
        trace.scheduler.config.headroom = 4.0;
        trace.scheduler.config.objectives = vec![Objective {
            kind: "wait".into(),
            class: Some("train".into()),
            within_s,
        }];
        trace.heartbeat("big-east-1", &[]);
        trace.at(1.0).job(submission("run-1", |_| ()));
        trace
            .heartbeat("big-east-1", &[])
            .list(&[("big-east-1", "running")]);
        trace.scheduler.plan_scale_out(at(2.0));
        trace.scheduler.provisioning.requests.len()
    };
    // The soonest machine boots in 20 s, and some take half as long again.
    assert_eq!((requests(29.0), requests(31.0)), (1, 0));
}

/// Waiting work rents the cheapest that holds it; what is refused isn't asked for at once again.
#[test]
fn renting() {
    let mut trace = LeaderTrace::new(4, one_team());
    trace.job(submission("run-1", |s| {
        s.tasks = 3;
        s.cpus = decimal(8.0);
        s.zone = Some("west".into());
    }));
    trace.plan_scale_out();
    trace.at(1.0).list(&[]).plan_scale_out();
    trace.scheduler.apply_provisioning_result(
        "r-4-1",
        ProvisioningResult::Granted(vec!["small-west-7".into()]),
        at(2.0),
    );
    trace.at(2.0).plan_scale_out();
    trace.at(3.0).job(submission("run-2", |s| {
        s.cpus = decimal(8.0);
        s.tasks = 1;
        s.spot = false;
    }));
    trace.plan_scale_out();
    trace
        .scheduler
        .apply_provisioning_result("r-4-2", ProvisioningResult::Unknown, at(4.0));
    trace.at(4.0).plan_scale_out();
    trace
        .scheduler
        .apply_provisioning_result("r-4-2", ProvisioningResult::NoCapacity, at(5.0));
    trace.at(5.0).plan_scale_out();
    assert_snapshot!(trace.log);
}

/// A new leader keeps machines that it has not heard from yet, and returns what never came up.
#[test]
fn returns() {
    let mut trace = LeaderTrace::new(4, one_team());
    trace.prior_term_machine("big-east-1", -300.0);
    trace
        .at(1.0)
        .list(&[("big-east-1", "running"), ("small-west-2", "starting")]);
    let due = trace.scheduler.plan_scale_in(at(1.0));
    trace.note(&format!("to return: {due:?}"));
    for t in [5.0, 30.0, 60.0, 140.0] {
        trace.at(t).heartbeat("big-east-1", &[]);
        trace.on_timer(t);
        let due = trace.scheduler.plan_scale_in(at(t));
        trace.note(&format!("to return: {due:?}"));
    }
    trace.scheduler.drop_gone_machines(&["big-east-1".into()]);
    trace.at(141.0).heartbeat("big-east-1", &[]);
    assert_snapshot!(trace.log);
}

/// A job that is spread, or bound to one zone, has no use for room elsewhere: a machine is rented where
/// its tasks may run, however much room there is in the other zone.
#[test]
fn rentals_mind_zones() {
    let mut trace = LeaderTrace::new(2, one_team());
    for name in ["big-east-1", "big-east-2"] {
        trace.heartbeat(name, &[]);
    }
    trace.job(submission("run-1", |s| {
        s.tasks = 4;
        s.spread = true;
    }));
    trace.on_timer(1.0).bound();
    trace.list(&[("big-east-1", "running"), ("big-east-2", "running")]);
    trace.plan_scale_out();
    assert_snapshot!(trace.log);
}

/// Room for replicas that may not use spot machines is kept ready: on two of the smallest ordinary machines
/// at least, as soon as an objective on starting times tells of them, and for what comes within a boot.
/// What lower ranks use counts, since it is stopped for them. Without standing jobs or such an objective
/// none is kept.
#[test]
fn room_is_kept_for_replicas() {
    let mut trace = LeaderTrace::new(2, one_team());
    trace.heartbeat("big-east-1", &[]);
    trace.list(&[("big-east-1", "running")]);
    trace.plan_scale_out();
    trace.note("an objective: services start within 2 s");
    trace.scheduler.config.objectives = vec![Objective {
        kind: "wait".into(),
        class: Some("portal".into()),
        within_s: 2.0,
    }];
    trace.at(3.0).plan_scale_out();
    trace.scheduler.apply_provisioning_result(
        "r-2-1",
        ProvisioningResult::Granted(Vec::new()),
        at(3.0),
    );
    trace.note("two other machines are up");
    let reports = |trace: &mut LeaderTrace| {
        for name in ["small-east-8", "small-east-9"] {
            let mut report = trace.report(name, 2, 1, &[]);
            report.spot = false;
            trace.send(&report);
        }
    };
    reports(&mut trace);
    trace.at(6.0).plan_scale_out();
    for n in 1..4 {
        trace.job(submission(&format!("run-{n}"), |s| {
            s.kind = JobKind::Standing;
            s.class = "portal".into();
            s.spot = false;
            s.tasks = 1;
        }));
    }
    trace.on_timer(7.0).bound().plan_scale_out();
    assert_snapshot!(trace.log);
}
