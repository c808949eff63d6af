//! Runs a plan on many seeds at once.

use crate::scheduler;
use crate::setup::Setup;
use crate::simulation::Simulation;
use crate::summary::Summary;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// Room to play one model: whatever tests run at once, no more than there are processors.
struct Permit;

static PERMITS_TAKEN: Mutex<usize> = Mutex::new(0);
static PERMIT_RETURNED: Condvar = Condvar::new();

impl Permit {
    fn acquire() -> Permit {
        let limit = std::thread::available_parallelism().map_or(2, |n| n.get());
        let mut taken = scheduler::lock(&PERMITS_TAKEN);
        while *taken >= limit {
            taken = PERMIT_RETURNED
                .wait(taken)
                .unwrap_or_else(|e| e.into_inner());
        }
        *taken += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *scheduler::lock(&PERMITS_TAKEN) -= 1;
        PERMIT_RETURNED.notify_one();
    }
}

/// Runs a simulation with each seed, or with the one that `MODEL_SEED` names, several at once, and
/// returns how each ended. No rule may break in any.
#[track_caller]
pub fn run(
    seeds: u64,
    setup: &Setup,
    plan: impl Fn(&Arc<Simulation>, &mut fastrand::Rng) + Sync,
) -> Vec<Summary> {
    let seeds: Vec<u64> = match std::env::var("MODEL_SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (1..=seeds).collect(),
    };
    let ends = run_seeds(&seeds, setup, plan);
    let mut broken = Vec::new();
    for (seed, end) in seeds.iter().zip(&ends) {
        println!("seed {seed}: {end:?}");
        broken.extend(end.violations.iter().map(|b| format!("seed {seed}: {b}")));
    }
    assert!(broken.is_empty(), "{broken:#?}");
    ends
}

/// Runs a simulation with each of these seeds, several at once; how each ended, in their order.
pub fn run_seeds(
    seeds: &[u64],
    setup: &Setup,
    plan: impl Fn(&Arc<Simulation>, &mut fastrand::Rng) + Sync,
) -> Vec<Summary> {
    let next = AtomicUsize::new(0);
    let ends: Mutex<Vec<(u64, Summary)>> = Mutex::default();
    std::thread::scope(|scope| {
        let workers = std::thread::available_parallelism().map_or(2, |n| n.get());
        for _ in 0..workers.min(seeds.len()) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let _permit = Permit::acquire();
                    let sim = Simulation::new(*seed, setup.clone());
                    plan(&sim, &mut fastrand::Rng::with_seed(*seed));
                    let end = sim.finish();
                    scheduler::lock(&ends).push((*seed, end));
                }
            });
        }
    });
    let mut ends = std::mem::take(&mut *scheduler::lock(&ends));
    ends.sort_by_key(|(seed, _)| *seed);
    ends.into_iter().map(|(_, end)| end).collect()
}
