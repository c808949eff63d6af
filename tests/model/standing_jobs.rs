//! Standing jobs: their replicas when machines are lost and leaders change, and their cancellation.

use aspenreel_simulation::drawn_faults;
use aspenreel_simulation::run::run;
use aspenreel_simulation::scheduler::lock;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::workloads::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

/// Schedules standing jobs and array jobs on the same machines; returns the ids of the standing jobs. Some replicas
/// end by themselves. Each replica must run again after any fault, and a standing job must end only when it is
/// cancelled.
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
fn standing_jobs_run_until_cancelled_without_faults() {
    for summary in run(2, &setup(), |sim, rng| drop(standing_jobs(sim, rng))) {
        assert!(
            summary.cancelled >= 3 && summary.leaders == 1,
            "{summary:?}"
        );
    }
}

/// Faults that the operators' pages name (machines that fail, freeze or are partitioned, lost messages, a partitioned
/// zone), together with leader changes.
#[test]
fn standing_jobs_with_machine_faults_and_leader_changes() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
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
    for summary in summaries {
        assert!(
            summary.cancelled >= 3 && summary.leaders >= 3,
            "{summary:?}"
        );
    }
}

/// Schedules standing jobs of every kind: in a given zone, in any single zone, spread over two zones, without spot
/// machines, of the largest size that their team's limit allows, and with replicas that end at once. Returns their
/// ids.
fn standing_jobs_of_every_kind(sim: &Arc<Simulation>) -> Vec<String> {
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

/// Machines with replicas get preemption notices, freeze, are partitioned or fail, and the leader changes, while
/// array jobs use the remaining capacity. Each standing job is cancelled in one of these states and queried again
/// later. A machine may start a replica after the confirmation of the cancellation only if no command reaches the
/// machine.
#[test]
fn standing_jobs_of_every_kind_are_cancelled_during_machine_faults() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let unreached: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let standing = standing_jobs_of_every_kind(sim);
        jobs(sim, 4.0, 90.0, 60, |i, p| {
            p.run_s = 4.0 + f64::from(i % 4) * 4.0;
            p.priority = "low";
        });
        query_all_nodes_on_updates(sim, &standing);
        for (n, id) in standing.iter().enumerate() {
            let at = 30.0 + 8.0 * n as f64 + rng.f64() * 3.0;
            let (kind, span) = (rng.u32(0..6), 2.0 + rng.f64() * 20.0);
            let (affected, unreached) = (id.clone(), unreached.clone());
            sim.at(at, move |sim| {
                let machines = sim.machines_with_tasks_of(&affected);
                if matches!(kind, 1..=3) {
                    lock(&unreached).extend(machines.iter().cloned());
                }
                match kind {
                    0 => sim.give_preemption_notice(&machines, span),
                    1 => sim.freeze_machines(&machines, span),
                    2 => sim.cut_machines(&machines, span, false),
                    3 => sim.cut_machines(&machines, span, true),
                    4 => sim.kill_machines(&machines),
                    _ => sim.drop_outbound(&machines, span),
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
                let machine = start.split(' ').nth(2);
                machine.is_some_and(|machine| lock(&unreached).contains(machine))
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
    for summary in summaries {
        assert!(summary.cancelled == 8 && summary.done > 30, "{summary:?}");
    }
}

/// Two hundred standing jobs beside thousands of array tasks on eighty machines, with two leader changes and many
/// preemption notices at once. A new leader finds the replicas among the tasks, and neither kind of job starves the
/// other.
#[test]
fn standing_jobs_and_thousands_of_array_tasks_do_not_starve_each_other() {
    let cluster = Setup {
        machines: vec![("small", "east", true, 40), ("small", "west", true, 40)],
        teams: vec![("a", 300.0), ("b", 600.0)],
        capacity: 60,
        ..setup()
    };
    let summaries = run(2, &cluster, |sim, rng| {
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
    for summary in summaries {
        assert!(summary.starts > 2500 && summary.leaders >= 3, "{summary:?}");
        assert!(summary.done >= 35, "{summary:?}");
    }
}

/// Standing jobs under random faults of all kinds.
#[test]
fn standing_jobs_under_random_faults() {
    run(2 * SEEDS, &setup(), |sim, rng| {
        standing_jobs(sim, rng);
        drawn_faults::draw(sim, rng);
    });
}
