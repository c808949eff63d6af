//! Capacity plan: when waiting tasks could start on machines that are up, booting, or still to be requested.

use super::Offer;
use super::catalog::{MachineType, PricedOffer};
use crate::jobs::{Job, JobId};
use crate::placement::Resources;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::{EMPTY_REPORT_BYTES, Machine, entry_bytes};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Maximum number of tasks of one job in a plan.
const MAX_PLANNED_TASKS: u32 = 300;

/// Minimum expected time until capacity that isn't free yet becomes free.
const MIN_RELEASE_DELAY: Micros = Micros::from_secs(2);

/// What a machine has for tasks: resources, and room in the report that lists them.
#[derive(Clone, Copy, Default)]
struct TaskRoom {
    resources: Resources,
    report_bytes: i64,
}

impl TaskRoom {
    /// What one task of the job takes.
    fn of_task(job: &Job) -> TaskRoom {
        TaskRoom {
            resources: job.spec.demand,
            report_bytes: entry_bytes(&job.spec.id) as i64,
        }
    }

    fn plus(self, other: TaskRoom) -> TaskRoom {
        TaskRoom {
            resources: self.resources.plus(other.resources),
            report_bytes: self.report_bytes + other.report_bytes,
        }
    }

    fn minus(self, other: TaskRoom) -> TaskRoom {
        TaskRoom {
            resources: self.resources.minus(other.resources),
            report_bytes: self.report_bytes - other.report_bytes,
        }
    }

    /// True if this fits into `room`.
    fn fits(self, room: TaskRoom) -> bool {
        self.resources.fits(room.resources) && self.report_bytes <= room.report_bytes
    }
}

/// Room for tasks, and when it becomes free.
struct CapacityRelease {
    at: Moment,
    amount: TaskRoom,
}

/// Forecast of the capacity that becomes free on a machine.
pub(super) struct MachineForecast {
    type_index: usize,
    zone: String,
    spot: bool,
    /// Sorted by time, the earliest first.
    releases: Vec<CapacityRelease>,
}

impl MachineForecast {
    /// A new machine: its whole capacity is free from the moment `up`.
    fn booting(offer: Offer, up: Moment, capacity: Resources) -> MachineForecast {
        MachineForecast {
            type_index: offer.type_index,
            zone: offer.zone,
            spot: offer.spot,
            releases: vec![CapacityRelease {
                at: up,
                amount: empty_machine(capacity),
            }],
        }
    }

    /// The earliest moment at which enough capacity is free for one more task; `None` if it never is.
    fn earliest_fit(&self, demand: TaskRoom) -> Option<Moment> {
        let mut free = TaskRoom::default();
        self.releases.iter().find_map(|release| {
            free = free.plus(release.amount);
            demand.fits(free).then_some(release.at)
        })
    }

