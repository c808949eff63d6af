//! Bin packing: choice of the machine with the lowest cost for a task among those with free capacity.

use super::pass_state::{CandidateMachine, PlacementPass};
use super::zones::TasksByZone;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::workers::{Machine, entry_bytes};

/// Cost, in seconds, of a machine whose CPUs cost twice the cheapest price. Other prices count in proportion to their
/// premium over the cheapest.
const PRICE_WEIGHT: f64 = 6.0;

/// Upper limit of the part of the cost that is due to the price, in seconds.
const MAX_PRICE_COST: f64 = 10.0;

/// Cost, in seconds, of a machine whose CPUs would all stay free, and in proportion for a part of them: fuller
/// machines are preferred.
const LEFTOVER_WEIGHT: f64 = 3.0;

/// Cost, in seconds, of a machine on which a task of the job failed: such machines are chosen last.
const FAILED_COST: f64 = 1000.0;

/// Fraction of an image that remains to be fetched, on average, while a fetch is under way.
const REMAINING_FETCH_FRACTION: f64 = 0.5;

/// Divisor of the number of machines with free capacity, which gives the number of candidates drawn at random if that
/// is more than the configured sample: a sample of three out of hundreds seldom includes a machine that has the image
/// or is nearly full.
const SAMPLE_DIVISOR: usize = 16;

/// Index of a candidate in the pass, and its cost in seconds.
struct ScoredCandidate {
    cost: f64,
    index: usize,
}

impl SchedulerState {
    /// Index of the candidate with the lowest cost among a few drawn at random or, if none of those fits, among all;
    /// `None` if no candidate fits.
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

    /// The candidate with the lowest cost of a few drawn at random. Drawn candidates without a free CPU are removed
    /// from `with_capacity` if all tasks demand CPUs.
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
            .max(pass.with_capacity.len() / SAMPLE_DIVISOR);
        for _ in 0..sample {
            if pass.with_capacity.is_empty() {
                break;
            }
            let drawn = self.rng.usize(0..pass.with_capacity.len());
            let index = pass.with_capacity[drawn];
            if pass.all_need_cpus && pass.candidates[index].free.cpu <= 0 {
                pass.with_capacity.swap_remove(drawn);
                continue;
            }
            let cost = self.cost(job, &pass.candidates[index], zones);
            keep_cheaper(&mut best, index, cost);
        }
        best
    }

    /// The candidate with the lowest cost of all that have free capacity.
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

    /// Cost of placing a task of the job on the candidate, in seconds; `None` if the task doesn't fit.
    fn cost(&self, job: &Job, candidate: &CandidateMachine, zones: &TasksByZone) -> Option<f64> {
        let demand = job.spec.demand;
        let has_capacity = demand.fits(candidate.free) && demand.fits(candidate.future_free);
        if !has_capacity || candidate.report_bytes < entry_bytes(&job.spec.id) {
            return None;
        }
        let machine = self.machines.get(&candidate.name)?;
        if !job.allows_machine(machine, zones) {
            return None;
        }
        let left = (candidate.free.cpu - demand.cpu) as f64 / machine.total.cpu.max(1) as f64;
        let failed = match job.failed_on.contains(&machine.name) {
            true => FAILED_COST,
            false => 0.0,
        };
        // Expensive machines are avoided, so that they become idle and are returned to the cloud.
        let premium = self
            .provisioning
            .price_premium(&machine.type_name, machine.spot);
        let price = (PRICE_WEIGHT * premium).min(MAX_PRICE_COST);
        Some(self.fetch_time(job, machine) + LEFTOVER_WEIGHT * left + price + failed)
    }

    /// Estimated time until the machine has fetched the job's image, in seconds.
    fn fetch_time(&self, job: &Job, machine: &Machine) -> f64 {
        let rate = self.provisioning.fetch_gb_per_s_of(&machine.type_name);
        match machine.images.get(&job.spec.image) {
            Some(image) if image.cached => 0.0,
            Some(image) => image.gb / rate * REMAINING_FETCH_FRACTION,
            None => {
                let fetched = machine.images.values().filter(|image| !image.cached);
                let queued: f64 = fetched.map(|image| image.gb).sum();
                (job.spec.image_gb + queued) / rate
            }
        }
    }
}

/// Replaces `best` with the candidate if it fits (has a cost) and costs less.
fn keep_cheaper(best: &mut Option<ScoredCandidate>, index: usize, cost: Option<f64>) {
    if let Some(cost) = cost
        && best.as_ref().is_none_or(|best| cost < best.cost)
    {
        *best = Some(ScoredCandidate { cost, index });
    }
}
