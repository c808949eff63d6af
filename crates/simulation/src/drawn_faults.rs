//! Random workloads and faults that a seed determines.

use crate::checker::JobPlan;
use crate::simulation::Simulation;
use std::sync::Arc;

/// End of the period in which jobs are submitted and faults begin, in seconds.
const WORKLOAD_S: f64 = 130.0;

/// Random subset of the machines that are up; the share is random too.
fn random_machines(sim: &Arc<Simulation>, rng: &mut fastrand::Rng) -> Vec<String> {
    let up = sim.machines_up();
    let share = rng.f64();
    up.into_iter().filter(|_| rng.f64() < share).collect()
}

/// Schedules random jobs, random behavior of their users, and random faults.
pub fn draw(sim: &Arc<Simulation>, rng: &mut fastrand::Rng) {
    let mut at = 3.0;
    for i in 0.. {
        at += rng.f64() * 4.0;
        if at > WORKLOAD_S {
            break;
        }
        let tasks = [1, 1, 2, 3, 8][rng.usize(0..5)];
        let mut plan = JobPlan::new(
            i,
            tasks,
            [2.0, 4.0, 8.0][rng.usize(0..3)],
            3.0 + rng.f64() * 25.0,
        );
        plan.team = ["a", "a", "b"][rng.usize(0..3)].into();
        plan.priority = ["low", "normal", "high"][rng.usize(0..3)];
        match rng.u32(0..8) {
            0 => plan.same_zone = true,
            1 => plan.spread = true,
            2 => plan.zone = Some("west".into()),
            3 => plan.checkpoint_s = 2.0,
            _ => {}
        }
        let id = plan.id.clone();
        sim.submit(at, plan);
        if rng.u32(0..3) == 0 {
            let id = id.clone();
            sim.at(at + 0.001, move |sim| {
                sim.change_user(&id, |u| u.queries_all_nodes = true)
            });
        }
        if rng.u32(0..3) == 0 {
            let when = at + rng.f64() * rng.f64() * 40.0;
            sim.at(when, move |sim| sim.user_cancels(&id));
        }
    }
    let mut at = 10.0 + rng.f64() * 10.0;
    while at < WORKLOAD_S {
        // One to three faults that begin within three seconds, so that they can overlap.
        for _ in 0..rng.u32(1..4) {
            schedule_fault(sim, at + rng.f64() * 3.0, rng);
        }
        at += 5.0 + rng.f64() * 30.0;
    }
}

/// Schedules a random fault at this second. Its kind and duration are drawn now, its other details when it begins,
/// from a generator of its own.
fn schedule_fault(sim: &Arc<Simulation>, at: f64, rng: &mut fastrand::Rng) {
    let mut fault_rng = fastrand::Rng::with_seed(rng.u64(..));
    let span = [0.5, 4.0, 12.0, 25.0][rng.usize(0..4)] * (0.5 + rng.f64());
    let kind = rng.u32(0..17);
    sim.at(at, move |sim| {
        let leader = sim.leader_or_any();
        let any = fault_rng.usize(0..sim.setup.nodes);
        match kind {
            0 => sim.crash(leader, [0.2, 3.0][fault_rng.usize(0..2)]),
            1 => sim.crash(any, 3.0),
            2 => (0..sim.setup.nodes).for_each(|n| sim.crash(n, 0.1 + 4.0 * fault_rng.f64())),
            3 => sim.freeze(leader, span),
            4 => sim.refuse_node(leader, span),
            5 => sim.cut_store(leader, span, fault_rng.bool()),
            6 => sim.cut_workers(leader, span),
            7 => sim.store_outage(span),
            8 => sim.leave_writes_unanswered(0.3 + 0.5 * fault_rng.f64(), fault_rng.bool(), span),
            9 => sim.duplicate_heartbeats(0.5, fault_rng.bool(), span),
            10 => sim.cut_zone("west", span),
            11 => sim.freeze_machines(&random_machines(sim, &mut fault_rng), span),
            12 => sim.cut_machines(
                &random_machines(sim, &mut fault_rng),
                span,
                fault_rng.bool(),
            ),
            13 => sim.drop_outbound(&random_machines(sim, &mut fault_rng), span),
            14 => sim.drop_inbound(&random_machines(sim, &mut fault_rng), span),
            15 => sim.kill_machines(&random_machines(sim, &mut fault_rng)),
            _ => sim.slow_store(0.05 + 0.85 * fault_rng.f64(), span),
        }
    });
}