    /// Allocates capacity to a task from `start` for `run_time`.
    fn allocate(&mut self, start: Moment, demand: TaskRoom, run_time: Micros) {
        let mut free = TaskRoom::default();
        self.releases.retain(|release| {
            let is_free_by_start = release.at <= start;
            if is_free_by_start {
                free = free.plus(release.amount);
            }
            !is_free_by_start
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

/// Room for tasks on an empty machine with these resources.
fn empty_machine(resources: Resources) -> TaskRoom {
    TaskRoom {
        resources,
        report_bytes: EMPTY_REPORT_BYTES as i64,
    }
}

/// The tasks planned so far, and the machines that they need.
pub(super) struct CapacityPlan {
    /// Machines that are up or booting, followed by those that the plan wants.
    machines: Vec<MachineForecast>,
    /// Resources that each team may still use within its limit, in the order of the configured teams.
    quota_left: Vec<Resources>,
    /// Everything that can be requested, with its price.
    offers: Vec<PricedOffer>,
    /// True if every task should start as soon as a machine can be up, whatever its deadline.
    starts_at_once: bool,
    /// Number of new machines of each offer that the plan wants.
    pub(super) wanted: BTreeMap<Offer, u32>,
}

/// A possible start of a task on a machine of the plan.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlannedStart {
    at: Moment,
    /// Index of the machine in the plan.
    machine: usize,
}

/// A job whose waiting tasks are being planned.
struct PlannedJob<'a> {
    job: &'a Job,
    run_time: Micros,
    /// A task that would start later than this wants a new machine.
    latest_start: Moment,
    /// Number of the job's tasks in each zone, planned ones included.
    zones: BTreeMap<String, u32>,
    /// The earliest start on each machine. When a task is planned, only the entry of its machine changes.
    starts: BinaryHeap<Reverse<PlannedStart>>,
}

impl CapacityPlan {
    /// A plan without any tasks yet.
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

    /// Total number of new machines that the plan wants.
    pub(super) fn wanted_count(&self) -> u32 {
        self.wanted.values().sum()
    }

    /// Adds a new machine of the offer to the plan; returns the possible start of a task there.
    fn add_wanted_machine(
        &mut self,
        offer: Offer,
        machine_type: &MachineType,
        now: Moment,
    ) -> PlannedStart {
        *self.wanted.entry(offer.clone()).or_insert(0) += 1;
        let up = now + machine_type.boot_time;
        self.machines
            .push(MachineForecast::booting(offer, up, machine_type.capacity));
        PlannedStart {
            at: up,
            machine: self.machines.len() - 1,
        }
    }
}

impl SchedulerState {
    /// Plans the starts of a job's waiting tasks; a task that would start too late wants a new machine.
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
        for _ in 0..job.ready().min(MAX_PLANNED_TASKS) {
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
            machine.allocate(start.at, TaskRoom::of_task(job), planned.run_time);
            planned.starts.extend(start_on(plan, start.machine));
        }
    }

    /// The earliest moment at which a task of the job could start on the machine; `None` if it never could.
    fn earliest_start(&self, job: &Job, machine: &MachineForecast, now: Moment) -> Option<Moment> {
        let machine_type = &self.provisioning.catalog[machine.type_index];
        let demand = job.spec.demand;
        if !demand.fits(machine_type.capacity)
            || !job
                .spec
                .allows(&machine_type.name, &machine.zone, machine.spot)
        {
            return None;
        }
        Some(machine.earliest_fit(TaskRoom::of_task(job))?.max(now))
    }

    /// Plans the start of the job's next task: on a machine of the plan if that is soon enough or no offer is better,
    /// otherwise on a new machine. `None` if there is neither.
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
                return Some(plan.add_wanted_machine(offer, machine_type, now));
            }
        }
        if existing.is_some() {
            planned.starts.pop();
        }
        existing
    }

    /// The worthwhile offer with the lowest price for each task that fits on the machine. Spot machines are worthwhile
    /// wherever they start the task sooner; on-demand machines, which cost several times as much, where they save a
    /// long wait, or where no other machine can run the task.
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
            .filter(|priced| self.is_worthwhile(planned, &priced.offer, existing, now))
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .map(|priced| priced.offer.clone())
    }

    /// True if a machine of the offer may run the job's tasks, and is worth its price compared with `existing`, the
    /// earliest start on a machine of the plan.
    fn is_worthwhile(
        &self,
        planned: &PlannedJob<'_>,
        offer: &Offer,
        existing: Option<Moment>,
        now: Moment,
    ) -> bool {
        let job = planned.job;
        let machine_type = &self.provisioning.catalog[offer.type_index];
        // Allows for late boots: a machine that is late to boot is still likely to be up before a new one.
        let up = now + machine_type.boot_time.scaled(1.2) + Micros::from_secs(3);
        job.spec.allows(&machine_type.name, &offer.zone, offer.spot)
            && job.zone_allowed(&offer.zone, &planned.zones)
            && job.spec.demand.fits(machine_type.capacity)
            && self.provisioning.may_request(offer, now)
            && existing.is_none_or(|start| {
                let saves_long_wait = up + self.config.on_demand_max_wait < start;
                up < start && (offer.spot || !job.spec.spot || saves_long_wait)
            })
    }

    /// Forecast of when capacity becomes free on a machine; `None` if its type isn't in the catalog.
    pub(super) fn forecast(&self, machine: &Machine, now: Moment) -> Option<MachineForecast> {
        let catalog = &self.provisioning.catalog;
        let type_index = catalog.iter().position(|t| t.name == machine.type_name)?;
        let machine_type = &catalog[type_index];
        let releases = match machine.last_seen {
            None => vec![CapacityRelease {
                at: (machine.known_since + machine_type.boot_time).max(now + MIN_RELEASE_DELAY),
                amount: empty_machine(machine_type.capacity),
            }],
            Some(_) => self.expected_releases(machine, now),
        };
        Some(MachineForecast {
            type_index,
            zone: machine.zone.clone(),
            spot: machine.spot,
            releases,
        })
    }

    /// Capacity that is free on a machine that is up, and that its attempts release at their expected ends.
    fn expected_releases(&self, machine: &Machine, now: Moment) -> Vec<CapacityRelease> {
        let left = self.capacity_left(machine);
        let mut releases = vec![CapacityRelease {
            at: now,
            amount: TaskRoom {
                resources: left.free,
                report_bytes: left.report_bytes as i64,
            },
        }];
        for (key, attempt) in &machine.attempts {
            let Some(job) = self.jobs.table.get(&key.job) else {
                continue;
            };
            let room = TaskRoom::of_task(job);
            let soon = now + MIN_RELEASE_DELAY;
            releases.push(match attempt.holds_resources() {
                true => CapacityRelease {
                    at: soon
                        .max(attempt.running_since.unwrap_or(now) + self.expected_run_time(job)),
                    amount: room,
                },
                // An exited attempt stays in the report until it is cleared.
                false => CapacityRelease {
                    at: soon,
                    amount: TaskRoom {
                        resources: Resources::default(),
                        ..room
                    },
                },
            });
        }
        releases.sort_by_key(|release| release.at);
        releases
    }
}
