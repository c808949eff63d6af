//! The fleet: which machines are wanted, rented and returned.

mod edge;
mod reserve;
pub mod wire;

use crate::cluster::Cluster;
use crate::jobs::Job;
use crate::jobs::rounds::{Write, WriteKind, page_write};
use crate::placement::Room;
use crate::state_store::pages::Pages;
use crate::time::{Micros, Moment};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use wire::ListedMachine;

/// One machine type of the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub room: Room,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot: Micros,
    pub zones: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListStatus {
    Starting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

/// A kind of machine that can be asked for: type, zone, spot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    pub type_index: usize,
    pub zone: String,
    pub spot: bool,
}

/// A rental request. The same name always carries the same request, and is never used again.
#[derive(Clone, Debug)]
pub struct Hire {
    pub name: String,
    pub offer: Offer,
    pub type_name: String,
    pub count: u32,
}

/// A machine as the plan sees it: room, and when it gets free.
struct Bin {
    type_index: usize,
    zone: String,
    spot: bool,
    releases: Vec<(Moment, Room)>,
}

impl Bin {
    /// When enough is free for one more task.
    fn earliest(&self, need: Room) -> Option<Moment> {
        let mut free = Room::default();
        self.releases.iter().find_map(|(at, room)| {
            free = free.plus(*room);
            need.fits(free).then_some(*at)
        })
    }

