//! Runs of a test plan with many seeds in parallel.

use crate::scheduler;
use crate::setup::Setup;
use crate::simulation::Simulation;
use crate::summary::Summary;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// Permit to run one simulation. The tests of a process share as many permits as there are processors, so that
/// tests that run in parallel don't run more simulations than that at once.
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

/// Runs a simulation with each seed from 1 to `seeds`, or only with the seed in the environment variable
/// `MODEL_SEED`, and returns the summaries in the order of the seeds. Simulations run in parallel.
///
/// # Panics
///
/// If a rule was violated in any of the simulations.
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
    let summaries = run_seeds(&seeds, setup, plan);
    let mut violations = Vec::new();
    for (seed, summary) in seeds.iter().zip(&summaries) {
        println!("seed {seed}: {summary:?}");
        violations.extend(
            summary
                .violations
                .iter()
                .map(|v| format!("seed {seed}: {v}")),
        );
    }
    assert!(violations.is_empty(), "{violations:#?}");
    summaries
}

/// Runs a simulation with each of these seeds in parallel, and returns the summaries ordered by seed.
pub fn run_seeds(
    seeds: &[u64],
    setup: &Setup,
    plan: impl Fn(&Arc<Simulation>, &mut fastrand::Rng) + Sync,
) -> Vec<Summary> {
    let next = AtomicUsize::new(0);
    let summaries: Mutex<Vec<(u64, Summary)>> = Mutex::default();
    std::thread::scope(|scope| {
        let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
        for _ in 0..threads.min(seeds.len()) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let _permit = Permit::acquire();
                    let sim = Simulation::new(*seed, setup.clone());
                    plan(&sim, &mut fastrand::Rng::with_seed(*seed));
                    let summary = sim.finish();
                    scheduler::lock(&summaries).push((*seed, summary));
                }
            });
        }
    });
    let mut summaries = std::mem::take(&mut *scheduler::lock(&summaries));
    summaries.sort_by_key(|(seed, _)| *seed);
    summaries.into_iter().map(|(_, summary)| summary).collect()
}
