//! Direct commands that workers have executed and answered arrive once more, seconds or minutes later.

use aspenreel_simulation::checker::JobPlan;
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{CANCEL_S, Setup};
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::workloads::*;
use std::sync::Arc;

/// Starts of the bursts of jobs, in seconds.
const BURSTS_S: [f64; 3] = [4.0, 50.0, 96.0];
/// Number of jobs in one burst.
const JOBS_IN_BURST: u32 = 14;

/// Cluster with less room than its jobs need, so that urgent jobs preempt others.
fn scarce_cluster() -> Setup {
    Setup {
        capacity: 5,
        machines: vec![("small", "east", true, 3), ("small", "west", true, 2)],
        ..setup()
    }
}

/// Schedules bursts of jobs of all priorities, some of which are cancelled, and a fault that repeats most direct
/// commands. Between the bursts the machines have room for a task that a copy starts.
fn preempted_and_cancelled_jobs(sim: &Arc<Simulation>, rng: &mut fastrand::Rng) {
    for (burst, from) in (0..).zip(BURSTS_S) {
        let ids = jobs(sim, from, from + 8.0, JOBS_IN_BURST, |i, p| {
            let run_s = 10.0 + f64::from(i % 3) * 20.0;
            *p = JobPlan::new(burst * JOBS_IN_BURST + i, 1, 4.0, run_s);
            p.priority = ["low", "normal", "high", "production"][i as usize % 4];
        });
        cancel_after_acceptance(sim, &every_nth(&ids, 3), 12.0, rng);
    }
    let delay_s = 0.1..CANCEL_S + 50.0;
    sim.at(4.0, move |sim| sim.repeat_commands(0.8, delay_s, 120.0));
}

/// Guards against starts of tasks that have moved or were cancelled, when the network repeats the commands that started
/// them on their first machines.
#[test]
fn repeated_starts_of_moved_and_cancelled_tasks_are_not_executed() {
    let summaries = run(SEEDS, &scarce_cluster(), preempted_and_cancelled_jobs);
    for summary in summaries {
        assert!(summary.cancelled > 5 && summary.done > 20, "{summary:?}");
    }
}

/// The same across leader changes: the copies may arrive before, while and after the next leader reconciles the machines.
#[test]
fn repeated_starts_are_not_executed_after_leader_changes() {
    let summaries = run(SEEDS, &scarce_cluster(), |sim, rng| {
        preempted_and_cancelled_jobs(sim, rng);
        for k in 0..5 {
            let at = 15.0 + 18.0 * f64::from(k) + rng.f64() * 6.0;
            let back = 0.2 + rng.f64() * 3.0;
            sim.at(at, move |sim| sim.crash(sim.leader_or_any(), back));
        }
    });
    for summary in summaries {
        assert!(summary.leaders >= 4 && summary.done > 15, "{summary:?}");
    }
}

/// The same while workers and controllers come back within a second: a restarted worker knows none of its attempts, and
/// in half of the runs not even its fencing token.
#[test]
fn repeated_starts_are_not_executed_after_workers_come_back_at_once() {
    let summaries = run(SEEDS, &scarce_cluster(), |sim, rng| {
        preempted_and_cancelled_jobs(sim, rng);
        let forgets_token = rng.bool();
        for k in 0..12 {
            let at = 12.0 + 9.0 * f64::from(k) + rng.f64() * 6.0;
            let (back, of) = (0.05 + rng.f64() * 0.9, rng.usize(1..4));
            sim.at(at, move |sim| {
                let some = every_nth_of(sim.machines_up(), of);
                sim.restart_workers(&some, back, forgets_token);
            });
            if k % 3 == 0 {
                let back = 0.1 + rng.f64() * 0.8;
                sim.at(at + rng.f64(), move |sim| {
                    sim.crash(sim.leader_or_any(), back)
                });
            }
        }
    });
    for summary in summaries {
        assert!(summary.leaders >= 3 && summary.done > 10, "{summary:?}");
    }
}
