//! The rental plan: what waiting work needs beyond the machines that are there and on their way.

use super::{ListStatus, MAX_RENTAL, Offer, RentalRequest};
use crate::jobs::Job;
use crate::placement::Resources;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A machine as the plan sees it: room, and when it gets free.
struct Bin {
    type_index: usize,
    zone: String,
    spot: bool,
    releases: Vec<(Moment, Resources)>,
}

impl Bin {
    /// When enough is free for one more task.
    fn earliest(&self, need: Resources) -> Option<Moment> {
        let mut free = Resources::default();
        self.releases.iter().find_map(|(at, room)| {
            free = free.plus(*room);
            need.fits(free).then_some(*at)
        })
    }

    /// Takes room for a task from `start` for `run`.
    fn take(&mut self, start: Moment, need: Resources, run: Micros) {
        let mut free = Resources::default();
        self.releases.retain(|(at, room)| {
            let taken = *at <= start;
            if taken {
                free = free.plus(*room);
            }
            !taken
        });
        self.releases.push((start, free.minus(need)));
        self.releases.push((start + run, need));
        self.releases.sort_by_key(|r| r.0);
    }
}

/// Tasks of one job that a plan looks at.
const MAX_PLANNED: u32 = 300;

/// Machines that one plan asks for: ten requests. The next plan follows once these are answered.
const MOST_WANTED: u32 = 10 * MAX_RENTAL;

/// Plans are at least this long apart for each machine: one looks at every task on every machine.
const PLAN_SPACING: Micros = Micros(500);

impl SchedulerState {
    /// Adds the rentals that waiting work needs beyond what is there and on its way.
    pub fn plan_rentals(&mut self, now: Moment) {
        let spacing = Micros(PLAN_SPACING.0 * self.machines.len() as u64);
        let soon = self.provisioning.planned.is_some_and(|t| now - t < spacing);
        if !self.provisioning.listed || !self.provisioning.rental_requests.is_empty() || soon {
            return;
        }
        self.provisioning.planned = Some(now);
        let mut wanted = self.wanted_offers(now);
        if wanted.is_empty()
            && let Some(offer) = self.reserve_offer(now)
        {
            wanted.insert(offer, 1);
        }
        if let Some((offer, count)) = self.replica_offer(now) {
            let planned = wanted.entry(offer).or_insert(0);
            *planned = count.max(*planned);
        }
        for (offer, count) in wanted {
            let mut left = count;
            while left > 0 {
                let n = left.min(MAX_RENTAL);
                left -= n;
                self.provisioning.rental_count += 1;
                let name = format!("r-{}-{}", self.term, self.provisioning.rental_count);
                let type_name = self.provisioning.catalog[offer.type_index].name.clone();
                self.provisioning.rental_requests.push(RentalRequest {
                    name,
                    offer: offer.clone(),
                    type_name,
                    count: n,
                });
            }
        }
    }

