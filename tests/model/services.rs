//! Standing services: what happens to them when machines and leaders are lost.

use aspenreel_simulation::drawn_faults;
use aspenreel_simulation::run::run;
use aspenreel_simulation::scheduler::lock;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::workloads::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

/// Standing jobs and arrays on the same machines, with replicas that end by themselves: whatever
/// happens, each replica runs again, and a standing job ends only when it is cancelled.
pub fn standing_jobs(sim: &Arc<Simulation>, rng: &mut fastrand::Rng) -> Vec<String> {
    let standing = jobs(sim, 6.0, 30.0, 8, |i, p| {
        p.id = format!("run-{}", 500 + i);
        p.standing = true;
        p.tasks = 2 + i % 3;
        p.cpus = 1.0;
        p.priority = "production";
        p.spread = i % 4 == 3;
        p.run_s = match i % 3 {
            0 => 40.0,
            _ => 100_000.0,
        };
    });
    let arrays = jobs(sim, 4.0, 70.0, 30, |i, p| {
        p.cpus = 2.0;
        p.run_s = 5.0 + f64::from(i % 5) * 3.0;
    });
    cancel_after_acceptance(sim, &every_nth(&arrays, 5), 10.0, rng);
    cancel_each(sim, &every_nth(&standing, 3), 40.0, 90.0, rng);
    query_all_nodes_on_updates(sim, &every_nth(&standing, 2));
    standing
}

#[test]
fn standing_jobs_on_a_quiet_day() {
    for end in run(2, &setup(), |sim, rng| drop(standing_jobs(sim, rng))) {
        assert!(end.cancelled >= 3 && end.leaders == 1, "{end:?}");
    }
}

/// The faults of the operators' pages, with leaders that change and machines that are lost.
#[test]
fn standing_jobs_lose_machines_and_leaders() {
    let ends = run(2 * SEEDS, &setup(), |sim, rng| {
        standing_jobs(sim, rng);
        for k in 0..3 {
            let at = 30.0 + 20.0 * f64::from(k) + rng.f64() * 8.0;
            let (kind, span, of) = (rng.u32(0..6), 4.0 + rng.f64() * 20.0, rng.usize(2..5));
            sim.at(at, move |sim| {
                let some = every_nth_of(sim.machines_up(), of);
                match kind {
                    0 => sim.kill_machines(&some),
                    1 => sim.cut_machines(&some, span, true),
                    2 => sim.freeze_machines(&some, span),
                    3 => sim.drop_outbound(&some, span),
                    4 => sim.drop_inbound(&some, span),
                    _ => sim.cut_zone("west", span),
                }
            });
            let back = 0.2 + rng.f64() * 3.0;
            sim.at(at + rng.f64() * 6.0, move |sim| {
                sim.crash(sim.leader_or_any(), back)
            });
        }
    });
    for end in ends {
        assert!(end.cancelled >= 3 && end.leaders >= 3, "{end:?}");
    }
}

/// Standing jobs of every kind: bound to one zone or spread over two, of one place only, without spot
/// machines, of the largest size that their team's limit allows, and with replicas that fail at once.
fn services_of_every_kind(sim: &Arc<Simulation>) -> Vec<String> {
    jobs(sim, 6.0, 20.0, 8, |i, p| {
        p.id = format!("run-{}", 600 + i);
        p.standing = true;
        p.priority = "production";
        p.cpus = 1.0;
        p.tasks = 3;
        p.run_s = 100_000.0;
        match i {
            0 => p.zone = Some("west".into()),
            1 => p.same_zone = true,
            2 => p.spread = true,
            3 => p.spot = false,
            4 => (p.team, p.tasks, p.cpus) = ("b".into(), 24, 1.0),
            5 => p.run_s = 0.3,
            6 => (p.same_zone, p.spot) = (true, false),
            _ => (p.zone, p.spot) = (Some("east".into()), false),
        }
    })
}

