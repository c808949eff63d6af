//! The best fit for a task among machines with room.

use super::{Place, PlacementPass};
use crate::jobs::JobId;
use crate::scheduler::SchedulerState;
use std::collections::BTreeMap;

/// Seconds of fetching that a place is worth for each time that a CPU costs more elsewhere, and
/// the most that counts.
const PRICE_WEIGHT: f64 = 6.0;

const MAX_PRICE_PENALTY: f64 = 10.0;

/// Of the machines with room one in so many is drawn, where that is more than the sample that is
/// set: three of hundreds seldom meet a machine that has the image or is nearly full.
const DRAWN_OF: usize = 16;

impl SchedulerState {
    /// The best fit among a few drawn, or among all if none of them fits.
    pub(super) fn choose(
        &mut self,
        id: JobId,
        pass: &mut PlacementPass,
        zones: &BTreeMap<String, u32>,
    ) -> Option<usize> {
        let job = self.jobs.table.get(&id)?;
        let (need, anywhere) = (job.spec.need, job.spec.anywhere());
        if pass.unplaceable.iter().any(|b| b.fits(need)) {
            return None;
        }
        let mut best: Option<(f64, usize)> = None;
        let sample = self
            .config
            .candidate_sample
            .max(pass.roomy.len() / DRAWN_OF);
        for _ in 0..sample {
            if pass.roomy.is_empty() {
                break;
            }
            let drawn = self.rng.usize(0..pass.roomy.len());
            let at = pass.roomy[drawn];
            if pass.places[at].free.cpu <= 0 {
                pass.roomy.swap_remove(drawn);
                continue;
            }
            if let Some(score) = self.score(id, &pass.places[at], zones)
                && best.is_none_or(|(b, _)| score < b)
            {
                best = Some((score, at));
            }
        }
        if best.is_none() {
            for at in &pass.roomy {
                if let Some(score) = self.score(id, &pass.places[*at], zones)
                    && best.is_none_or(|(b, _)| score < b)
                {
                    best = Some((score, *at));
                }
            }
            if best.is_none() && anywhere {
                pass.unplaceable.push(need);
            }
        }
        best.map(|(_, at)| at)
    }

    /// Lower is better; None if the task doesn't fit there.
    fn score(&self, id: JobId, place: &Place, zones: &BTreeMap<String, u32>) -> Option<f64> {
        let job = self.jobs.table.get(&id)?;
        let need = job.spec.need;
        if !need.fits(place.free) || !need.fits(place.promised) {
            return None;
        }
        let m = self.machines.get(&place.name)?;
        if !job.spec.allows(&m.type_name, &m.zone, m.spot)
            || !Self::zone_allowed(job, &m.zone, zones)
        {
            return None;
        }
        let rate = self.provisioning.fetch_gb_per_s_of(&m.type_name);
        let fetch = match m.images.get(&job.spec.image) {
            Some(i) if i.cached => 0.0,
            Some(i) => i.gb / rate * 0.5,
            None => {
                let queued: f64 = m.images.values().filter(|i| !i.cached).map(|i| i.gb).sum();
                (job.spec.image_gb + queued) / rate
            }
        };
        let left = (place.free.cpu - need.cpu) as f64 / m.total.cpu.max(1) as f64;
        let failed = if job.failed_on.contains(&m.name) {
            1000.0
        } else {
            0.0
        };
        // Expensive machines are left to themselves, so that they fall idle and go back.
        let price_penalty = (PRICE_WEIGHT * self.provisioning.price_premium(&m.type_name, m.spot))
            .min(MAX_PRICE_PENALTY);
        Some(fetch + 3.0 * left + price_penalty + failed)
    }
}
