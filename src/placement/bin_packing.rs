//! Bin packing: the best machine for a task among those with free capacity.

use super::pass_state::{CandidateMachine, PlacementPass};
use super::zones::TasksByZone;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::workers::Machine;

/// The cost, in seconds, of a CPU that is twice as expensive as the cheapest; in proportion.
const PRICE_WEIGHT: f64 = 6.0;

/// The most that a price counts, in seconds.
const MAX_PRICE_COST: f64 = 10.0;

/// The cost, in seconds, of a machine that would be left wholly free: fuller machines come first.
const LEFTOVER_WEIGHT: f64 = 3.0;

/// The cost, in seconds, of a machine on which a task of the job failed: it is the last resort.
const FAILED_COST: f64 = 1000.0;

/// The part of an image that is still to be fetched, on average, while a fetch is under way.
const FETCH_LEFT: f64 = 0.5;

/// Of the machines with free capacity one in so many is drawn, where that is more than the configured sample:
/// three of hundreds seldom meet a machine that has the image or is nearly full.
const DRAWN_OF: usize = 16;

/// A candidate's index in the pass, with its cost in seconds.
struct ScoredCandidate {
    cost: f64,
    index: usize,
}

impl SchedulerState {
    /// The best machine among a few drawn at random, or among all if none of those fits: its index among the
    /// pass's candidates. None if no machine fits.
    pub(super) fn choose_machine(
        &mut self,
        id: JobId,
        pass: &mut PlacementPass,
        zones: &TasksByZone,
    ) -> Option<usize> {
        let job = self.jobs.table.get(&id)?;
        let (demand, is_unconstrained) = (job.spec.demand, job.spec.is_unconstrained());
        if pass.unplaceable.iter().any(|other| other.fits(demand)) {
            return None;
        }
        let mut best = self.best_of_sample(id, pass, zones);
        if best.is_none() {
            best = self.best_of_all(id, pass, zones);
            if best.is_none() && is_unconstrained {
                pass.unplaceable.push(demand);
            }
        }
        best.map(|best| best.index)
    }

    /// The best of a few candidates drawn at random. Those that turn out to be full are drawn no more.
    fn best_of_sample(
        &mut self,
        id: JobId,
        pass: &mut PlacementPass,
        zones: &TasksByZone,
    ) -> Option<ScoredCandidate> {
        let job = self.jobs.table.get(&id)?;
        let mut best = None;
        let sample = self
            .config
            .candidate_sample
            .max(pass.with_capacity.len() / DRAWN_OF);
        for _ in 0..sample {
            if pass.with_capacity.is_empty() {
                break;
            }
            let drawn = self.rng.usize(0..pass.with_capacity.len());
            let index = pass.with_capacity[drawn];
            if pass.candidates[index].free.cpu <= 0 {
                pass.with_capacity.swap_remove(drawn);
                continue;
            }
            let cost = self.cost(job, &pass.candidates[index], zones);
            keep_cheaper(&mut best, index, cost);
        }
        best
    }

    /// The best of all candidates with free capacity.
    fn best_of_all(
        &self,
        id: JobId,
        pass: &PlacementPass,
        zones: &TasksByZone,
    ) -> Option<ScoredCandidate> {
        let job = self.jobs.table.get(&id)?;
        let mut best = None;
        for index in &pass.with_capacity {
            let cost = self.cost(job, &pass.candidates[*index], zones);
            keep_cheaper(&mut best, *index, cost);
        }
        best
    }

    /// What it costs to place the task there, in seconds, lower is better; None if it doesn't fit.
    fn cost(&self, job: &Job, candidate: &CandidateMachine, zones: &TasksByZone) -> Option<f64> {
        let demand = job.spec.demand;
        if !demand.fits(candidate.free) || !demand.fits(candidate.promised) {
            return None;
        }
        let m = self.machines.get(&candidate.name)?;
        if !job.allows_machine(m, zones) {
            return None;
        }
        let left = (candidate.free.cpu - demand.cpu) as f64 / m.total.cpu.max(1) as f64;
        let failed = match job.failed_on.contains(&m.name) {
            true => FAILED_COST,
            false => 0.0,
        };
        // Expensive machines are left to themselves, so that they become idle and are returned.
        let premium = self.provisioning.price_premium(&m.type_name, m.spot);
        let price = (PRICE_WEIGHT * premium).min(MAX_PRICE_COST);
        Some(self.fetch_time(job, m) + LEFTOVER_WEIGHT * left + price + failed)
    }

    /// How long the machine takes to fetch the job's image, in seconds.
    fn fetch_time(&self, job: &Job, m: &Machine) -> f64 {
        let rate = self.provisioning.fetch_gb_per_s_of(&m.type_name);
        match m.images.get(&job.spec.image) {
            Some(image) if image.cached => 0.0,
            Some(image) => image.gb / rate * FETCH_LEFT,
            None => {
                let fetched = m.images.values().filter(|image| !image.cached);
                let queued: f64 = fetched.map(|image| image.gb).sum();
                (job.spec.image_gb + queued) / rate
            }
        }
    }
}

/// Keeps the candidate if it fits and costs less than the best so far.
fn keep_cheaper(best: &mut Option<ScoredCandidate>, index: usize, cost: Option<f64>) {
    if let Some(cost) = cost
        && best.as_ref().is_none_or(|best| cost < best.cost)
    {
        *best = Some(ScoredCandidate { cost, index });
    }
}
