//! Days of troubles drawn by a seed.

use crate::checker::JobPlan;
use crate::world::World;
use std::sync::Arc;

/// How long jobs come and troubles begin, in seconds.
const DAY_S: f64 = 130.0;

fn some_machines(w: &Arc<World>, rng: &mut fastrand::Rng) -> Vec<String> {
    let up = w.machines_up();
    let share = rng.f64();
    up.into_iter().filter(|_| rng.f64() < share).collect()
}

/// Jobs of all kinds, users of all kinds, and troubles.
pub fn draw(w: &Arc<World>, rng: &mut fastrand::Rng) {
    let mut at = 3.0;
    for i in 0.. {
        at += rng.f64() * 4.0;
        if at > DAY_S {
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
        plan.rank = ["low", "normal", "high"][rng.usize(0..3)];
        match rng.u32(0..8) {
            0 => plan.one_zone = true,
            1 => plan.spread = true,
            2 => plan.zone = Some("west".into()),
            3 => plan.save_s = 2.0,
            _ => {}
        }
        let id = plan.id.clone();
        w.submit(at, plan);
        if rng.u32(0..3) == 0 {
            let id = id.clone();
            w.at(at + 0.001, move |w| {
                w.change_user(&id, |u| u.close_looks = true)
            });
        }
        if rng.u32(0..3) == 0 {
            let when = at + rng.f64() * rng.f64() * 40.0;
            w.at(when, move |w| w.user_cancels(&id));
        }
    }
    let mut at = 10.0 + rng.f64() * 10.0;
    while at < DAY_S {
        // Two or three at a time, close together.
        for _ in 0..rng.u32(1..4) {
            one(w, at + rng.f64() * 3.0, rng);
        }
        at += 5.0 + rng.f64() * 30.0;
    }
}

fn one(w: &Arc<World>, at: f64, rng: &mut fastrand::Rng) {
    let mut own = fastrand::Rng::with_seed(rng.u64(..));
    let span = [0.5, 4.0, 12.0, 25.0][rng.usize(0..4)] * (0.5 + rng.f64());
    let kind = rng.u32(0..17);
    w.at(at, move |w| {
        let leader = w.leader_or_any();
        let any = own.usize(0..w.setup.nodes);
        match kind {
            0 => w.crash(leader, [0.2, 3.0][own.usize(0..2)]),
            1 => w.crash(any, 3.0),
            2 => (0..w.setup.nodes).for_each(|n| w.crash(n, 0.1 + 4.0 * own.f64())),
            3 => w.freeze(leader, span),
            4 => w.refuse(leader, span),
            5 => w.cut_state(leader, span, own.bool()),
            6 => w.cut_workers(leader, span),
            7 => w.outage(span),
            8 => w.late_writes(0.3 + 0.5 * own.f64(), own.bool(), span),
            9 => w.late_reports(0.5, own.bool(), span),
            10 => w.cut_zone("west", span),
            11 => w.hang(&some_machines(w, &mut own), span),
            12 => w.cut(&some_machines(w, &mut own), span, own.bool()),
            13 => w.mute(&some_machines(w, &mut own), span),
            14 => w.deafen(&some_machines(w, &mut own), span),
            15 => w.die(&some_machines(w, &mut own)),
            _ => w.slow_state(0.05 + 0.85 * own.f64(), span),
        }
    });
}