    /// Takes room for a task from `start` for `run`.
    fn take(&mut self, start: Moment, need: Room, run: Micros) {
        let mut free = Room::default();
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

#[derive(Debug)]
pub enum HireResult {
    Rented(Vec<String>),
    NoCapacity,
    /// May have been executed: the same request is repeated.
    Unknown,
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub catalog: Vec<MachineType>,
    /// Rentals without an answer yet.
    pub hires: Vec<Hire>,
    hire_count: u32,
    no_room: HashMap<Offer, Moment>,
    /// Names of machines that are gone for good; late reports and lists still name them.
    gone: BTreeSet<String>,
    /// Missing from the last list, though old enough to be in it.
    unlisted: BTreeSet<String>,
    /// A list was read under this term: before, nobody knows what is rented already.
    pub listed: bool,
    pub last_list: Option<Moment>,
    /// When rentals were last planned.
    planned: Option<Moment>,
    /// Machines that may hold tasks. A machine is written down before its first one, as soon as
    /// it is heard from. Sooner would spare its first task a wait, but a takeover then waits for
    /// every machine that is still booting, and some machine nearly always is.
    pub roster: Pages<u64>,
}

/// The key prefix of the roster: machines that may hold tasks, and until when they surely existed,
/// by the writing node's time of day.
pub const FLEET_PREFIX: &str = "fleet/";

/// How long a refused kind of machine isn't asked for again.
const NO_ROOM_PAUSE: Micros = Micros::from_secs(10);
/// Most machines are up within this many times their boot time.
const LATE_BOOT: f64 = 1.5;
/// Tasks of one job that a plan looks at.
const MAX_PLANNED: u32 = 300;
const MAX_HIRE: u32 = 50;
/// Machines that one plan asks for: ten requests. The next plan follows once these are answered.
const MOST_WANTED: u32 = 10 * MAX_HIRE;
/// Plans are at least this long apart for each machine: one looks at every task on every machine.
const PLAN_SPACING: Micros = Micros(500);
const MAX_RETURN: usize = 100;

impl Fleet {
    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.catalog.iter().find(|t| t.name == name)
    }

    pub fn room_of(&self, type_name: &str) -> Room {
        self.type_of(type_name).map(|t| t.room).unwrap_or_default()
    }

    pub fn cache_of(&self, type_name: &str) -> f64 {
        self.type_of(type_name).map_or(0.0, |t| t.cache_gb)
    }

    pub fn fetch_rate(&self, type_name: &str) -> f64 {
        self.type_of(type_name)
            .map_or(1.0, |t| t.fetch_gb_per_s)
            .max(0.01)
    }

    /// How much more a CPU costs on such a machine than on the cheapest: 0 for the cheapest.
    pub fn dearness(&self, type_name: &str, spot: bool) -> f64 {
        let per_cpu = |t: &MachineType, spot: bool| {
            let price = if spot { t.spot_price } else { t.price };
            price / t.room.cpu.max(1) as f64
        };
        let cheapest = self
            .catalog
            .iter()
            .map(|t| per_cpu(t, true).min(per_cpu(t, false)))
            .fold(f64::INFINITY, f64::min);
        let own = self
            .type_of(type_name)
            .map_or(cheapest, |t| per_cpu(t, spot));
        if cheapest > 0.0 && cheapest.is_finite() {
            (own / cheapest - 1.0).max(0.0)
        } else {
            0.0
        }
    }

    /// Everything that can be asked for, with its present price.
    fn offers(&self) -> Vec<(Offer, f64)> {
        let mut offers = Vec::new();
        for (type_index, t) in self.catalog.iter().enumerate() {
            for zone in &t.zones {
                for spot in [true, false] {
                    let price = if spot { t.spot_price } else { t.price };
                    let offer = Offer {
                        type_index,
                        zone: zone.clone(),
                        spot,
                    };
                    offers.push((offer, price));
                }
            }
        }
        offers
    }
}

impl Cluster {
    /// Adds the rentals that waiting work needs beyond what is there and on its way.
    pub fn plan_rentals(&mut self, now: Moment) {
        let spacing = Micros(PLAN_SPACING.0 * self.machines.len() as u64);
        let soon = self.fleet.planned.is_some_and(|t| now - t < spacing);
        if !self.fleet.listed || !self.fleet.hires.is_empty() || soon {
            return;
        }
        self.fleet.planned = Some(now);
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
                let n = left.min(MAX_HIRE);
                left -= n;
                self.fleet.hire_count += 1;
                let name = format!("r-{}-{}", self.term, self.fleet.hire_count);
                let type_name = self.fleet.catalog[offer.type_index].name.clone();
                self.fleet.hires.push(Hire {
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
        let offers = self.fleet.offers();
        let refused = |o: &Offer| self.fleet.no_room.get(o).is_some_and(|t| *t > now);
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
            .filter(|m| !m.returning && !m.faulty && !m.recalled && !m.lost)
            .filter(|m| m.list_status != Some(ListStatus::Failed) && !self.deaf(m, now))
            .filter_map(|m| self.bin_of(m, now))
            .collect();
        let eager = self.aims_at_waits();
        let mut team_room = self.team_room();
        for (_, id) in order {
            let Some(job) = self.jobs.table.get(&id) else {
                continue;
            };
            let Some(team) = job.team else { continue };
            let need = job.spec.need;
            let run = self.expected_run(job);
            // Whoever aims at starting times wants every start as soon as a machine can be had.
            let latest = match eager || job.spec.standing {
                true => now,
                false => self.latest_start(job),
            };
            // By when a task could start there: only the bin that takes one changes.
            let earliest = |bins: &[Bin], i: usize| {
                let bin = &bins[i];
                let t = &self.fleet.catalog[bin.type_index];
                let allowed = need.fits(t.room) && job.spec.allows(&t.name, &bin.zone, bin.spot);
                let start = if allowed {
                    bin.earliest(need)?
                } else {
                    return None;
                };
                Some(Reverse((start.max(now), i)))
            };
            // A job bound to one zone, or spread over several, has no use for room elsewhere.
            let zoned = job.spec.one_zone || job.spec.spread;
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
                        let t = &self.fleet.catalog[offer.type_index];
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
        let need = job.spec.need;
        offers
            .iter()
            .filter(|(o, _)| {
                let t = &self.fleet.catalog[o.type_index];
                // A machine that is late to boot is still likely to be up before a new one.
                let up = now + t.boot.scaled(1.2) + Micros::from_secs(3);
                job.spec.allows(&t.name, &o.zone, o.spot)
                    && Self::zone_allowed(job, &o.zone, zones)
                    && need.fits(t.room)
                    && self.fleet.no_room.get(o).is_none_or(|t| *t <= now)
                    && existing.is_none_or(|start| {
                        let long = up + self.config.dear_patience < start;
                        up < start && (o.spot || !job.spec.spot || long)
                    })
            })
            .min_by(|(a, pa), (b, pb)| {
                let cost = |o: &Offer, price: f64| {
                    let room = self.fleet.catalog[o.type_index].room;
                    price / f64::from(room.times(need).max(1))
                };
                cost(a, *pa).total_cmp(&cost(b, *pb))
            })
            .map(|(offer, _)| offer.clone())
    }

    /// True for a machine whose reports arrive but which answers don't seem to reach: it takes no
    /// work, so another one is rented in its place. A short doubt changes nothing.
    fn deaf(&self, m: &crate::workers::Machine, now: Moment) -> bool {
        let lease = self.lease_span();
        let uncounted = m.last_report.is_some()
            && !m.counted_in
            && now - m.known_since.max(self.started) > lease;
        uncounted || m.doubt.is_some_and(|d| now - d.since > lease.scaled(0.5))
    }

    /// When room gets free on a machine, as far as can be told.
    fn bin_of(&self, m: &crate::workers::Machine, now: Moment) -> Option<Bin> {
        let type_index = self
            .fleet
            .catalog
            .iter()
            .position(|t| t.name == m.type_name)?;
        let mut releases = Vec::new();
        if m.last_report.is_none() {
            let boot = self.fleet.catalog[type_index].boot;
            let up = (m.known_since + boot).max(now + Micros::from_secs(2));
            releases.push((up, self.fleet.catalog[type_index].room));
        } else {
            releases.push((now, self.free_room(m)));
            for (key, attempt) in m.attempts.iter().filter(|(_, a)| a.holds()) {
                let Some(job) = self.jobs.table.get(&key.0) else {
                    continue;
                };
                let from = attempt.running_since.unwrap_or(now);
                let end = (from + self.expected_run(job)).max(now + Micros::from_secs(2));
                releases.push((end, job.spec.need));
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

    /// Settles a rental's answer.
    pub fn hired(&mut self, name: &str, result: HireResult, now: Moment) {
        let Some(at) = self.fleet.hires.iter().position(|h| h.name == name) else {
            return;
        };
        match result {
            HireResult::Unknown => {}
            HireResult::NoCapacity => {
                let hire = self.fleet.hires.remove(at);
                self.fleet.no_room.insert(hire.offer, now + NO_ROOM_PAUSE);
            }
            HireResult::Rented(names) => {
                let hire = self.fleet.hires.remove(at);
                if names.len() < hire.count as usize {
                    self.fleet
                        .no_room
                        .insert(hire.offer.clone(), now + NO_ROOM_PAUSE);
                }
                for machine in names {
                    if self.fleet.is_gone(&machine) || self.machines.contains_key(&machine) {
                        continue;
                    }
                    let mut m = crate::workers::Machine::new(
                        &machine,
                        &hire.type_name,
                        &hire.offer.zone,
                        hire.offer.spot,
                        self.fleet.room_of(&hire.type_name),
                        now,
                    );
                    m.list_status = Some(ListStatus::Starting);
                    m.last_listed = Some(now);
                    m.exists_since = Some(now);
                    self.machines.insert(machine, m);
                }
            }
        }
    }

    /// Takes in a whole machine list that was asked for at `asked`.
    pub fn listed(&mut self, list: &[ListedMachine], asked: Moment, now: Moment) {
        self.fleet.listed = true;
        self.fleet.last_list = Some(now);
        for l in list {
            if self.fleet.is_gone(&l.name) {
                continue;
            }
            let total = self.fleet.room_of(&l.type_name);
            let started = self.started;
            let held = Micros::from_secs_f64(l.held_s.0);
            // As of the list it was held that long. If that reaches back beyond the oldest moment
            // that the list may describe, it existed then; else it exists now, as far as is known.
            let described = Moment(asked.0.saturating_sub(self.config.list_lag.scaled(2.0).0));
            let existed = if held >= now - described {
                described
            } else {
                now
            };
            let existed = match self.old_records.get(&l.name) {
                Some(recorded) => existed.min(*recorded),
                None => existed,
            };
            let m = self.machines.entry(l.name.clone()).or_insert_with(|| {
                let mut m = crate::workers::Machine::new(
                    &l.name,
                    &l.type_name,
                    &l.zone,
                    l.spot,
                    total,
                    now,
                );
                m.lease_from = started;
                m.known_since = Moment(now.0.saturating_sub(held.0));
                m
            });
            m.exists_since = Some(m.exists_since.map_or(existed, |t| t.min(existed)));
            m.list_status = Some(l.status);
            m.last_listed = Some(now);
            if l.status == ListStatus::Failed && !m.lost {
                // It stopped by itself, and everything on it with it.
                log::info!("machine {}: failed", l.name);
                m.lost = true;
                m.session_over = true;
                m.returning = true;
                self.end_session(&l.name);
            }
        }
        self.note_unlisted(list, asked);
        self.forget_vanished(now);
        self.release_seen(now);
    }

    /// Machines that a list should name and doesn't are gone, and what was on them too.
    ///
    /// Once listed, a machine stays listed until it is gone, and a list is never older than twice
    /// its lag. So a machine that existed that long (and a margin) before the list was asked for,
    /// and is not in it, no longer exists. Two lists in a row must agree.
    fn note_unlisted(&mut self, list: &[ListedMachine], asked: Moment) {
        let oldest = self.config.list_lag.scaled(2.0) + Micros::from_secs(3);
        let named: std::collections::HashSet<&str> = list.iter().map(|l| l.name.as_str()).collect();
        let mut gone = Vec::new();
        // Each once: a machine may be known and unseen.
        let names: BTreeSet<&String> = self
            .machines
            .keys()
            .chain(self.unseen.iter())
            .filter(|n| !named.contains(n.as_str()))
            .collect();
        for name in names {
            let existed = match self.machines.get(name) {
                Some(m) => m.exists_since,
                None => self.old_records.get(name).copied(),
            };
            if existed.is_some_and(|t| t + oldest < asked) {
                if self.fleet.unlisted.contains(name) {
                    gone.push(name.clone());
                } else {
                    self.fleet.unlisted.insert(name.clone());
                }
            }
        }
        self.fleet.unlisted.retain(|n| !named.contains(n.as_str()));
        for name in &gone {
            log::info!("machine {name}: gone from the list");
            self.fleet.unlisted.remove(name);
            self.unseen.remove(name);
        }
        self.returned(&gone);
    }

    /// Machines whose lease is over and that lists stopped naming long ago are gone.
    fn forget_vanished(&mut self, now: Moment) {
        let lag = self.config.list_lag.scaled(3.0) + Micros::from_secs(10);
        let gone: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.lost || m.last_report.is_none())
            .filter(|m| now - m.last_listed.unwrap_or(m.known_since) > lag)
            .filter(|m| now - m.lease_from >= self.lease_span())
            .map(|m| m.name.clone())
            .collect();
        for name in gone {
            self.drop_machine(&name);
        }
    }

    fn drop_machine(&mut self, name: &str) {
        self.end_session(name);
        self.machines.remove(name);
        self.fleet.roster.remove(name);
        self.old_records.remove(name);
    }

    /// Sees to it that a machine is on the roster; true if it surely is already.
    pub fn enroll(&mut self, name: &str, now: Moment) -> bool {
        if !self.fleet.roster.contains(name) {
            let at = self.wall(now).0;
            self.fleet.roster.put(name, at);
            self.urgent_rounds = true;
        }
        self.fleet.roster.is_stored(name)
    }

    /// Pages of the roster that differ from what is stored; without `tidy` only those with new
    /// machines.
    pub fn due_roster(&self, tidy: bool) -> Vec<Write> {
        let due = self.fleet.roster.due(tidy).into_iter();
        due.map(|image| page_write(FLEET_PREFIX, image, WriteKind::Roster))
            .collect()
    }

    /// Chooses machines to return, and names those whose return is due now.
    pub fn plan_returns(&mut self, now: Moment) -> Vec<String> {
        // Ordinary machines cost several times as much, so they go back sooner.
        let (spot_idle, dear_idle) = (self.config.idle, self.config.idle.scaled(0.25));
        let idle_time_of = |spot| if spot { spot_idle } else { dear_idle };
        let lease = self.lease_span();
        let boots: HashMap<String, Micros> = self
            .fleet
            .catalog
            .iter()
            .map(|t| (t.name.clone(), t.boot))
            .collect();
        let mut spare = self.spare_cpu();
        let mut replica_room = self.replica_room(now).unwrap_or(i64::MAX);
        let started = self.started;
        for m in self.machines.values_mut() {
            if m.returning {
                continue;
            }
            let mut idle =
                m.idle_since.is_some_and(|t| now - t > idle_time_of(m.spot)) && !m.busy();
            if idle && (spare < m.total.cpu || (!m.spot && replica_room < m.total.cpu)) {
                idle = false;
            } else if idle {
                spare -= m.total.cpu;
                if !m.spot {
                    replica_room -= m.total.cpu;
                }
            }
            let boot = boots.get(&m.type_name).copied().unwrap_or(spot_idle);
            // A new leader hears from machines one by one: whoever was not heard from since it
            // took over is not thereby one that never came up.
            let never_up = m.last_report.is_none()
                && m.list_status != Some(ListStatus::Running)
                && now - self.started > lease
                && now - m.known_since > boot.scaled(4.0) + Micros::from_secs(10);
            let mute = m.last_report.is_none()
                && now - self.started.max(m.known_since) > lease.scaled(2.0) + boot.scaled(4.0);
            let silent = m.lost && m.last_report.is_some_and(|t| now - t > lease.scaled(1.5));
            // Its reports arrive, but it hears nothing, and not only for a while.
            let unheard = m.doubt.is_some_and(|d| now - d.since > lease.scaled(2.0))
                || (m.last_report.is_some()
                    && !m.counted_in
                    && now - m.known_since.max(started) > lease.scaled(2.0));
            let deaf = unheard && !m.busy();
            // A recalled machine is charged to the end, and only its return proves it empty.
            let faulty = (m.faulty || m.recalled) && !m.busy();
            if (idle && m.counted_in) || never_up || mute || silent || faulty || deaf {
                log::info!(
                    "machine {}: to be returned (idle {idle}, never up {never_up}, silent {silent}, faulty {faulty}, deaf {deaf})",
                    m.name
                );
                m.returning = true;
            }
        }
        self.machines
            .values()
            .filter(|m| m.returning && (!m.busy() || m.lost))
            .map(|m| m.name.clone())
            .take(MAX_RETURN)
            .collect()
    }

    /// The cloud said that these machines, and everything on them, are gone.
    pub fn returned(&mut self, names: &[String]) {
        for name in names {
            self.drop_machine(name);
            self.fleet.gone.insert(name.clone());
        }
        // Names come in the order of creation: the first ones are the oldest.
        while self.fleet.gone.len() > self.config.remembered {
            self.fleet.gone.pop_first();
        }
    }
}
