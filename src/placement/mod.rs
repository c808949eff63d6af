//! Placement: which waiting task goes where, and what may be stopped for it.

use crate::cluster::Cluster;
use crate::jobs::spec::{JobSpec, Rank};
use crate::jobs::{Job, JobId};
use crate::time::{Micros, Moment};
use crate::workers::wire::TaskStatus;
use crate::workers::{Attempt, AttemptKey, Machine, Wanted};
use std::collections::{BTreeMap, BTreeSet};

/// Resources in whole thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    pub cpu: i64,
    pub gpu: i64,
    pub ram: i64,
}

impl Room {
    /// What a task takes: rounded up.
    pub fn need(cpus: f64, gpus: f64, ram_gb: f64) -> Room {
        let up = |x: f64| (x * 1000.0 - 1e-6).ceil() as i64;
        Room {
            cpu: up(cpus),
            gpu: up(gpus),
            ram: up(ram_gb),
        }
    }

    /// What a machine or a limit has: rounded down.
    pub fn have(cpus: f64, gpus: f64, ram_gb: f64) -> Room {
        let down = |x: f64| (x * 1000.0 + 1e-6).floor() as i64;
        Room {
            cpu: down(cpus),
            gpu: down(gpus),
            ram: down(ram_gb),
        }
    }

    pub fn fits(self, room: Room) -> bool {
        self.cpu <= room.cpu && self.gpu <= room.gpu && self.ram <= room.ram
    }

    pub fn plus(self, o: Room) -> Room {
        Room {
            cpu: self.cpu + o.cpu,
            gpu: self.gpu + o.gpu,
            ram: self.ram + o.ram,
        }
    }

    pub fn minus(self, o: Room) -> Room {
        Room {
            cpu: self.cpu - o.cpu,
            gpu: self.gpu - o.gpu,
            ram: self.ram - o.ram,
        }
    }

    /// The smaller of both, for each resource.
    pub fn at_most(self, o: Room) -> Room {
        Room {
            cpu: self.cpu.min(o.cpu),
            gpu: self.gpu.min(o.gpu),
            ram: self.ram.min(o.ram),
        }
    }

    pub fn by(self, n: i64) -> Room {
        Room {
            cpu: self.cpu * n,
            gpu: self.gpu * n,
            ram: self.ram * n,
        }
    }

    /// How many tasks of this need the room holds.
    pub fn times(self, need: Room) -> u32 {
        let one = |have: i64, need: i64| if need <= 0 { i64::MAX } else { have / need };
        one(self.cpu, need.cpu)
            .min(one(self.gpu, need.gpu))
            .min(one(self.ram, need.ram))
            .clamp(0, 10_000) as u32
    }
}

impl JobSpec {
    /// True if any machine will do that has the room.
    fn anywhere(&self) -> bool {
        self.spot && self.zone.is_none() && self.types.is_none() && !self.one_zone && !self.spread
    }

    /// Whether its tasks may run on such a machine at all.
    pub fn allows(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| t == type_name))
    }
}

/// Sorts waiting jobs: smaller goes first.
///
/// What may be stopped for a job always comes later in this order. Otherwise it would take its
/// place again at once, and be stopped again, without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// It has not begun for so long that its first tasks go before everything else.
    begins: std::cmp::Reverse<bool>,
    rank: std::cmp::Reverse<Rank>,
    beyond_guarantee: bool,
    /// Can't be in time any more: it goes behind those that can.
    late: bool,
    press: Moment,
    accepted: Moment,
}

/// Seconds of fetching that a place is worth for each time that a CPU costs more elsewhere, and
/// the most that counts.
const DEAR: f64 = 6.0;
const MOST_DEAR: f64 = 10.0;

/// Estimates are rough: a little past its latest start a job may still be in time.
const LATE_GRACE: Micros = Micros::from_secs(5);

/// A job that has waited too long gets this part of its tasks placed first, at least one.
const FIRST_SHARE: u32 = 16;

/// One machine in this many, and one more, may be kept for jobs that waited too long.
const MOST_RESERVED: usize = 32;

/// Of the machines with room one in so many is drawn, where that is more than the sample that is
/// set: three of hundreds seldom meet a machine that has the image or is nearly full.
const DRAWN_OF: usize = 16;

/// Passes are at least this long apart for each machine.
const PASS_SPACING: Micros = Micros(100);

