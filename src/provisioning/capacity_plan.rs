//! A plan of when waiting tasks could start, on the machines that are there, on their way, and wanted.

use super::Offer;
use super::catalog::{MachineType, PricedOffer};
use crate::jobs::{Job, JobId};
use crate::placement::Resources;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Tasks of one job that a plan looks at.
const MAX_PLANNED: u32 = 300;

/// Whatever is not there yet is expected no sooner than this.
const SOONEST: Micros = Micros::from_secs(2);

/// An amount that gets free at some moment.
struct CapacityRelease {
    at: Moment,
    amount: Resources,
}

/// A machine as the plan sees it: when which capacity gets free there.
pub(super) struct MachineForecast {
    type_index: usize,
    zone: String,
    spot: bool,
    /// The soonest first.
    releases: Vec<CapacityRelease>,
}

impl MachineForecast {
    /// A machine that is empty once it is up.
    fn booting(offer: Offer, up: Moment, capacity: Resources) -> MachineForecast {
        MachineForecast {
            type_index: offer.type_index,
            zone: offer.zone,
            spot: offer.spot,
            releases: vec![CapacityRelease {
                at: up,
                amount: capacity,
            }],
        }
    }

    /// When enough is free for one more task.
    fn earliest(&self, demand: Resources) -> Option<Moment> {
        let mut free = Resources::default();
        self.releases.iter().find_map(|release| {
            free = free.plus(release.amount);
            demand.fits(free).then_some(release.at)
        })
    }

    /// Takes capacity for a task from `start` for `run_time`.
    fn take(&mut self, start: Moment, demand: Resources, run_time: Micros) {
        let mut free = Resources::default();
        self.releases.retain(|release| {
            let is_taken = release.at <= start;
            if is_taken {
                free = free.plus(release.amount);
            }
            !is_taken
        });
        self.releases.push(CapacityRelease {
            at: start,
            amount: free.minus(demand),
        });
        self.releases.push(CapacityRelease {
            at: start + run_time,
            amount: demand,
        });
        self.releases.sort_by_key(|release| release.at);
    }
}

/// What is planned so far.
pub(super) struct CapacityPlan {
    /// Machines that are there or on their way, then those that the plan wants.
    machines: Vec<MachineForecast>,
    /// What each team may still add within its limit.
    quota_left: Vec<Resources>,
    /// What can be requested, with its price.
    offers: Vec<PricedOffer>,
    /// Every task should start as soon as a machine can be had, whatever its deadline.
    starts_at_once: bool,
    /// How many machines of each offer the plan wants.
    pub(super) wanted: BTreeMap<Offer, u32>,
}

/// When a task could start on a machine of the plan.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlannedStart {
    at: Moment,
    /// The machine's index in the plan.
    machine: usize,
}

/// A job whose waiting tasks are planned.
struct PlannedJob<'a> {
    job: &'a Job,
    run_time: Micros,
    /// A task that would start later than this asks for a new machine.
    latest_start: Moment,
    /// How many tasks of the job each zone has, planned ones included.
    zones: BTreeMap<String, u32>,
    /// The earliest start on each machine; only that of the machine that takes a task changes.
    starts: BinaryHeap<Reverse<PlannedStart>>,
}

impl CapacityPlan {
    /// Nothing planned yet.
    pub(super) fn new(
        machines: Vec<MachineForecast>,
        quota_left: Vec<Resources>,
        offers: Vec<PricedOffer>,
        starts_at_once: bool,
    ) -> CapacityPlan {
        CapacityPlan {
            machines,
            quota_left,
            offers,
            starts_at_once,
            wanted: BTreeMap::new(),
        }
    }

    /// How many machines the plan wants.
    pub(super) fn wanted_count(&self) -> u32 {
        self.wanted.values().sum()
    }

    /// Wants one more machine; when a task could start there.
    fn want(&mut self, offer: Offer, machine_type: &MachineType, now: Moment) -> PlannedStart {
        *self.wanted.entry(offer.clone()).or_insert(0) += 1;
        let up = now + machine_type.boot;
        self.machines
            .push(MachineForecast::booting(offer, up, machine_type.capacity));
        PlannedStart {
            at: up,
            machine: self.machines.len() - 1,
        }
    }
}

