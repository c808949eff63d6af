//! Headroom: capacity kept ready for jobs that can't wait for a machine to boot.

use super::Offer;
use super::scale_out::MAX_MACHINES_PER_REQUEST;
use crate::jobs::Job;
use crate::scheduler::SchedulerState;
use crate::settings::Objective;
use crate::time::{Micros, Moment};
use crate::workers::{AttemptKey, Machine};

/// Time window of the arrivals of replicas from which the capacity for the next ones is estimated.
const ARRIVAL_WINDOW: Micros = Micros::from_secs(120);

/// Multiple of the average arrivals during a boot for which capacity is kept, since arrivals vary.
const ARRIVAL_MARGIN_FACTOR: f64 = 2.0;

/// Minimum headroom for replicas, in machines of the smallest type, so that the loss of one machine doesn't take all
/// of it.
const MIN_HEADROOM_MACHINES: i64 = 2;

/// Multiple of the largest standing job's demand for which capacity is kept.
const LARGEST_JOB_FACTOR: i64 = 2;

impl Machine {
    /// True if the machine may run tasks now or once it is up: it is reachable, not faulty, and isn't about to be
    /// returned or taken back.
    pub(super) fn is_serviceable(&self) -> bool {
        !self.draining
            && !self.failures.is_machine_faulty()
            && !self.has_preemption_notice
            && !self.unreachable
    }
}

impl SchedulerState {
    /// Objectives on the waiting time of jobs, for any class.
    fn wait_objectives(&self) -> impl Iterator<Item = &Objective> {
        self.config.objectives.iter().filter(|o| o.kind == "wait")
    }

    /// Objectives on the waiting time of array jobs. Machines for replicas are requested at once anyway.
    fn array_wait_objectives(&self) -> impl Iterator<Item = &Objective> {
        self.wait_objectives().filter(|o| {
            let class = o.class.as_ref();
            class.is_none_or(|c| self.classes.has_arrays(c))
        })
    }

    /// True if an objective limits the waiting time of array jobs.
    pub(super) fn has_array_wait_objective(&self) -> bool {
        self.array_wait_objectives().next().is_some()
    }

    /// True for an objective with a waiting time that is shorter than the boot of a machine.
    fn is_shorter_than_boot(objective: &Objective, shortest_boot_time: Micros) -> bool {
        Micros::from_secs_f64(objective.within_s) < shortest_boot_time
    }

    /// True if an objective requires array jobs to start sooner than a machine can boot: then capacity is kept ready.
    /// Objectives that leave time for a boot are met by requesting machines at once.
    fn keeps_headroom(&self) -> bool {
        let shortest_boot_time = self.provisioning.shortest_boot_time();
        self.array_wait_objectives()
            .any(|o| Self::is_shorter_than_boot(o, shortest_boot_time))
    }

    /// Thousandths of a CPU that are free or booting beyond the wanted headroom; negative if they fall short, `None`
    /// if no headroom is wanted.
    ///
    /// Jobs with an objective shorter than a boot can't wait for one: capacity in proportion to what is in use is
    /// kept ready for them. Without such an objective, none is kept.
    pub(super) fn headroom_surplus(&self) -> Option<i64> {
        if !self.keeps_headroom() {
            return None;
        }
        let (mut free, mut total) = (0, 0);
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.is_serviceable())
        {
            let capacity = self.provisioning.capacity_of(&machine.type_name);
            total += capacity.cpu;
            free += match machine.last_seen {
                None => capacity.cpu,
                Some(_) => self.free_capacity(machine).cpu,
            };
        }
        let used = (total - free) as f64;
        Some(free - (used * self.config.headroom) as i64)
    }

    /// The spot offer with the lowest price per CPU, if headroom falls short.
    pub(super) fn headroom_offer(&self, now: Moment) -> Option<Offer> {
        if self.headroom_surplus()? >= 0 {
            return None;
        }
        self.provisioning
            .cheapest(true, now, |machine_type, price| {
                price / machine_type.capacity.cpu.max(1) as f64
            })
    }

    /// Open standing jobs whose replicas may not use spot machines.
    fn on_demand_replica_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.jobs.table.values();
        jobs.filter(|j| j.spec.is_standing() && !j.spec.spot && !j.is_closed())
    }

    /// Thousandths of a CPU to keep for future replicas, which can't wait for a boot; `None` if no replicas are
    /// expected.
    fn replica_headroom(&self, now: Moment) -> Option<i64> {
        let total = |j: &Job| j.spec.demand.scaled(i64::from(j.spec.tasks)).cpu;
        let largest = self.on_demand_replica_jobs().map(total).max();
        if largest.is_none() && !self.expects_replicas() {
            return None;
        }
        let recent = |j: &&Job| now - j.accepted_at < ARRIVAL_WINDOW;
        let arrived: i64 = self
            .on_demand_replica_jobs()
            .filter(recent)
            .map(total)
            .sum();
        let windows_per_boot =
            self.provisioning.shortest_boot_time().as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64();
        let expected_arrivals = (arrived as f64 * windows_per_boot * ARRIVAL_MARGIN_FACTOR) as i64;
        let catalog = self.provisioning.catalog.iter();
        let smallest = catalog.map(|t| t.capacity.cpu).min()?;
        let floor = MIN_HEADROOM_MACHINES * smallest;
        let for_largest = LARGEST_JOB_FACTOR * largest.unwrap_or(0);
        Some(floor.max(for_largest).max(expected_arrivals))
    }

    /// True if an objective implies that replicas will arrive, even before the first ones do: it sets a waiting
    /// time that leaves no time for a boot, for a class without array jobs.
    fn expects_replicas(&self) -> bool {
        let shortest_boot_time = self.provisioning.shortest_boot_time();
        let has_no_arrays = |class: &String| !self.classes.has_arrays(class);
        self.wait_objectives().any(|o| {
            Self::is_shorter_than_boot(o, shortest_boot_time)
                && o.class.as_ref().is_some_and(has_no_arrays)
        })
    }

    /// Thousandths of a CPU on on-demand machines that replicas could use at once, beyond the headroom kept for them;
    /// negative if they fall short, `None` if no such headroom is needed. Replicas that may not use spot machines
    /// can't wait for a boot. Capacity used by lower priorities counts as free, since their attempts are preempted for
    /// replicas.
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
        let on_demand = self
            .machines
            .values()
            .filter(|m| !m.spot && m.is_serviceable());
        Some(on_demand.map(available).sum::<i64>() - headroom)
    }

    /// The cheapest on-demand offer, and the number of its machines that the headroom for replicas lacks; `None` if it
    /// lacks none.
    pub(super) fn replica_offer(&self, now: Moment) -> Option<(Offer, u32)> {
        let missing = -self.replica_surplus(now)?;
        if missing <= 0 {
            return None;
        }
        let offer = self.provisioning.cheapest(false, now, |_, price| price)?;
        let capacity = self.provisioning.catalog[offer.type_index].capacity;
        let each = capacity.cpu.max(1);
        let count = (missing + each - 1) / each;
        Some((offer, count.min(i64::from(MAX_MACHINES_PER_REQUEST)) as u32))
    }
}
