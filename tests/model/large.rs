//! A site with more than four thousand machines.

use aspenreel_simulation::checker::JobPlan;
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::Setup;
use aspenreel_simulation::simulation::Simulation;
use std::sync::Arc;

const MACHINES_IN_ZONE: usize = 2100;
/// Of a machine's eight CPUs.
const CPUS: f64 = 8.0;
const VANISH: usize = 300;

/// How long ago the leader last had a whole list of machines, in seconds.
fn age_of_list(sim: &Arc<Simulation>) -> Option<f64> {
    let leader = sim.leader()?;
    let node = sim.state().nodes[leader].controller.clone()?;
    let now = node.now();
    let state = node.state();
    let listed = state.scheduler.as_ref()?.provisioning.last_listed_at?;
    Some((now - listed).as_secs_f64())
}

/// Notes what isn't as it should be with the broken rules: a panic would stop the simulation's time.
fn require(sim: &Arc<Simulation>, holds: bool, problem: impl Fn() -> String) {
    if !holds {
        let text = format!("at {:.0} s: {}", sim.since_start().as_secs_f64(), problem());
        sim.state().checker.violations.push(text);
    }
}

/// All machines join and get work, the leader changes, hundreds of machines vanish at once: every task runs
/// to its end, and no machine is forgotten.
#[test]
fn four_thousand_machines() {
    let machines = ["east", "west"].map(|zone| ("small", zone, true, MACHINES_IN_ZONE));
    let all = 2 * MACHINES_IN_ZONE;
    let site = Setup {
        machines: machines.to_vec(),
        teams: vec![("a", 2.0 * CPUS * all as f64)],
        capacity: all,
        flags: |_| &["--half-cut-links", "--idle-ms", "3600000"],
        ..Setup::default()
    };
    let ends = run(1, &site, move |sim, _| {
        // One task for each machine takes all of it.
        let mut everywhere = JobPlan::new(1, all as u32, CPUS, 60.0);
        everywhere.priority = "high";
        sim.submit(15.0, everywhere);
        sim.at(60.0, move |sim| {
            let busy = sim.state().checker.active_tasks("run-1");
            require(sim, busy > all * 9 / 10, || {
                format!("{busy} of {all} machines have work")
            });
            sim.crash(sim.leader_or_any(), 5.0);
        });
        sim.at(75.0, move |sim| {
            let some = sim.machines_up().into_iter().step_by(all / VANISH);
            sim.kill_machines(&some.take(VANISH).collect::<Vec<_>>());
        });
        // The list has nine pages, and the cloud takes five requests a second.
        for at in [50.0, 130.0] {
            sim.at(at, |sim| {
                let age = age_of_list(sim);
                require(sim, age.is_some_and(|age| age < 20.0), || {
                    format!("last listed {age:?} s ago")
                });
            });
        }
    });
    for end in ends {
        assert_eq!((end.done, end.leaders), (1, 2), "{end:?}");
        assert!(end.starts as usize >= all + VANISH, "{end:?}");
    }
}
