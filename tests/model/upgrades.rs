//! Upgrades while serving: limits that are lowered, and controllers of the version in production.

use crate::services::standing_jobs;
use aspenreel::http::cbor::json_len;
use aspenreel_simulation::checker::{JobPlan, RequestKind};
use aspenreel_simulation::fake_store::Limits;
use aspenreel_simulation::older_version;
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::workloads::*;
use std::sync::Arc;

/// What the key-value store takes once its limits are lowered.
const LOWERED: Limits = Limits {
    value_bytes: 2048,
    txn_ops: 4,
    rps: 100.0,
    write_rps: 30.0,
};

/// The key-value store takes less from some moment on, without notice, just before or after the leader
/// changes: values, changes in a transaction, requests and changes a second. There are hundreds of claims
/// and a job of 100,000 tasks, and in half of the days a controller is away; nothing is beyond the limits,
/// and all goes on.
#[test]
fn the_state_service_lowers_its_limits() {
    let site = Setup {
        next_store_limits: "value_kb = 2.0, txn_ops = 4, rps = 100.0, write_rps = 30.0",
        ..setup()
    };
    let ends = run(SEEDS, &site, |sim, rng| {
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
            // What is left of the rates is shared by the others; the sum stays within the limit.
            sim.at(crash + 5.0, |sim| {
                sim.crash((sim.leader_or_any() + 1) % 3, 40.0)
            });
        }
        sim.at(110.0, |sim| sim.user_cancels("run-2000"));
        sim.at(125.0, |sim| {
            let state = sim.state();
            let keys = &state.store;
            assert_eq!(
                keys.rejected_transactions, 0,
                "transactions beyond the limits"
            );
            let (over, all) = (keys.throttled_requests, keys.limited_requests);
            assert!(over * 200 < all, "{over} of {all} requests too many");
        });
    });
    for end in ends {
        assert!(end.leaders >= 2, "{end:?}");
    }
}

/// The limits are lowered while an earlier version may still lead, which writes larger pages: these are
/// left as they are, and what changes on them is recorded all the same.
#[test]
fn pages_of_an_earlier_version_are_beyond_the_limits() {
    let ends = run(SEEDS, &setup(), |sim, rng| {
        sim.at(0.0, |sim| hide_statement(sim, 2));
        // Many that run for long, so that their claims stay, and one whose claim grows all the time.
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
                let keys = &mut state.store;
                keys.limits = Some(LOWERED);
                let pages = keys
                    .rows
                    .iter()
                    .filter(|(key, _)| key.starts_with("claims/"));
                let sizes: Vec<_> = pages.map(|(key, row)| (key, json_len(&row.0))).collect();
                let is_large = |(_, size): &(_, usize)| *size > LOWERED.value_bytes;
                assert!(
                    sizes.iter().any(is_large),
                    "no page is too large: {sizes:?}"
                );
            });
        });
        sim.at(110.0, |sim| {
            assert_eq!(sim.state().store.rejected_transactions, 0)
        });
    });
    for end in ends {
        assert!(end.starts > 450 && end.leaders >= 2, "{end:?}");
    }
}

/// While a controller of the earlier version may come back, no standing job is accepted: users are told
/// to come back at once. Once all know what it is, all accept it.
#[test]
fn standing_jobs_wait_for_all_controllers() {
    run(SEEDS, &setup(), |sim, rng| {
        // One controller's statement can't be read: as if it were of the version before.
        let old = rng.usize(0..3);
        sim.at(0.0, move |sim| hide_statement(sim, old));
        let mut plan = JobPlan::new(1, 2, 1.0, 100_000.0);
        plan.standing = true;
        for k in 0..6 {
            let plan = plan.clone();
            sim.at(6.0 + f64::from(k), move |sim| {
                sim.state().checker.submitted(&plan);
                sim.insert_user(plan);
                for n in 0..3 {
                    sim.send_request("run-1", RequestKind::Submit, n, |sim, told| {
                        expect_answer(sim, told, 503, None);
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

fn hide_statement(sim: &Arc<Simulation>, n: usize) {
    sim.state().hidden_key = format!("members/n-{n}");
}

/// A controller of the version in production takes the lead while standing jobs are on record, as where
/// an earlier landing accepted them before any fence. It drops their claims; the next leader must not take
/// that for proof that no replica runs on a machine that it doesn't see.
#[test]
fn an_earlier_version_leads_while_standing_jobs_run() {
    let ends = run(2 * SEEDS, &setup(), |sim, rng| {
        sim.at(0.0, |sim| {
            sim.write_record("level", &2u64);
            // One has not stated the newest format: nobody is fenced off.
            hide_statement(sim, 2);
        });
        standing_jobs(sim, rng);
        let at = 34.0 + rng.f64() * 8.0;
        let (of, span) = (rng.usize(2..4), 10.0 + rng.f64() * 5.0);
        sim.at(at, move |sim| {
            let some = every_nth_of(sim.machines_up(), of);
            sim.cut_machines(&some, span, false);
        });
        let lead = 0.5 + rng.f64() * 3.0;
        sim.at(at + rng.f64(), move |sim| {
            let leader = sim.leader_or_any();
            sim.crash(leader, 0.3);
            older_version::lead(sim, (leader + 1) % 3, lead);
        });
    });
    let led = ends.iter().filter(|end| end.leaders >= 3).count();
    assert!(
        led > SEEDS as usize,
        "it seldom led: {led} of {}",
        ends.len()
    );
}

/// Once all controllers know the newest format, one that comes back in the version of production never
/// takes the lead, however often it is free; until then it may.
#[test]
fn an_earlier_version_cannot_lead_behind_the_fence() {
    run(SEEDS, &setup(), |sim, rng| {
        let fenced = rng.bool();
        if !fenced {
            sim.at(0.0, |sim| hide_statement(sim, 2));
        }
        let ids = jobs(sim, 4.0, 60.0, 30, |_, _| ());
        query_all_nodes_on_updates(sim, &every_nth(&ids, 3));
        let before = 20.0 + rng.f64() * 10.0;
        sim.at(before, move |sim| {
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