/// Machines with replicas are recalled, hang, are cut off or die, and the leader changes, while arrays
/// fill what room there is. Each service is cancelled in one of these states, and asked for again. A start
/// that its machine was about to make may come after the confirmation only where no order reaches it.
#[test]
fn services_of_every_kind_lose_machines_and_are_cancelled() {
    let ends = run(2 * SEEDS, &setup(), |sim, rng| {
        let unreached: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let services = services_of_every_kind(sim);
        jobs(sim, 4.0, 90.0, 60, |i, p| {
            p.run_s = 4.0 + f64::from(i % 4) * 4.0;
            p.priority = "low";
        });
        query_all_nodes_on_updates(sim, &services);
        for (n, id) in services.iter().enumerate() {
            let at = 30.0 + 8.0 * n as f64 + rng.f64() * 3.0;
            let (kind, span) = (rng.u32(0..6), 2.0 + rng.f64() * 20.0);
            let (lost, unreached) = (id.clone(), unreached.clone());
            sim.at(at, move |sim| {
                let on = sim.machines_with_tasks_of(&lost);
                if matches!(kind, 1..=3) {
                    lock(&unreached).extend(on.iter().cloned());
                }
                match kind {
                    0 => sim.give_preemption_notice(&on, span),
                    1 => sim.freeze_machines(&on, span),
                    2 => sim.cut_machines(&on, span, false),
                    3 => sim.cut_machines(&on, span, true),
                    4 => sim.kill_machines(&on),
                    _ => sim.drop_outbound(&on, span),
                }
            });
            let cancelled = id.clone();
            sim.at(at + rng.f64() * 8.0, move |sim| {
                sim.user_cancels(&cancelled)
            });
            let again = id.clone();
            sim.at(150.0 + n as f64, move |sim| sim.query_all_nodes(&again));
        }
        sim.at(160.0, move |sim| {
            let on_unreached = |start: &String| {
                let on = start.split(' ').nth(2);
                on.is_some_and(|machine| lock(&unreached).contains(machine))
            };
            let late = &sim.state().checker.late_starts;
            assert!(late.iter().all(on_unreached), "{late:?}");
        });
        for k in 0..3 {
            let (at, back) = (35.0 + 22.0 * f64::from(k), 0.2 + rng.f64() * 3.0);
            sim.at(at + rng.f64() * 8.0, move |sim| {
                sim.crash(sim.leader_or_any(), back)
            });
        }
    });
    for end in ends {
        assert!(end.cancelled == 8 && end.done > 30, "{end:?}");
    }
}

/// Two hundred services beside thousands of array tasks, on eighty machines, with two changes of leaders and
/// a wave of recalls: a new leader finds the replicas among them, and neither starves the other.
#[test]
fn services_among_thousands_of_tasks() {
    let site = Setup {
        machines: vec![("small", "east", true, 40), ("small", "west", true, 40)],
        teams: vec![("a", 300.0), ("b", 600.0)],
        capacity: 60,
        ..setup()
    };
    let ends = run(2, &site, |sim, rng| {
        jobs(sim, 4.0, 40.0, 200, |i, p| {
            p.id = format!("run-{}", 3000 + i);
            p.standing = true;
            p.priority = "production";
            p.cpus = 0.25;
            p.tasks = 2 + i % 3;
            p.run_s = 100_000.0;
        });
        let arrays = jobs(sim, 4.0, 70.0, 40, |i, p| {
            p.team = "b".into();
            p.tasks = 60;
            p.cpus = 1.0;
            p.run_s = 8.0 + f64::from(i % 5) * 2.0;
        });
        cancel_each(sim, &every_nth(&arrays, 8), 40.0, 70.0, rng);
        sim.at(45.0 + rng.f64() * 4.0, |sim| {
            sim.crash(sim.leader_or_any(), 0.5)
        });
        sim.at(60.0 + rng.f64() * 4.0, |sim| {
            let some = every_nth_of(sim.machines_up(), 3);
            sim.give_preemption_notice(&some, 6.0);
        });
        sim.at(62.0 + rng.f64() * 6.0, |sim| {
            sim.crash(sim.leader_or_any(), 3.0)
        });
    });
    for end in ends {
        assert!(end.starts > 2500 && end.leaders >= 3, "{end:?}");
        assert!(end.done >= 35, "{end:?}");
    }
}

/// Standing jobs beside whatever the seed draws.
#[test]
fn standing_jobs_under_any_troubles() {
    run(2 * SEEDS, &setup(), |sim, rng| {
        standing_jobs(sim, rng);
        drawn_faults::draw(sim, rng);
    });
}