impl SchedulerState {
    /// Plans a job's waiting tasks; one that would start too late wants a new machine.
    pub(super) fn plan_job(&self, id: JobId, plan: &mut CapacityPlan, now: Moment) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let Some(team) = job.team else { return };
        let demand = job.spec.demand;
        let start_on = |plan: &CapacityPlan, machine: usize| {
            let at = self.earliest_start(job, &plan.machines[machine], now)?;
            Some(Reverse(PlannedStart { at, machine }))
        };
        let mut planned = PlannedJob {
            job,
            run_time: self.expected_run_time(job),
            latest_start: match plan.starts_at_once || job.spec.is_standing() {
                true => now,
                false => self.latest_start(job),
            },
            zones: self.tasks_by_zone(id),
            starts: (0..plan.machines.len())
                .filter_map(|machine| start_on(plan, machine))
                .collect(),
        };
        for _ in 0..job.ready().min(MAX_PLANNED) {
            if !demand.fits(plan.quota_left[team]) {
                break;
            }
            plan.quota_left[team] = plan.quota_left[team].minus(demand);
            let Some(start) = self.plan_start(&mut planned, plan, now) else {
                break;
            };
            let machine = &mut plan.machines[start.machine];
            if job.spec.constrains_zones() {
                *planned.zones.entry(machine.zone.clone()).or_insert(0) += 1;
            }
            machine.take(start.at, demand, planned.run_time);
            planned.starts.extend(start_on(plan, start.machine));
        }
    }

    /// When a task of the job could start on the machine; None if it never could.
    fn earliest_start(&self, job: &Job, machine: &MachineForecast, now: Moment) -> Option<Moment> {
        let t = &self.provisioning.catalog[machine.type_index];
        let demand = job.spec.demand;
        if !demand.fits(t.capacity) || !job.spec.allows(&t.name, &machine.zone, machine.spot) {
            return None;
        }
        Some(machine.earliest(demand)?.max(now))
    }

    /// When and where the job's next task starts: on a machine of the plan if that is soon enough or nothing
    /// better is offered, else on a new one. None if there is neither.
    fn plan_start(
        &self,
        planned: &mut PlannedJob<'_>,
        plan: &mut CapacityPlan,
        now: Moment,
    ) -> Option<PlannedStart> {
        while let Some(Reverse(start)) = planned.starts.peek()
            && !planned
                .job
                .zone_allowed(&plan.machines[start.machine].zone, &planned.zones)
        {
            planned.starts.pop();
        }
        let existing = planned.starts.peek().map(|Reverse(start)| *start);
        let is_soon_enough = existing.is_some_and(|start| start.at <= planned.latest_start);
        if !is_soon_enough {
            let sooner_than = existing.map(|start| start.at);
            if let Some(offer) = self.choose_offer(planned, &plan.offers, sooner_than, now) {
                let machine_type = &self.provisioning.catalog[offer.type_index];
                return Some(plan.want(offer, machine_type, now));
            }
        }
        if existing.is_some() {
            planned.starts.pop();
        }
        existing
    }

    /// The cheapest offer that helps: spot machines wherever they start the task sooner; on-demand
    /// ones, which cost several times as much, where they save a long wait, or for want of others.
    fn choose_offer(
        &self,
        planned: &PlannedJob<'_>,
        offers: &[PricedOffer],
        existing: Option<Moment>,
        now: Moment,
    ) -> Option<Offer> {
        let demand = planned.job.spec.demand;
        let cost = |priced: &PricedOffer| {
            let capacity = self.provisioning.catalog[priced.offer.type_index].capacity;
            priced.price / f64::from(capacity.task_capacity(demand).max(1))
        };
        offers
            .iter()
            .filter(|priced| self.helps(planned, &priced.offer, existing, now))
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .map(|priced| priced.offer.clone())
    }

    /// True if a machine of the offer may run the job's tasks, and is worth its price beside the earliest start on
    /// a machine that there is already.
    fn helps(
        &self,
        planned: &PlannedJob<'_>,
        offer: &Offer,
        existing: Option<Moment>,
        now: Moment,
    ) -> bool {
        let job = planned.job;
        let t = &self.provisioning.catalog[offer.type_index];
        // A machine that is late to boot is still likely to be up before a new one.
        let up = now + t.boot.scaled(1.2) + Micros::from_secs(3);
        job.spec.allows(&t.name, &offer.zone, offer.spot)
            && job.zone_allowed(&offer.zone, &planned.zones)
            && job.spec.demand.fits(t.capacity)
            && self.provisioning.may_request(offer, now)
            && existing.is_none_or(|start| {
                let saves_long_wait = up + self.config.on_demand_max_wait < start;
                up < start && (offer.spot || !job.spec.spot || saves_long_wait)
            })
    }

    /// When capacity gets free on a machine, as far as can be told; None if its type isn't in the catalog.
    pub(super) fn forecast(&self, m: &Machine, now: Moment) -> Option<MachineForecast> {
        let catalog = &self.provisioning.catalog;
        let type_index = catalog.iter().position(|t| t.name == m.type_name)?;
        let machine_type = &catalog[type_index];
        let releases = match m.last_seen {
            None => vec![CapacityRelease {
                at: (m.known_since + machine_type.boot).max(now + SOONEST),
                amount: machine_type.capacity,
            }],
            Some(_) => self.expected_releases(m, now),
        };
        Some(MachineForecast {
            type_index,
            zone: m.zone.clone(),
            spot: m.spot,
            releases,
        })
    }

    /// What is free on a machine that is up, and what its attempts release at their expected ends.
    fn expected_releases(&self, m: &Machine, now: Moment) -> Vec<CapacityRelease> {
        let mut releases = vec![CapacityRelease {
            at: now,
            amount: self.free_capacity(m),
        }];
        for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds_resources()) {
            let Some(job) = self.jobs.table.get(&key.job) else {
                continue;
            };
            let from = attempt.running_since.unwrap_or(now);
            releases.push(CapacityRelease {
                at: (from + self.expected_run_time(job)).max(now + SOONEST),
                amount: job.spec.demand,
            });
        }
        releases.sort_by_key(|release| release.at);
        releases
    }
}
