//! A cluster with more than four thousand machines.

use aspenreel_simulation::checker::JobPlan;
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use std::sync::Arc;

const MACHINES_PER_ZONE: usize = 2100;
/// CPUs of one machine.
const CPUS_PER_MACHINE: f64 = 8.0;
/// Number of machines that fail at once.
const FAILED_MACHINES: usize = 300;

/// Time since the leader last received a complete list of machines from the cloud, in seconds.
fn machine_list_age(sim: &Arc<Simulation>) -> Option<f64> {
    let leader = sim.leader()?;
    let node = sim.state().nodes[leader].controller.clone()?;
    let now = node.now();
    let state = node.state();
    let listed = state.scheduler.as_ref()?.provisioning.last_listed_at?;
    Some((now - listed).as_secs_f64())
}

/// Records a violation if `holds` is false. A panic instead would stop the simulation's time.
fn record_unless(sim: &Arc<Simulation>, holds: bool, problem: impl Fn() -> String) {
    if !holds {
        let text = format!("at {:.0} s: {}", sim.since_start().as_secs_f64(), problem());
        sim.state().checker.violations.push(text);
    }
}

/// All machines join and get work, the leader changes, and hundreds of machines fail at once. Every task is done,
/// and the list of machines stays up to date.
#[test]
fn job_completes_on_four_thousand_machines_despite_failures() {
    let machines = ["east", "west"].map(|zone| ("small", zone, true, MACHINES_PER_ZONE));
    let all = 2 * MACHINES_PER_ZONE;
    let cluster = Setup {
        machines: machines.to_vec(),
        teams: vec![("a", 2.0 * CPUS_PER_MACHINE * all as f64)],
        capacity: all,
        flags: |_| &["--half-cut-links", "--idle-ms", "3600000"],
        ..Setup::default()
    };
    let summaries = run(1, &cluster, move |sim, _| {
        // One task per machine, with all of its CPUs.
        let mut job = JobPlan::new(1, all as u32, CPUS_PER_MACHINE, 60.0);
        job.priority = "high";
        sim.submit(15.0, job);
        sim.at(60.0, move |sim| {
            let busy = sim.state().checker.active_tasks("run-1");
            record_unless(sim, busy > all * 9 / 10, || {
                format!("{busy} of {all} machines have work")
            });
            sim.crash(sim.leader_or_any(), 5.0);
        });
        sim.at(75.0, move |sim| {
            let some = sim.machines_up().into_iter().step_by(all / FAILED_MACHINES);
            sim.kill_machines(&some.take(FAILED_MACHINES).collect::<Vec<_>>());
        });
        // The list has nine pages, and the cloud accepts five requests per second.
        for at in [50.0, 130.0] {
            sim.at(at, |sim| {
                let age = machine_list_age(sim);
                record_unless(sim, age.is_some_and(|age| age < 20.0), || {
                    format!("last listed {age:?} s ago")
                });
            });
        }
    });
    for summary in summaries {
        assert_eq!((summary.done, summary.leaders), (1, 2), "{summary:?}");
        assert!(
            summary.starts as usize >= all + FAILED_MACHINES,
            "{summary:?}"
        );
    }
}