/// How strongly small jobs go before large ones.
const SMALL_FIRST: f64 = 10.0;

/// A machine as one pass sees it.
struct Place {
    name: String,
    free: Room,
    /// Free room once what is being stopped has left, less what waits for it.
    promised: Room,
    /// Kept for a job that has waited too long: nothing else starts here.
    reserved: bool,
}

/// A task that could be stopped.
struct Victim {
    /// What would be lost: the work done so far.
    lost: u64,
    at: usize,
    key: AttemptKey,
    need: Room,
    team: usize,
    rank: Rank,
    stopped: bool,
}

/// What one pass works on. Everything that looks at all machines or all tasks is worked out once
/// for all jobs: with hundreds of machines and jobs their product would take all of a small
/// controller's processor.
struct Pass {
    places: Vec<Place>,
    /// Places with free room, as indices.
    roomy: Vec<usize>,
    /// Places at which room is being made.
    making: Vec<usize>,
    /// How many places are kept for jobs that waited too long.
    reserved: usize,
    /// Needs that no place had room for; room only shrinks in a pass.
    barren: Vec<Room>,
    team_room: Vec<Room>,
    /// Worked out when a job needs room made for the first time.
    victims: Option<Vec<Victim>>,
    /// What teams use beyond their guarantees.
    over: Vec<i64>,
    /// Jobs that don't fit into their team's guarantee beside its earlier ones.
    beyond: BTreeSet<JobId>,
    /// The lowest rank of which anything holds a place.
    lowest: Option<Rank>,
    /// The highest rank that waits, and the highest that waits for its team's guarantee.
    highest: (Option<Rank>, Option<Rank>),
}

impl Cluster {
    /// What is left on a machine beside everything that may be on it.
    pub fn free_room(&self, m: &Machine) -> Room {
        self.rooms(m).0
    }

    /// What is left on a machine, and what will be free there once what is being stopped is gone.
    fn rooms(&self, m: &Machine) -> (Room, Room) {
        let rooms = m.rooms.get().unwrap_or_else(|| self.count_rooms(m));
        m.rooms.set(Some(rooms));
        rooms
    }