    /// Plans the waiting tasks on what is there and on its way, in order of priority; a task
    /// that would start too late there asks for a new machine.
    fn wanted_offers(&self, now: Moment) -> BTreeMap<Offer, u32> {
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        let offers = self.provisioning.offers();
        let refused = |o: &Offer| self.provisioning.no_room.get(o).is_some_and(|t| *t > now);
        if offers.iter().all(|(o, _)| refused(o)) {
            return wanted;
        }
        let order = self.order(now);
        if order.is_empty() {
            return wanted;
        }
        let mut bins: Vec<Bin> = self
            .machines
            .values()
            .filter(|m| !m.draining && !m.faulty && !m.has_preemption_notice && !m.unreachable)
            .filter(|m| m.list_status != Some(ListStatus::Failed) && !self.is_unresponsive(m, now))
            .filter_map(|m| self.bin_of(m, now))
            .collect();
        let eager = self.aims_at_waits();
        let mut team_room = self.team_room();
        for (_, id) in order {
            let Some(job) = self.jobs.table.get(&id) else {
                continue;
            };
            let Some(team) = job.team else { continue };
            let need = job.spec.demand;
            let run = self.expected_run(job);
            // Whoever aims at starting times wants every start as soon as a machine can be had.
            let latest = match eager || job.spec.is_standing() {
                true => now,
                false => self.latest_start(job),
            };
            // By when a task could start there: only the bin that takes one changes.
            let earliest = |bins: &[Bin], i: usize| {
                let bin = &bins[i];
                let t = &self.provisioning.catalog[bin.type_index];
                let allowed = need.fits(t.room) && job.spec.allows(&t.name, &bin.zone, bin.spot);
                let start = if allowed {
                    bin.earliest(need)?
                } else {
                    return None;
                };
                Some(Reverse((start.max(now), i)))
            };
            // A job bound to one zone, or spread over several, has no use for room elsewhere.
            let zoned = job.spec.same_zone || job.spec.spread;
            let mut zones = self.zones_of(id);
            let mut starts: BinaryHeap<Reverse<(Moment, usize)>> =
                (0..bins.len()).filter_map(|i| earliest(&bins, i)).collect();
            for _ in 0..job.ready().min(MAX_PLANNED) {
                if !need.fits(team_room[team]) {
                    break;
                }
                team_room[team] = team_room[team].minus(need);
                while let Some(Reverse((_, i))) = starts.peek()
                    && !Self::zone_allowed(job, &bins[*i].zone, &zones)
                {
                    starts.pop();
                }
                let best = starts.peek().map(|Reverse(best)| *best);
                let offer = match best {
                    Some((start, _)) if start <= latest => None,
                    _ => {
                        let existing = best.map(|(start, _)| start);
                        self.choose_offer(job, &offers, &zones, existing, now)
                    }
                };
                let (start, at) = match (offer, best) {
                    (Some(offer), _) => {
                        *wanted.entry(offer.clone()).or_insert(0) += 1;
                        let t = &self.provisioning.catalog[offer.type_index];
                        let up = now + t.boot;
                        bins.push(Bin {
                            type_index: offer.type_index,
                            zone: offer.zone,
                            spot: offer.spot,
                            releases: vec![(up, t.room)],
                        });
                        (up, bins.len() - 1)
                    }
                    (None, Some((start, at))) => {
                        starts.pop();
                        (start, at)
                    }
                    (None, None) => break,
                };
                if zoned {
                    *zones.entry(bins[at].zone.clone()).or_insert(0) += 1;
                }
                bins[at].take(start, need, run);
                starts.extend(earliest(&bins, at));
            }
            if wanted.values().sum::<u32>() >= MOST_WANTED {
                break;
            }
        }
        wanted
    }

    /// The cheapest offer that helps: spot machines wherever they start the task sooner; ordinary
    /// ones, which cost several times as much, where they save a long wait, or for want of others.
    fn choose_offer(
        &self,
        job: &Job,
        offers: &[(Offer, f64)],
        zones: &BTreeMap<String, u32>,
        existing: Option<Moment>,
        now: Moment,
    ) -> Option<Offer> {
        let need = job.spec.demand;
        offers
            .iter()
            .filter(|(o, _)| {
                let t = &self.provisioning.catalog[o.type_index];
                // A machine that is late to boot is still likely to be up before a new one.
                let up = now + t.boot.scaled(1.2) + Micros::from_secs(3);
                job.spec.allows(&t.name, &o.zone, o.spot)
                    && Self::zone_allowed(job, &o.zone, zones)
                    && need.fits(t.room)
                    && self.provisioning.no_room.get(o).is_none_or(|t| *t <= now)
                    && existing.is_none_or(|start| {
                        let long = up + self.config.on_demand_patience < start;
                        up < start && (o.spot || !job.spec.spot || long)
                    })
            })
            .min_by(|(a, pa), (b, pb)| {
                let cost = |o: &Offer, price: f64| {
                    let room = self.provisioning.catalog[o.type_index].room;
                    price / f64::from(room.times(need).max(1))
                };
                cost(a, *pa).total_cmp(&cost(b, *pb))
            })
            .map(|(offer, _)| offer.clone())
    }

    /// When room gets free on a machine, as far as can be told.
    fn bin_of(&self, m: &crate::workers::Machine, now: Moment) -> Option<Bin> {
        let type_index = self
            .provisioning
            .catalog
            .iter()
            .position(|t| t.name == m.type_name)?;
        let mut releases = Vec::new();
        if m.last_seen.is_none() {
            let boot = self.provisioning.catalog[type_index].boot;
            let up = (m.known_since + boot).max(now + Micros::from_secs(2));
            releases.push((up, self.provisioning.catalog[type_index].room));
        } else {
            releases.push((now, self.free_room(m)));
            for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds_resources()) {
                let Some(job) = self.jobs.table.get(&key.job) else {
                    continue;
                };
                let from = attempt.running_since.unwrap_or(now);
                let end = (from + self.expected_run(job)).max(now + Micros::from_secs(2));
                releases.push((end, job.spec.demand));
            }
            releases.sort_by_key(|r| r.0);
        }
        Some(Bin {
            type_index,
            zone: m.zone.clone(),
            spot: m.spot,
            releases,
        })
    }
}
