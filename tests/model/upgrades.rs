//! Upgrades of a running cluster: lowered limits of the key-value store, and controllers of the version in production
//! beside those of the present version.

use crate::standing_jobs::standing_jobs;
use aspenreel::http::cbor::json_len;
use aspenreel_simulation::checker::{JobPlan, RequestKind};
use aspenreel_simulation::fake_store::Limits;
use aspenreel_simulation::older_version;
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::workloads::*;
use std::sync::Arc;

/// Limits of the key-value store after they were lowered.
const LOWERED: Limits = Limits {
    value_bytes: 2048,
    txn_ops: 4,
    rps: 100.0,
    write_rps: 30.0,
};

/// The key-value store lowers all its limits at once and without notice, just before or after a leader change: the
/// size of values, the changes per transaction, and the requests and changes per second. There are hundreds of start
/// watermarks and a job of 100,000 tasks, and in half of the simulations another controller is down. No transaction
/// exceeds the lowered limits, and the cluster keeps serving.
#[test]
fn lowered_store_limits_are_not_exceeded() {
    let cluster = Setup {
        next_store_limits: "value_kb = 2.0, txn_ops = 4, rps = 100.0, write_rps = 30.0",
        ..setup()
    };
    let summaries = run(SEEDS, &cluster, |sim, rng| {
        standing_jobs(sim, rng);
        for i in 0..200 {
            let mut plan = JobPlan::new(1000 + i, 1, 0.1, 30.0);
            plan.priority = "low";
            sim.submit(10.0 + 0.15 * f64::from(i), plan);
        }
        let mut large = JobPlan::new(2000, 100_000, 0.1, 2.0);
        large.priority = "low";
        sim.submit(30.0, large);
        let lowered = 42.0 + rng.f64() * 16.0;
        sim.at(lowered, |sim| sim.state().store.limits = Some(LOWERED));
        let crash = lowered - 2.0 + rng.f64() * 4.0;
        sim.at(crash, |sim| sim.crash(sim.leader_or_any(), 0.5));
        if rng.bool() {
            // The other controllers share what is left of the rates; the sum stays within the limits.
            sim.at(crash + 5.0, |sim| {
                sim.crash((sim.leader_or_any() + 1) % 3, 40.0)
            });
        }
        sim.at(110.0, |sim| sim.user_cancels("run-2000"));
        sim.at(125.0, |sim| {
            let state = sim.state();
            let store = &state.store;
            assert_eq!(
                store.rejected_transactions, 0,
                "transactions beyond the limits"
            );
            let (throttled, all) = (store.throttled_requests, store.limited_requests);
            assert!(
                throttled * 200 < all,
                "{throttled} of {all} requests exceeded the rate limits"
            );
        });
    });
    for summary in summaries {
        assert!(summary.leaders >= 2, "{summary:?}");
    }
}

/// The limits are lowered while a controller of an earlier version, which writes larger pages, may still lead. The
/// oversized pages are left as they are, and changes of their entries are recorded on other pages.
#[test]
fn changes_on_oversized_pages_of_an_earlier_version_are_recorded() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        sim.at(0.0, |sim| hide_format_version(sim, 2));
        // Many long jobs, whose start watermarks stay, and one whose start watermark grows all the time.
        let ids = jobs(sim, 4.0, 20.0, 56, |i, p| {
            p.id = format!("run-{:040}", 100 + i);
            p.tasks = 1;
            p.cpus = 0.4;
            p.run_s = 80.0;
        });
        let mut growing = JobPlan::new(0, 3000, 1.0, 6.0);
        growing.id = format!("run-{:040}", 500);
        let growing_id = growing.id.clone();
        sim.submit(16.0, growing);
        sim.at(115.0, move |sim| sim.user_cancels(&growing_id));
        cancel_each(sim, &every_nth(&ids, 7), 60.0, 80.0, rng);
        let at = 24.0 + rng.f64() * 6.0;
        sim.at(at, |sim| {
            let leader = sim.leader_or_any();
            older_version::lead(sim, leader, 2.0);
            sim.after(11_000_000, |sim| {
                let mut state = sim.state();
                let store = &mut state.store;
                store.limits = Some(LOWERED);
                let pages = store
                    .rows
                    .iter()
                    .filter(|(key, _)| key.starts_with("claims/"));
                let sizes: Vec<_> = pages.map(|(key, row)| (key, json_len(&row.0))).collect();
                let is_large = |(_, size): &(_, usize)| *size > LOWERED.value_bytes;
                assert!(
                    sizes.iter().any(is_large),
                    "no page exceeds the lowered limit: {sizes:?}"
                );
            });
        });
        sim.at(110.0, |sim| {
            assert_eq!(sim.state().store.rejected_transactions, 0)
        });
    });
    for summary in summaries {
        assert!(summary.starts > 450 && summary.leaders >= 2, "{summary:?}");
    }
}