    fn count_rooms(&self, m: &Machine) -> (Room, Room) {
        if m.ghosts.iter().any(|g| !g.exited) {
            // Nobody knows what a job without a record takes.
            return (Room::default(), Room::default());
        }
        let (mut free, mut stopping) = (m.total, Room::default());
        let mut last: Option<(JobId, Room)> = None;
        for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds()) {
            let need = match last {
                Some((id, need)) if id == key.0 => need,
                _ => match self.jobs.table.get(&key.0) {
                    Some(job) => job.spec.need,
                    None => continue,
                },
            };
            last = Some((key.0, need));
            free = free.minus(need);
            if attempt.wanted != Wanted::Run {
                stopping = stopping.plus(need);
            }
        }
        (free, stopping)
    }

    /// What each team's tasks take, counting what unseen machines may still run: whatever may be
    /// there, but no more than they can hold, since a worker refuses what doesn't fit.
    fn team_use(&self) -> Vec<Room> {
        let mut used = vec![Room::default(); self.config.teams.len()];
        let mut unseen = used.clone();
        for job in self.jobs.table.values() {
            let Some(team) = job.team else { continue };
            let need = job.spec.need;
            used[team] = used[team].plus(need.by(i64::from(job.bound_attempts())));
            if job.held_below > 0 {
                unseen[team] = unseen[team].plus(need.by(i64::from(job.maybe_unseen())));
            }
        }
        let most = self.unseen_room();
        let with_unseen = |(used, unseen): (&Room, Room)| {
            used.plus(most.map_or(unseen, |most| unseen.at_most(most)))
        };
        used.iter().zip(unseen).map(with_unseen).collect()
    }

    /// What all unseen machines together have; None if nobody knows.
    fn unseen_room(&self) -> Option<Room> {
        if self.claims_lost {
            return None;
        }
        let types = self.fleet.catalog.iter().map(|t| t.room);
        let largest = types.reduce(|a, b| Room {
            cpu: a.cpu.max(b.cpu),
            gpu: a.gpu.max(b.gpu),
            ram: a.ram.max(b.ram),
        })?;
        let room = |name: &String| match self.machines.get(name) {
            Some(m) if m.total.cpu > 0 => m.total,
            _ => largest,
        };
        let all = self.unseen.iter().map(room);
        Some(all.fold(Room::default(), Room::plus))
    }

    /// What each team may still add. Memory isn't limited.
    pub fn team_room(&self) -> Vec<Room> {
        self.team_room_beside(&self.team_use())
    }

    fn team_room_beside(&self, used: &[Room]) -> Vec<Room> {
        used.iter()
            .zip(&self.config.teams)
            .map(|(used, t)| {
                let mut room = Room::have(t.cpus_max, t.gpus_max, 0.0).minus(*used);
                room.ram = i64::MAX / 4;
                room
            })
            .collect()
    }

    /// Jobs with waiting tasks, the most urgent first.
    pub fn order(&self, now: Moment) -> Vec<(Priority, JobId)> {
        self.order_and_beyond(now).0
    }

    /// The same, and all jobs that don't fit into their team's guarantee beside its earlier ones.
    fn order_and_beyond(&self, now: Moment) -> (Vec<(Priority, JobId)>, BTreeSet<JobId>) {
        let mut beyond = BTreeSet::new();
        let mut by_age: Vec<(&JobId, &Job)> = self
            .jobs
            .table
            .iter()
            .filter(|(_, j)| j.outcome.is_none() && !j.cancel_asked && !j.complete())
            .collect();
        by_age.sort_by_key(|(id, j)| (j.accepted_at, **id));
        let mut claimed = vec![Room::default(); self.config.teams.len()];
        let mut order = Vec::new();
        for (id, job) in by_age {
            let Some(team) = job.team else { continue };
            claimed[team] = claimed[team].plus(job.spec.need.by(i64::from(job.remaining())));
            let settings = &self.config.teams[team];
            let guarantee = Room::have(settings.cpus, settings.gpus, 0.0);
            let within = claimed[team].cpu <= guarantee.cpu && claimed[team].gpu <= guarantee.gpu;
            if !within {
                beyond.insert(*id);
            }
            if job.ready() == 0 || job.retry_at > now {
                continue;
            }
            let latest_start = self.latest_start(job);
            // What the job takes of its team's limit, were it alone: of jobs equally pressed,
            // small ones go first, since they hold up the others least.
            let run = match job.spec.standing {
                true => 0.0,
                false => self.expected_run(job).as_secs_f64(),
            };
            let work = f64::from(job.remaining()) * run * job.spec.need.cpu as f64;
            let alone = work / (settings.cpus_max * 1000.0).max(1.0);
            let press = latest_start + Micros::from_secs_f64(alone * SMALL_FIRST);
            order.push((
                Priority {
                    begins: std::cmp::Reverse(self.starves(job, now)),
                    beyond_guarantee: !within,
                    rank: std::cmp::Reverse(job.spec.rank),
                    late: !job.spec.standing && now > latest_start + LATE_GRACE,
                    press,
                    accepted: job.accepted_at,
                },
                *id,
            ));
        }
        order.sort();
        (order, beyond)
    }

    /// A job that waits in vain for its first start. Small and urgent work goes before large and
    /// late work, ranks before lower ranks; each may be endless, so that waiting itself must win
    /// in the end. The age comes from the record, so it survives a takeover.
    fn starves(&self, job: &Job, now: Moment) -> bool {
        !job.begun() && now - job.accepted_at > self.config.patience
    }

    pub fn usable(&self, m: &Machine, now: Moment) -> bool {
        m.counted_in
            && m.recorded
            && m.doubt.is_none()
            && !m.lost
            && !m.returning
            && !m.faulty
            && !m.recalled
            && m.is_alive(self.config.report, now)
    }

    /// A pass, if something changed and the last one was long enough ago. A pass looks at every
    /// machine and waiting job, so passes are spaced by how many machines there are.
    pub fn place_soon(&mut self, now: Moment) {
        let spacing = Micros(PASS_SPACING.0 * self.machines.len() as u64);
        if self.dirty && now - self.last_pass >= spacing {
            self.place(now);
        }
    }

    /// One pass: binds waiting tasks to machines and marks what must make room.
    pub fn place(&mut self, now: Moment) {
        self.dirty = false;
        self.last_pass = now;
        let (order, beyond) = self.order_and_beyond(now);
        if order.is_empty() {
            return;
        }
        let mut pass = self.begin_pass(now);
        pass.beyond = beyond;
        let ranks = |p: &Priority| p.rank.0;
        let within = order.iter().filter(|(p, _)| !p.beyond_guarantee);
        pass.highest = (
            order.iter().map(|(p, _)| ranks(p)).max(),
            within.map(|(p, _)| ranks(p)).max(),
        );
        for (priority, id) in order {
            self.place_job(priority, id, &mut pass, now);
        }
    }

    fn begin_pass(&self, now: Moment) -> Pass {
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
        Pass {
            roomy: (0..places.len())
                .filter(|i| places[*i].free.cpu > 0)
                .collect(),
            making: (0..places.len())
                .filter(|i| places[*i].promised != places[*i].free)
                .collect(),
            reserved: 0,
            barren: Vec::new(),
            team_room: self.team_room_beside(&used),
            victims: None,
            beyond: BTreeSet::new(),
            highest: (None, None),
            lowest: self
                .jobs
                .table
                .values()
                .filter(|j| j.is_bound())
                .map(|j| j.spec.rank)
                .min(),
            over: over
                .map(|(used, t)| used.cpu - Room::have(t.cpus, 0.0, 0.0).cpu)
                .collect(),
            places,
        }
    }

    fn place_job(&mut self, priority: Priority, id: JobId, pass: &mut Pass, now: Moment) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let Some(team) = job.team else { return };
        let (need, mut ready) = (job.spec.need, job.ready());
        let begins = priority.begins.0;
        if begins {
            ready = ready.min((job.spec.tasks / FIRST_SHARE).max(1));
        }
        let mut zones = self.zones_of(id);
        let mut waiting = false;
        for _ in 0..ready {
            if !need.fits(pass.team_room[team]) {
                if begins {
                    // What gets free of the team's limit is kept until it is enough.
                    pass.team_room[team] = pass.team_room[team].minus(need);
                }
                break;
            }
            let Some(at) = self.choose(id, pass, &zones) else {
                waiting = true;
                if begins && pass.reserved <= pass.places.len() / MOST_RESERVED {
                    self.reserve(id, pass, &zones);
                }
                break;
            };
            let Some(job) = self.jobs.table.get_mut(&id) else {
                return;
            };
            let Some(task) = job.next_ready() else { return };
            let place = &mut pass.places[at];
            let Some(machine) = self.machines.get_mut(&place.name) else {
                return;
            };
            self.counter += 1;
            let number = (self.term << 32) | u64::from(self.counter);
            let mut attempt = Attempt::placed(now);
            attempt.kept = begins;
            machine.attempts.insert((id, task, number), attempt);
            machine.rooms.set(None);
            machine.idle_since = None;
            if task < job.claimed {
                self.poked.insert(place.name.clone());
            } else {
                job.want_claim(task);
                let waiting = self.awaiting_claim.entry(id).or_default();
                waiting.insert(place.name.clone());
            }
            let cache_gb = self
                .fleet
                .catalog
                .iter()
                .find(|t| t.name == machine.type_name)
                .map_or(0.0, |t| t.cache_gb);
            machine.note_image(&job.spec.image, job.spec.image_gb, false, cache_gb, now);
            job.bind(task);
            if !zones.is_empty() || job.spec.one_zone || job.spec.spread {
                *zones.entry(machine.zone.clone()).or_insert(0) += 1;
            }
            place.free = place.free.minus(need);
            place.promised = place.promised.minus(need);
            pass.team_room[team] = pass.team_room[team].minus(need);
        }
        let mut left = 0;
        if let Some(job) = self.jobs.table.get_mut(&id) {
            left = job.ready();
            if left == 0 {
                job.placed_at.get_or_insert(now);
            }
            let wanted = std::mem::take(&mut job.claim_wanted);
            if wanted > job.claimed && self.claims.get(&job.spec.id).is_none_or(|c| *c < wanted) {
                self.claims.put(&job.spec.id, wanted);
                self.urgent_rounds = true;
            }
        }
        if waiting {
            self.make_room(priority, id, left, pass, now);
        }
    }

    /// Keeps the machine with most room for a job that has waited too long: nothing else starts
    /// there, so that a large task isn't kept out by small ones that take each bit of room.
    fn reserve(&self, id: JobId, pass: &mut Pass, zones: &BTreeMap<String, u32>) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let places = pass.places.iter().enumerate();
        let most = places
            .filter(|(_, p)| !p.reserved)
            .filter(|(_, p)| {
                self.machines.get(&p.name).is_some_and(|m| {
                    job.spec.need.fits(m.total)
                        && job.spec.allows(&m.type_name, &m.zone, m.spot)
                        && Self::zone_allowed(job, &m.zone, zones)
                })
            })
            .max_by_key(|(at, p)| (p.promised.cpu, p.free.cpu, std::cmp::Reverse(*at)));
        if let Some((at, _)) = most {
            let place = &mut pass.places[at];
            place.reserved = true;
            pass.reserved += 1;
            place.free = Room::default();
            place.promised = Room::default();
        }
    }

    /// Tasks of the job by zone, done ones included where it is known.
    pub fn zones_of(&self, id: JobId) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        let Some(job) = self.jobs.table.get(&id) else {
            return zones;
        };
        if !job.spec.one_zone && !job.spec.spread {
            return zones;
        }
        for m in self.machines.values() {
            let here = m
                .attempts
                .range((id, 0, 0)..=(id, u32::MAX, u64::MAX))
                .filter(|(_, a)| a.holds())
                .count() as u32;
            if here > 0 {
                *zones.entry(m.zone.clone()).or_insert(0) += here;
            }
        }
        zones
    }

    pub fn zone_allowed(job: &Job, zone: &str, zones: &BTreeMap<String, u32>) -> bool {
        if !job.spec.one_zone && !job.spec.spread {
            return true;
        }
        // What an unseen machine may run may be in any zone.
        let unseen = job.maybe_unseen();
        if job.spec.one_zone && (unseen > 0 || zones.keys().any(|z| z != zone)) {
            return false;
        }
        let most = job.spec.tasks.div_ceil(2);
        !job.spec.spread || zones.get(zone).copied().unwrap_or(0) + unseen < most
    }

    /// The best fit among a few drawn, or among all if none of them fits.
    fn choose(
        &mut self,
        id: JobId,
        pass: &mut Pass,
        zones: &BTreeMap<String, u32>,
    ) -> Option<usize> {
        let job = self.jobs.table.get(&id)?;
        let (need, anywhere) = (job.spec.need, job.spec.anywhere());
        if pass.barren.iter().any(|b| b.fits(need)) {
            return None;
        }
        let mut best: Option<(f64, usize)> = None;
        let sample = self.config.sample.max(pass.roomy.len() / DRAWN_OF);
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
                pass.barren.push(need);
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
        let rate = self.fleet.fetch_rate(&m.type_name);
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
        // Dear machines are left to themselves, so that they fall idle and go back.
        let dear = (DEAR * self.fleet.dearness(&m.type_name, m.spot)).min(MOST_DEAR);
        Some(fetch + 3.0 * left + dear + failed)
    }

    /// What could be stopped for anything that waits, the least loss first.
    fn victims(&self, pass: &Pass, now: Moment) -> Vec<Victim> {
        let (highest, within) = pass.highest;
        let mut victims = Vec::new();
        for (at, place) in pass.places.iter().enumerate() {
            let Some(m) = self.machines.get(&place.name) else {
                continue;
            };
            for (key, a) in &m.attempts {
                if !a.holds() || a.wanted != Wanted::Run || a.status == Some(TaskStatus::Flushing) {
                    continue;
                }
                let Some(v) = self.jobs.table.get(&key.0) else {
                    continue;
                };
                // Else what begins at last would be stopped at once, again and again.
                let begins = !v.begun && now - v.accepted_at > self.config.patience;
                if a.kept || begins || place.reserved {
                    continue;
                }
                let Some(team) = v.team else { continue };
                let rank = Some(v.spec.rank);
                if rank >= highest && (rank > within || pass.over[team] <= 0) {
                    continue;
                }
                let ran = (now - a.running_since.unwrap_or(now)).0;
                victims.push(Victim {
                    lost: ran.saturating_mul(v.spec.need.cpu as u64),
                    at,
                    key: *key,
                    need: v.spec.need,
                    team,
                    rank: v.spec.rank,
                    stopped: false,
                });
            }
        }
        victims.sort_unstable_by_key(|v| (v.lost, v.at, v.key));
        victims
    }

    /// Stops lower work, or work that others borrowed, where that makes room for waiting tasks.
    fn make_room(
        &mut self,
        priority: Priority,
        id: JobId,
        waiting: u32,
        pass: &mut Pass,
        now: Moment,
    ) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let Some(team) = job.team else { return };
        let (need, rank) = (job.spec.need, job.spec.rank);
        // Most jobs that wait may stop nothing: they needn't look at all that runs.
        let lower = pass.lowest.is_some_and(|lowest| lowest < rank);
        let mut others = pass.over.iter().enumerate().filter(|(t, _)| *t != team);
        let borrowed = !priority.beyond_guarantee && others.any(|(_, over)| *over > 0);
        if !lower && !borrowed {
            return;
        }
        let mut left = waiting.min(pass.team_room[team].times(need));
        let zones = self.zones_of(id);
        let allowed = |at: usize, places: &[Place]| {
            job.spec.anywhere()
                || self.machines.get(&places[at].name).is_some_and(|m| {
                    job.spec.allows(&m.type_name, &m.zone, m.spot)
                        && Self::zone_allowed(job, &m.zone, &zones)
                })
        };
        // Room that is being made already is waited for, not made twice.
        for at in &pass.making {
            if !allowed(*at, &pass.places) {
                continue;
            }
            let place = &mut pass.places[*at];
            while left > 0 && need.fits(place.promised) {
                place.promised = place.promised.minus(need);
                left -= 1;
            }
        }
        if left == 0 {
            return;
        }
        if pass.victims.is_none() {
            pass.victims = Some(self.victims(pass, now));
        }
        // By place, what might be stopped there: nothing is, unless it makes enough room together.
        // What is stopped in vain starts again in the room that it left, and is stopped again, without
        // end, where the rest of a machine can't be stopped.
        let mut together: BTreeMap<usize, (Room, Vec<usize>)> = BTreeMap::new();
        let mut stops = Vec::new();
        let victims = pass.victims.as_mut().map_or(&mut [][..], |v| &mut v[..]);
        for i in 0..victims.len() {
            if left == 0 {
                break;
            }
            let v = &victims[i];
            // Only what comes later in the order: what fits into its own team's guarantee would stop
            // the same work in turn, since both teams may have borrowed, again and again.
            let borrowed = !priority.beyond_guarantee
                && v.team != team
                && v.rank <= rank
                && pass.beyond.contains(&v.key.0)
                && pass.over[v.team] >= v.need.cpu;
            if v.stopped || (v.rank >= rank && !borrowed) || !allowed(v.at, &pass.places) {
                continue;
            }
            let at = v.at;
            let promised = pass.places[at].promised;
            let (room, stopped) = together.entry(at).or_insert((promised, Vec::new()));
            *room = room.plus(v.need);
            stopped.push(i);
            if !need.fits(*room) {
                continue;
            }
            let room = *room;
            for i in std::mem::take(stopped) {
                let v = &mut victims[i];
                v.stopped = true;
                pass.over[v.team] -= v.need.cpu;
                stops.push((pass.places[at].name.clone(), v.key));
            }
            let place = &mut pass.places[at];
            if place.promised == place.free {
                pass.making.push(at);
            }
            place.promised = room;
            while left > 0 && need.fits(place.promised) {
                place.promised = place.promised.minus(need);
                left -= 1;
            }
            let promised = place.promised;
            together.insert(at, (promised, Vec::new()));
        }
        for (name, key) in stops {
            self.stop_attempt(&name, key);
        }
    }

    /// Wants one attempt gone, with time to save where that keeps something.
    pub fn stop_attempt(&mut self, machine: &str, key: crate::workers::AttemptKey) {
        let Some(job) = self.jobs.table.get(&key.0) else {
            return;
        };
        let leeway = if job.spec.checkpoint > Micros::ZERO {
            job.spec.save + Micros::from_secs(2)
        } else {
            Micros::ZERO
        };
        if let Some(m) = self.machines.get_mut(machine)
            && let Some(a) = m.attempts.get_mut(&key)
        {
            a.wanted = Wanted::Stop { leeway };
            m.rooms.set(None);
            log::debug!("stopping {}/{} on {machine}", job.spec.id, key.1);
            self.poked.insert(machine.to_string());
        }
    }
}
