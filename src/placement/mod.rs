//! Placement: which waiting task goes where, and what may be stopped for it.

mod fit;
mod order;
mod preemption;
mod resources;
mod schedule;
mod usage;
mod zones;

pub use order::QueueOrder;
pub use resources::Resources;
pub use schedule::PlacementSchedule;

use crate::jobs::JobId;
use crate::jobs::Priority;
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use crate::workers::{Attempt, AttemptKey, Machine};
use preemption::Victim;
use std::collections::{BTreeMap, BTreeSet};

/// A job that has waited too long gets this part of its tasks placed first, at least one.
const FIRST_SHARE: u32 = 16;

/// One machine in this many, and one more, may be kept for jobs that waited too long.
const MOST_RESERVED: usize = 32;

/// A machine as one pass sees it.
struct Place {
    name: String,
    free: Resources,
    /// Free room once what is being stopped has left, less what waits for it.
    promised: Resources,
    /// Kept for a job that has waited too long: nothing else starts here.
    reserved: bool,
}

/// What one pass works on. Everything that looks at all machines or all tasks is worked out once
/// for all jobs: with hundreds of machines and jobs their product would take all of a small
/// controller's processor.
struct PlacementPass {
    places: Vec<Place>,
    /// Places with free room, as indices.
    roomy: Vec<usize>,
    /// Places at which room is being made.
    making: Vec<usize>,
    /// How many places are kept for jobs that waited too long.
    reserved: usize,
    /// Needs that no place had room for; room only shrinks in a pass.
    unplaceable: Vec<Resources>,
    team_room: Vec<Resources>,
    /// Worked out when a job needs room made for the first time.
    victims: Option<Vec<Victim>>,
    /// What teams use beyond their guarantees.
    over: Vec<i64>,
    /// Jobs that don't fit into their team's guarantee beside its earlier ones.
    beyond: BTreeSet<JobId>,
    /// The lowest rank of which anything holds a place.
    lowest: Option<Priority>,
    /// The highest rank that waits, and the highest that waits for its team's guarantee.
    highest: (Option<Priority>, Option<Priority>),
}

impl SchedulerState {
    pub fn usable(&self, m: &Machine, now: Moment) -> bool {
        m.reconciled
            && m.registered
            && m.quarantine.is_none()
            && !m.unreachable
            && !m.draining
            && !m.faulty
            && !m.has_preemption_notice
            && m.is_alive(self.config.report, now)
    }

    /// A pass, if something changed and the last one was long enough ago.
    pub fn place_soon(&mut self, now: Moment) {
        if self.permissions().assign && self.placement.may_run(self.machines.len(), now) {
            self.place(now);
        }
    }

    /// One pass: binds waiting tasks to machines and marks what must make room.
    pub fn place(&mut self, now: Moment) {
        self.placement.due = false;
        self.placement.last_pass = now;
        let (order, beyond) = self.order_and_beyond(now);
        if order.is_empty() {
            return;
        }
        let mut pass = self.start_pass(now);
        pass.beyond = beyond;
        let ranks = |p: &QueueOrder| p.rank.0;
        let within = order.iter().filter(|(p, _)| !p.beyond_guarantee);
        pass.highest = (
            order.iter().map(|(p, _)| ranks(p)).max(),
            within.map(|(p, _)| ranks(p)).max(),
        );
        for (queue_order, id) in order {
            self.place_job(queue_order, id, &mut pass, now);
        }
    }

    /// Works out what all waiting jobs share.
    fn start_pass(&self, now: Moment) -> PlacementPass {
        let places: Vec<Place> = self
            .machines
            .values()
            .filter(|m| self.usable(m, now))
            .map(|m| {
                let (free, stopping) = self.rooms(m);
                Place {
                    name: m.name.clone(),
                    free,
                    promised: free.plus(stopping),
                    reserved: false,
                }
            })
            .collect();
        let used = self.team_use();
        let over = used.iter().zip(&self.config.teams);
        PlacementPass {
            roomy: (0..places.len())
                .filter(|i| places[*i].free.cpu > 0)
                .collect(),
            making: (0..places.len())
                .filter(|i| places[*i].promised != places[*i].free)
                .collect(),
            reserved: 0,
            unplaceable: Vec::new(),
            team_room: self.team_room_beside(&used),
            victims: None,
            beyond: BTreeSet::new(),
            highest: (None, None),
            lowest: self
                .jobs
                .table
                .values()
                .filter(|j| j.is_bound())
                .map(|j| j.spec.priority)
                .min(),
            over: over
                .map(|(used, t)| used.cpu - Resources::have(t.cpus, 0.0, 0.0).cpu)
                .collect(),
            places,
        }
    }