/// While a controller may run an earlier version, no standing job is accepted, and users get status 503 at once,
/// which asks them to retry. Once all controllers are known to support standing jobs, all nodes accept them.
#[test]
fn standing_jobs_are_refused_until_all_controllers_support_them() {
    run(SEEDS, &setup(), |sim, rng| {
        // One controller's format version can't be read, as if it ran an earlier version.
        let node = rng.usize(0..3);
        sim.at(0.0, move |sim| hide_format_version(sim, node));
        let mut plan = JobPlan::new(1, 2, 1.0, 100_000.0);
        plan.standing = true;
        for k in 0..6 {
            let plan = plan.clone();
            sim.at(6.0 + f64::from(k), move |sim| {
                sim.state().checker.submitted(&plan);
                sim.insert_user(plan);
                for n in 0..3 {
                    sim.send_request("run-1", RequestKind::Submit, n, |sim, answer| {
                        expect_answer(sim, answer, 503, None);
                    });
                }
            });
        }
        sim.at(12.5, |sim| sim.state().hidden_key.clear());
        sim.at(20.0, move |sim| sim.user_submits(plan));
        sim.at(28.0, |sim| {
            assert!(sim.state().checker.is_accepted("run-1"));
            sim.user_cancels("run-1");
        });
    });
}

/// Hides the stored record format version of a node from all nodes.
fn hide_format_version(sim: &Arc<Simulation>, node: usize) {
    sim.state().hidden_key = format!("members/n-{node}");
}

/// A controller of the version in production is elected while there are records of standing jobs. This happens if an
/// earlier release accepted them before the term counter was fenced. The elected controller drops the start
/// watermarks of these jobs. The next leader must not conclude from that that no replica runs on a machine that it
/// can't reach.
#[test]
fn earlier_version_leads_while_standing_jobs_run() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        sim.at(0.0, |sim| {
            sim.write_record("level", &2u64);
            // One controller's format version is missing, so that the term counter isn't fenced.
            hide_format_version(sim, 2);
        });
        standing_jobs(sim, rng);
        let at = 34.0 + rng.f64() * 8.0;
        let (of, span) = (rng.usize(2..4), 10.0 + rng.f64() * 5.0);
        sim.at(at, move |sim| {
            let some = every_nth_of(sim.machines_up(), of);
            sim.cut_machines(&some, span, false);
        });
        let lead_span = 0.5 + rng.f64() * 3.0;
        sim.at(at + rng.f64(), move |sim| {
            let leader = sim.leader_or_any();
            sim.crash(leader, 0.3);
            older_version::lead(sim, (leader + 1) % 3, lead_span);
        });
    });
    let led = summaries
        .iter()
        .filter(|summary| summary.leaders >= 3)
        .count();
    assert!(
        led > SEEDS as usize,
        "the earlier version led in only {led} of {} simulations",
        summaries.len()
    );
}

/// Once all controllers can read the newest record format, a controller that restarts with the version in production
/// is never elected, however often the leadership is free. Until then it can be elected.
#[test]
fn earlier_version_cannot_lead_once_the_term_counter_is_fenced() {
    run(SEEDS, &setup(), |sim, rng| {
        let fenced = rng.bool();
        if !fenced {
            sim.at(0.0, |sim| hide_format_version(sim, 2));
        }
        let ids = jobs(sim, 4.0, 60.0, 30, |_, _| ());
        query_all_nodes_on_updates(sim, &every_nth(&ids, 3));
        let at = 20.0 + rng.f64() * 10.0;
        sim.at(at, move |sim| {
            let leader = sim.leader_or_any();
            let terms = sim.state().terms.len();
            older_version::lead(sim, leader, 3.0);
            sim.after(16_000_000, move |sim| {
                let state = sim.state();
                let older_led = state.terms[terms..].iter().any(|t| t.2 == leader);
                assert_eq!(older_led, !fenced, "{:?}", state.terms);
            });
        });
    });
}
