//! Room kept ready for work that can't wait for a machine to boot.

use super::{LATE_BOOT, MAX_RENTAL, MachineType, Offer, Provisioning};
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::settings::Objective;
use crate::time::{Micros, Moment};
use crate::workers::{AttemptKey, Machine};

/// How far back arrivals of standing jobs tell how much room the next ones will need.
const ARRIVALS_SPAN: Micros = Micros::from_secs(120);
/// Of what comes on average within a boot, the multiple that room is kept for: arrivals vary.
const ARRIVALS_VARY: f64 = 2.0;
/// Room is kept on at least so many of the smallest machines: the loss of one takes not all of it.
const LEAST_RESERVE_MACHINES: i64 = 2;

impl Provisioning {
    /// When most machines of a type are up after they were rented, for the type that boots soonest.
    fn soonest_boot(&self) -> Micros {
        let boots = self.catalog.iter().map(|t| t.boot);
        boots.min().unwrap_or_default().scaled(LATE_BOOT)
    }

    /// The offer that costs least, by some measure, of those that were not refused lately.
    fn cheapest(
        &self,
        spot: bool,
        now: Moment,
        cost: impl Fn(&MachineType, f64) -> f64,
    ) -> Option<Offer> {
        let is_open = |o: &Offer| self.no_room.get(o).is_none_or(|t| *t <= now);
        let offers = self.offers().into_iter();
        offers
            .filter(|(offer, _)| offer.spot == spot && is_open(offer))
            .map(|(offer, price)| (cost(&self.catalog[offer.type_index], price), offer))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, offer)| offer)
    }
}

impl Machine {
    /// It may still take work, or will once it is up.
    fn stays(&self) -> bool {
        !self.draining && !self.faulty && !self.has_preemption_notice && !self.unreachable
    }
}

impl SchedulerState {
    /// Objectives on the starting times of work that ends. Replicas are asked for at once anyway.
    fn array_waits(&self) -> impl Iterator<Item = &Objective> {
        let waits = self.config.objectives.iter().filter(|o| o.kind == "wait");
        waits.filter(|o| {
            let class = o.class.as_ref();
            class.is_none_or(|c| self.classes.with_arrays.contains(c))
        })
    }

    pub(super) fn aims_at_waits(&self) -> bool {
        self.array_waits().next().is_some()
    }

    /// True if the operator aims at starting work sooner than a machine can be had: then room is
    /// kept ready. Aims that leave time for a boot are met by renting at once.
    fn keeps_ready(&self) -> bool {
        let soonest = self.provisioning.soonest_boot();
        self.array_waits()
            .any(|o| Micros::from_secs_f64(o.within_s) < soonest)
    }

    /// CPUs free or on their way beyond the reserve that is wanted; negative if it falls short.
    ///
    /// Whoever aims at starting work within a time can't wait for a boot: some room is kept
    /// ready, as a share of what is in use. Where only deadlines count, none is.
    pub(super) fn spare_cpu(&self) -> i64 {
        if !self.keeps_ready() {
            return i64::MAX;
        }
        let (mut free, mut total) = (0, 0);
        for m in self.machines.values().filter(|m| m.stays()) {
            let room = self.provisioning.room_of(&m.type_name);
            total += room.cpu;
            free += if m.last_seen.is_none() {
                room.cpu
            } else {
                self.free_room(m).cpu
            };
        }
        let used = (total - free) as f64;
        free - (used * self.config.reserve) as i64
    }

    /// The cheapest spot machine, when the reserve falls short.
    pub(super) fn reserve_offer(&self, now: Moment) -> Option<Offer> {
        if self.spare_cpu() >= 0 {
            return None;
        }
        let by_cpu = |t: &MachineType, price: f64| price / t.room.cpu.max(1) as f64;
        self.provisioning.cheapest(true, now, by_cpu)
    }

    /// Standing jobs that may not use spot machines.
    fn on_demand_services(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.jobs.table.values();
        jobs.filter(|j| j.spec.is_standing() && !j.spec.spot && !j.is_closed())
    }

    /// CPUs to keep for replicas that are yet to come, which can't wait for a boot; None if none are
    /// expected.
    fn replica_reserve(&self, now: Moment) -> Option<i64> {
        let total = |j: &Job| j.spec.demand.by(i64::from(j.spec.tasks)).cpu;
        let largest = self.on_demand_services().map(total).max();
        if largest.is_none() && !self.expects_services() {
            return None;
        }
        let recent = |j: &&Job| now - j.accepted_at < ARRIVALS_SPAN;
        let arrived: i64 = self.on_demand_services().filter(recent).map(total).sum();
        let boots = self.provisioning.soonest_boot().as_secs_f64() / ARRIVALS_SPAN.as_secs_f64();
        let yet_to_come = (arrived as f64 * boots * ARRIVALS_VARY) as i64;
        let smallest = self.provisioning.catalog.iter().map(|t| t.room.cpu).min()?;
        let floor = LEAST_RESERVE_MACHINES * smallest;
        Some(floor.max(2 * largest.unwrap_or(0)).max(yet_to_come))
    }

    /// An objective tells of standing jobs before the first one comes: it is on starting times that leave
    /// no time for a boot, of a class without arrays.
    fn expects_services(&self) -> bool {
        let soonest = self.provisioning.soonest_boot();
        let mut waits = self.config.objectives.iter().filter(|o| o.kind == "wait");
        let has_no_arrays = |class: &String| !self.classes.with_arrays.contains(class);
        waits.any(|o| {
            let too_short = Micros::from_secs_f64(o.within_s) < soonest;
            too_short && o.class.as_ref().is_some_and(has_no_arrays)
        })
    }

    /// CPUs of ordinary machines that a replica could have at once, beyond what is kept for them; None
    /// if nobody needs any. Replicas that may not use spot machines can't wait for a boot. What lower ranks
    /// use counts as room, since it is stopped for them.
    pub(super) fn replica_room(&self, now: Moment) -> Option<i64> {
        let reserve = self.replica_reserve(now)?;
        let replica = |key: &AttemptKey| {
            let job = self
                .jobs
                .table
                .get(&key.job)
                .filter(|j| j.spec.is_standing());
            job.map_or(0, |j| j.spec.demand.cpu)
        };
        let room = |m: &Machine| {
            let held = m.attempts.iter().filter(|(_, a)| a.holds_resources());
            self.provisioning.room_of(&m.type_name).cpu
                - held.map(|(key, _)| replica(key)).sum::<i64>()
        };
        let on_demand = self.machines.values().filter(|m| !m.spot && m.stays());
        Some(on_demand.map(room).sum::<i64>() - reserve)
    }

    /// As many of the cheapest ordinary machines as room for replicas falls short of.
    pub(super) fn replica_offer(&self, now: Moment) -> Option<(Offer, u32)> {
        let missing = -self.replica_room(now)?;
        if missing <= 0 {
            return None;
        }
        let offer = self.provisioning.cheapest(false, now, |_, price| price)?;
        let room = self.provisioning.catalog[offer.type_index].room.cpu.max(1);
        let count = (missing + room - 1) / room;
        Some((offer, count.min(i64::from(MAX_RENTAL)) as u32))
    }
}