    /// Places as many of a job's waiting tasks as there is room for, and has room made for the rest.
    fn place_job(
        &mut self,
        queue_order: QueueOrder,
        id: JobId,
        pass: &mut PlacementPass,
        now: Moment,
    ) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let Some(team) = job.team else { return };
        let (need, mut ready) = (job.spec.demand, job.ready());
        let zoned = job.spec.same_zone || job.spec.spread;
        let starves = queue_order.starves.0;
        if starves {
            ready = ready.min((job.spec.tasks / FIRST_SHARE).max(1));
        }
        let mut zones = self.zones_of(id);
        let mut waiting = false;
        for _ in 0..ready {
            if !need.fits(pass.team_room[team]) {
                if starves {
                    // What gets free of the team's limit is kept until it is enough.
                    pass.team_room[team] = pass.team_room[team].minus(need);
                }
                break;
            }
            let Some(at) = self.choose(id, pass, &zones) else {
                waiting = true;
                if starves && pass.reserved <= pass.places.len() / MOST_RESERVED {
                    self.reserve(id, pass, &zones);
                }
                break;
            };
            let Some(zone) = self.bind_next(id, &mut pass.places[at], starves, now) else {
                return;
            };
            if zoned {
                *zones.entry(zone).or_insert(0) += 1;
            }
            pass.team_room[team] = pass.team_room[team].minus(need);
        }
        let left = self.note_placed(id, now);
        if waiting {
            self.make_room(queue_order, id, left, pass, now);
        }
    }

    /// Binds the job's next task to a machine, and returns the machine's zone; None if there is no such
    /// task. It starts once it is claimed.
    fn bind_next(
        &mut self,
        id: JobId,
        place: &mut Place,
        protected: bool,
        now: Moment,
    ) -> Option<String> {
        let job = self.jobs.table.get_mut(&id)?;
        let task = job.next_ready()?;
        let machine = self.machines.get_mut(&place.name)?;
        self.attempt_counter += 1;
        let number = (self.term << 32) | u64::from(self.attempt_counter);
        let mut attempt = Attempt::placed(now);
        attempt.protected = protected;
        let key = AttemptKey {
            job: id,
            task,
            attempt: number,
        };
        machine.attempts.insert(key, attempt);
        machine.free_resources.set(None);
        machine.idle_since = None;
        if task < job.start_watermark {
            self.commands.due.insert(place.name.clone());
        } else {
            job.request_watermark(task);
            let waiting = self.commands.awaiting_watermark.entry(id).or_default();
            waiting.insert(place.name.clone());
        }
        let cache_gb = self.provisioning.cache_of(&machine.type_name);
        machine
            .images
            .note_use(&job.spec.image, job.spec.image_gb, false, cache_gb, now);
        job.bind(task);
        place.free = place.free.minus(job.spec.demand);
        place.promised = place.promised.minus(job.spec.demand);
        Some(machine.zone.clone())
    }

    /// Asks for the claim that the job's placed tasks need; returns how many tasks still wait.
    fn note_placed(&mut self, id: JobId, now: Moment) -> u32 {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return 0;
        };
        let left = job.ready();
        if left == 0 {
            job.placed_at.get_or_insert(now);
        }
        let wanted = std::mem::take(&mut job.requested_watermark);
        if wanted > job.start_watermark
            && self
                .jobs
                .start_watermarks
                .get(&job.spec.id)
                .is_none_or(|c| *c < wanted)
        {
            self.jobs.start_watermarks.put(&job.spec.id, wanted);
            self.writes_due = true;
        }
        left
    }

    /// Keeps the machine with most room for a job that has waited too long: nothing else starts
    /// there, so that a large task isn't kept out by small ones that take each bit of room.
    fn reserve(&self, id: JobId, pass: &mut PlacementPass, zones: &BTreeMap<String, u32>) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let places = pass.places.iter().enumerate();
        let most = places
            .filter(|(_, p)| !p.reserved)
            .filter(|(_, p)| {
                self.machines.get(&p.name).is_some_and(|m| {
                    job.spec.demand.fits(m.total)
                        && job.spec.allows(&m.type_name, &m.zone, m.spot)
                        && Self::zone_allowed(job, &m.zone, zones)
                })
            })
            .max_by_key(|(at, p)| (p.promised.cpu, p.free.cpu, std::cmp::Reverse(*at)));
        if let Some((at, _)) = most {
            let place = &mut pass.places[at];
            place.reserved = true;
            pass.reserved += 1;
            place.free = Resources::default();
            place.promised = Resources::default();
        }
    }
}
