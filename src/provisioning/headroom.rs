//! Headroom: capacity kept ready for work that can't wait for a machine to boot.

use super::Offer;
use super::scale_out::MAX_REQUESTED;
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::settings::Objective;
use crate::time::{Micros, Moment};
use crate::workers::{AttemptKey, Machine};

/// How far back arrivals of replicas tell how much capacity the next ones will need.
const ARRIVALS_SPAN: Micros = Micros::from_secs(120);

/// Of what comes on average within a boot, the multiple that capacity is kept for: arrivals vary.
const ARRIVALS_VARY: f64 = 2.0;

/// Capacity is kept on at least so many of the smallest machines: the loss of one takes not all of it.
const MIN_HEADROOM_MACHINES: i64 = 2;

/// Of the largest job of replicas, the multiple that capacity is kept for.
const LARGEST_JOBS: i64 = 2;

impl Machine {
    /// True if it may still take work, or will once it is up.
    pub(super) fn stays(&self) -> bool {
        !self.draining && !self.faulty && !self.has_preemption_notice && !self.unreachable
    }
}

impl SchedulerState {
    /// Objectives on starting times, of whatever class.
    fn wait_objectives(&self) -> impl Iterator<Item = &Objective> {
        self.config.objectives.iter().filter(|o| o.kind == "wait")
    }

    /// Objectives on the starting times of work that ends. Replicas are asked for at once anyway.
    fn array_waits(&self) -> impl Iterator<Item = &Objective> {
        self.wait_objectives().filter(|o| {
            let class = o.class.as_ref();
            class.is_none_or(|c| self.classes.has_arrays(c))
        })
    }

    /// True if the operator aims at starting times of work that ends.
    pub(super) fn aims_at_waits(&self) -> bool {
        self.array_waits().next().is_some()
    }

    /// True for an objective on starting work sooner than a machine can be had.
    fn is_shorter_than_boot(objective: &Objective, soonest_boot: Micros) -> bool {
        Micros::from_secs_f64(objective.within_s) < soonest_boot
    }

    /// True if the operator aims at starting work sooner than a machine can be had: then capacity is
    /// kept ready. Objectives that leave time for a boot are met by requesting machines at once.
    fn keeps_headroom(&self) -> bool {
        let soonest = self.provisioning.soonest_boot();
        self.array_waits()
            .any(|o| Self::is_shorter_than_boot(o, soonest))
    }

    /// Thousandths of a CPU that are free or on their way beyond the headroom that is wanted; negative if
    /// they fall short, None if no headroom is wanted.
    ///
    /// Whoever aims at starting work within a time can't wait for a boot: some capacity is kept
    /// ready, as a share of what is in use. Where only deadlines count, none is.
    pub(super) fn headroom_surplus(&self) -> Option<i64> {
        if !self.keeps_headroom() {
            return None;
        }
        let (mut free, mut total) = (0, 0);
        for m in self.machines.values().filter(|m| m.stays()) {
            let capacity = self.provisioning.capacity_of(&m.type_name);
            total += capacity.cpu;
            free += match m.last_seen {
                None => capacity.cpu,
                Some(_) => self.free_capacity(m).cpu,
            };
        }
        let used = (total - free) as f64;
        Some(free - (used * self.config.headroom) as i64)
    }

    /// The spot machine whose CPUs cost least, when headroom falls short.
    pub(super) fn headroom_offer(&self, now: Moment) -> Option<Offer> {
        if self.headroom_surplus()? >= 0 {
            return None;
        }
        self.provisioning
            .cheapest(true, now, |machine_type, price| {
                price / machine_type.capacity.cpu.max(1) as f64
            })
    }

    /// Jobs of replicas that may not use spot machines.
    fn on_demand_replica_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.jobs.table.values();
        jobs.filter(|j| j.spec.is_standing() && !j.spec.spot && !j.is_closed())
    }

    /// Thousandths of a CPU to keep for replicas that are yet to come, which can't wait for a boot; None if
    /// none are expected.
    fn replica_headroom(&self, now: Moment) -> Option<i64> {
        let total = |j: &Job| j.spec.demand.scaled(i64::from(j.spec.tasks)).cpu;
        let largest = self.on_demand_replica_jobs().map(total).max();
        if largest.is_none() && !self.expects_replicas() {
            return None;
        }
        let recent = |j: &&Job| now - j.accepted_at < ARRIVALS_SPAN;
        let arrived: i64 = self
            .on_demand_replica_jobs()
            .filter(recent)
            .map(total)
            .sum();
        let boots = self.provisioning.soonest_boot().as_secs_f64() / ARRIVALS_SPAN.as_secs_f64();
        let yet_to_come = (arrived as f64 * boots * ARRIVALS_VARY) as i64;
        let catalog = self.provisioning.catalog.iter();
        let smallest = catalog.map(|t| t.capacity.cpu).min()?;
        let floor = MIN_HEADROOM_MACHINES * smallest;
        let for_largest = LARGEST_JOBS * largest.unwrap_or(0);
        Some(floor.max(for_largest).max(yet_to_come))
    }

    /// True if an objective tells of replicas before the first ones come: it is on starting times that leave
    /// no time for a boot, of a class without arrays.
    fn expects_replicas(&self) -> bool {
        let soonest = self.provisioning.soonest_boot();
        let has_no_arrays = |class: &String| !self.classes.has_arrays(class);
        self.wait_objectives().any(|o| {
            Self::is_shorter_than_boot(o, soonest) && o.class.as_ref().is_some_and(has_no_arrays)
        })
    }

    /// Thousandths of a CPU on on-demand machines that a replica could have at once, beyond what is kept for
    /// them; None if nobody needs any. Replicas that may not use spot machines can't wait for a boot. What lower
    /// priorities use counts as free, since it is preempted for them.
    pub(super) fn replica_surplus(&self, now: Moment) -> Option<i64> {
        let headroom = self.replica_headroom(now)?;
        let held_by_replica = |key: &AttemptKey| {
            let job = self
                .jobs
                .table
                .get(&key.job)
                .filter(|j| j.spec.is_standing());
            job.map_or(0, |j| j.spec.demand.cpu)
        };
        let available = |m: &Machine| {
            let attempts = m.attempts.iter().filter(|(_, a)| a.holds_resources());
            let held: i64 = attempts.map(|(key, _)| held_by_replica(key)).sum();
            self.provisioning.capacity_of(&m.type_name).cpu - held
        };
        let on_demand = self.machines.values().filter(|m| !m.spot && m.stays());
        Some(on_demand.map(available).sum::<i64>() - headroom)
    }

    /// As many of the cheapest on-demand machines as headroom for replicas falls short of.
    pub(super) fn replica_offer(&self, now: Moment) -> Option<(Offer, u32)> {
        let missing = -self.replica_surplus(now)?;
        if missing <= 0 {
            return None;
        }
        let offer = self.provisioning.cheapest(false, now, |_, price| price)?;
        let capacity = self.provisioning.catalog[offer.type_index].capacity;
        let each = capacity.cpu.max(1);
        let count = (missing + each - 1) / each;
        Some((offer, count.min(i64::from(MAX_REQUESTED)) as u32))
    }
}
