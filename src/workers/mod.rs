//! Workers: their reports, sessions and leases, and the orders that follow from the difference
//! between what is wanted of a machine and what it reports.

pub mod direct;
pub mod edge;
pub mod wire;

use crate::cluster::{Cluster, LEASE_MARGIN};
use crate::jobs::JobId;
use crate::placement::Room;
use crate::time::{Micros, Moment, at_most};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use wire::{Order, Report, TaskStatus, Verb};

/// At most this many orders go into one answer: it must stay below 64 KiB.
const MAX_ORDERS: usize = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    Run,
    Stop { leeway: Micros },
}

/// What became of a start that went straight to the worker's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direct {
    /// None is under way.
    Settled,
    InFlight,
    /// No answer came to a call that began then. The network may hold the order back and deliver it
    /// while token and session match: nothing but the session's end frees the task for good, and
    /// the attempt is never cleared, since a start after `clear` would run it again.
    Uncertain {
        since: Moment,
    },
}

/// One attempt of a task on one machine, in one session.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub wanted: Wanted,
    /// The last report's status; None until a report shows the attempt.
    pub status: Option<TaskStatus>,
    /// The (session, tick) of the report in whose answer the start went out last.
    pub sent: Option<(u64, u64)>,
    pub direct: Direct,
    pub stop_sent: Option<Moment>,
    pub placed_at: Moment,
    pub running_since: Option<Moment>,
    /// It may hold its place on the machine, and is counted at its job.
    pub bound: bool,
    /// The first start of a job that waited too long: it isn't stopped for others.
    pub kept: bool,
    pub done: bool,
}

impl Attempt {
    fn new(bound: bool, now: Moment) -> Attempt {
        Attempt {
            wanted: Wanted::Run,
            status: None,
            sent: None,
            direct: Direct::Settled,
            stop_sent: None,
            placed_at: now,
            running_since: None,
            bound,
            kept: false,
            done: false,
        }
    }

    /// An attempt that was just decided.
    pub fn placed(now: Moment) -> Attempt {
        Attempt::new(true, now)
    }

    /// False once it surely no longer holds anything on the machine.
    pub fn holds(&self) -> bool {
        self.bound
    }
}

pub type AttemptKey = (JobId, u32, u64);

/// An attempt of a job that has no record any more: its job is over.
#[derive(Clone, Debug)]
pub struct Ghost {
    pub piece: String,
    pub attempt: u64,
    pub exited: bool,
}

#[derive(Clone, Debug)]
pub struct Image {
    pub gb: f64,
    pub used: Moment,
    pub cached: bool,
}

/// A machine's reports may arrive although answers and orders don't reach it. Each report then
/// looks healthy, but its session ends again and again.
#[derive(Clone, Copy, Debug)]
pub struct Doubt {
    pub since: Moment,
    /// When the session began, or the last sign that something was lost.
    sign: Moment,
    /// When it may be asked again whether orders reach it.
    probe_at: Moment,
    wait: Micros,
}

/// A start that is stopped sooner doesn't count as one.
const COUNTS_AFTER: Micros = Micros::from_secs(30);

/// Images remembered of a machine: what has no size would never leave a cache.
const MOST_IMAGES: usize = 64;

/// The first time between two probes of a machine in doubt; it doubles up to eight times that.
const PROBE_WAIT: Micros = Micros::from_secs(2);

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub total: Room,
    pub session: u64,
    pub tick: u64,
    /// A report carried the current token: no older leader's order can land here any more.
    pub counted_in: bool,
    /// Its lease ran out without a report: nothing is on it.
    pub lost: bool,
    /// Its lease ran out under this term, or it stopped for good: nothing of an earlier term can be
    /// on it, though it may not be counted in. A larger session in a report doesn't prove that: the
    /// smaller one may be known from a late copy only, and orders of the last leader for the larger
    /// one may be on their way.
    pub session_over: bool,
    /// It is on the roster in the state service: tasks may start here.
    pub recorded: bool,
    /// The newest heartbeat taken: whatever is no newer is a copy.
    pub checked: (u64, u64),
    /// Set while it is doubtful that answers reach it.
    pub doubt: Option<Doubt>,
    /// The lease can't have been renewed by anyone after this.
    pub lease_from: Moment,
    pub last_report: Option<Moment>,
    /// When it last checked in. Direct answers prove neither that its lease is renewed nor that it
    /// reaches anybody: a machine that only answers loses one session after the other.
    pub last_heartbeat: Option<Moment>,
    /// When the last direct call that it answered began.
    pub answered_from: Option<Moment>,
    pub recalled: bool,
    /// When the cloud takes it away, as last told.
    pub recall_at: Option<Moment>,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    pub ghosts: Vec<Ghost>,
    pub images: BTreeMap<String, Image>,
    /// Being returned: nothing starts here any more.
    pub returning: bool,
    pub faulty: bool,
    pub error_streak: BTreeSet<JobId>,
    pub known_since: Moment,
    pub idle_since: Option<Moment>,
    pub list_status: Option<crate::fleet::ListStatus>,
    pub last_listed: Option<Moment>,
    /// It existed at this moment, at the latest.
    pub exists_since: Option<Moment>,
    /// A direct call to it is under way.
    pub calling: bool,
    /// What is free, and what will be, as last worked out: a pass looks at every machine, and few
    /// changed since the one before. Whatever changes its attempts forgets it.
    pub rooms: Cell<Option<(Room, Room)>>,
}

impl Machine {
    pub fn new(
        name: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        total: Room,
        now: Moment,
    ) -> Machine {
        Machine {
            name: name.to_string(),
            addr: String::new(),
            type_name: type_name.to_string(),
            zone: zone.to_string(),
            spot,
            total,
            session: 0,
            tick: 0,
            counted_in: false,
            lost: false,
            session_over: false,
            recorded: false,
            checked: (0, 0),
            doubt: None,
            lease_from: now,
            last_report: None,
            last_heartbeat: None,
            answered_from: None,
            recalled: false,
            recall_at: None,
            attempts: BTreeMap::new(),
            ghosts: Vec::new(),
            images: BTreeMap::new(),
            returning: false,
            faulty: false,
            error_streak: BTreeSet::new(),
            known_since: now,
            idle_since: None,
            list_status: None,
            last_listed: None,
            exists_since: None,
            calling: false,
            rooms: Cell::new(None),
        }
    }

    /// True if it checked in lately, in the session that it was last seen in.
    pub fn is_alive(&self, report: Micros, now: Moment) -> bool {
        let fresh = |t: Moment| now - t < report.scaled(2.0);
        self.last_heartbeat.is_some_and(fresh) && self.checked.0 == self.session
    }

    pub fn busy(&self) -> bool {
        self.attempts.values().any(|a| a.holds()) || self.ghosts.iter().any(|g| !g.exited)
    }

    /// Something that was sent to it was surely lost.
    fn note_loss(&mut self, now: Moment) {
        let doubt = self.doubt.get_or_insert(Doubt {
            since: now,
            sign: now,
            probe_at: now,
            wait: PROBE_WAIT,
        });
        doubt.sign = now;
    }

    /// Marks an image as used; the least recently used ones leave a full cache.
    pub fn note_image(&mut self, image: &str, gb: f64, cached: bool, cache_gb: f64, now: Moment) {
        let entry = self.images.entry(image.to_string()).or_insert(Image {
            gb,
            used: now,
            cached: false,
        });
        entry.used = now;
        entry.cached |= cached;
        while self.images.len() > MOST_IMAGES
            || (self.images.values().map(|i| i.gb).sum::<f64>() > cache_gb && self.images.len() > 1)
        {
            let oldest = self
                .images
                .iter()
                .min_by_key(|(_, i)| i.used)
                .map(|(n, _)| n.clone());
            if let Some(oldest) = oldest {
                self.images.remove(&oldest);
            }
        }
    }
}

/// What a heartbeat is answered with.
#[derive(Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// 200 with these orders.
    Orders(Vec<Order>),
    /// A late or repeated report: it renews nothing.
    Stale,
    /// The worker has seen a higher token than ours.
    Deposed,
}

impl Cluster {
    /// Takes in a report and answers with what the machine is to do.
    pub fn heartbeat(&mut self, report: &Report, now: Moment) -> Heartbeat {
        if report.token > self.term {
            return Heartbeat::Deposed;
        }
        if self.fleet.is_gone(&report.machine) {
            return Heartbeat::Stale;
        }
        if !self.machines.contains_key(&report.machine) {
            if self.machines.len() >= self.config.most_machines {
                return Heartbeat::Stale;
            }
            let total = self.fleet.room_of(&report.type_name);
            let mut machine = Machine::new(
                &report.machine,
                &report.type_name,
                &report.zone,
                report.spot,
                total,
                now,
            );
            machine.lease_from = self.started;
            // A report may be late, and its machine gone: only a list or a rental proves more.
            machine.exists_since = self.old_records.get(&report.machine).copied();
            self.machines.insert(report.machine.clone(), machine);
        }
        let recorded = self.enroll(&report.machine, now);
        if let Some(machine) = self.machines.get_mut(&report.machine) {
            machine.recorded = recorded;
        }
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return Heartbeat::Stale;
        };
        if report.session < machine.session || (machine.lost && report.session <= machine.session) {
            // After an expired lease the session is over, whatever a late report says.
            return Heartbeat::Stale;
        }
        let seen = (report.session, report.tick);
        if seen <= machine.checked {
            // A copy: it renews nothing, and doesn't prove that its sender is alive.
            return Heartbeat::Stale;
        }
        // It may take work again from here on.
        self.dirty |= !machine.is_alive(self.config.report, now);
        machine.checked = seen;
        machine.last_heartbeat = Some(now);
        machine.lease_from = now;
        if (report.session, report.tick) > (machine.session, machine.tick) {
            self.take_in(report, true, now);
        }
        // Else the answer of a direct call overtook this report, whose task list is older than
        // what is known; the answer to it is as good as any.
        self.review_doubt(&report.machine, now);
        self.release_seen(now);
        self.place_soon(now);
        Heartbeat::Orders(self.orders(&report.machine, now))
    }

    /// A machine in doubt is asked directly; one whose session lasts is heard and hears.
    fn review_doubt(&mut self, name: &str, now: Moment) {
        let span = self.lease_span();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(doubt) = machine.doubt else { return };
        if now - doubt.sign > span {
            // Without answers its lease would have run out by now.
            machine.doubt = None;
            self.dirty = true;
        } else if doubt.probe_at <= now {
            self.poked.insert(name.to_string());
        }
    }

    /// Takes in a report that is newer than what is known. `checked_in`: it came as a heartbeat,
    /// not as the answer of a direct call.
    fn take_in(&mut self, report: &Report, by_heartbeat: bool, now: Moment) {
        let Some(machine) = self.machines.get(&report.machine) else {
            return;
        };
        let new_session = report.session > machine.session && machine.session > 0;
        if new_session {
            self.end_session(&report.machine);
        }
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        if new_session {
            // It may have been away. It may also hear nothing of what is answered.
            machine.note_loss(now);
        }
        machine.session = report.session;
        machine.tick = report.tick;
        machine.lost = false;
        if machine.last_report.is_none() {
            machine.known_since = now;
        }
        machine.last_report = Some(now);
        machine.addr.clone_from(&report.addr);
        machine.type_name.clone_from(&report.type_name);
        machine.zone.clone_from(&report.zone);
        machine.spot = report.spot;
        machine.total = self.fleet.room_of(&report.type_name);
        machine.recalled = report.recall.is_some();
        machine.recall_at = report.recall.map(|s| now + Micros::from_secs_f64(s.0));
        if !machine.counted_in && report.token == self.term {
            machine.counted_in = true;
            log::debug!("machine {} counted in", machine.name);
            self.dirty = true;
        }
        self.apply_tasks(report, by_heartbeat, now);
        self.drain_recalled(&report.machine, now);
    }

    /// Stops what can't finish before the cloud takes the machine: elsewhere it can start at
    /// once, instead of when the loss of the machine is certain.
    fn drain_recalled(&mut self, name: &str, now: Moment) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let Some(recall_at) = machine.recall_at else {
            return;
        };
        let doomed: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(_, a)| a.holds() && a.wanted == Wanted::Run)
            .filter(|(k, a)| {
                let run = self
                    .jobs
                    .table
                    .get(&k.0)
                    .map_or(Micros::ZERO, |j| self.expected_run(j));
                a.running_since.unwrap_or(now) + run > recall_at
            })
            .map(|(k, _)| *k)
            .collect();
        for key in doomed {
            self.stop_attempt(name, key);
        }
    }

    fn apply_tasks(&mut self, report: &Report, by_heartbeat: bool, now: Moment) {
        let name = &report.machine;
        let cache_gb = self.fleet.cache_of(&report.type_name);
        let mut shown = BTreeSet::new();
        let mut ghosts = Vec::new();
        let mut finished = Vec::new();
        for task in &report.tasks {
            let job_id = task
                .parts()
                .and_then(|(id, n)| Some((self.jobs.find(id)?, n)));
            let Some((job_id, number)) = job_id else {
                ghosts.push(Ghost {
                    piece: task.piece.clone(),
                    attempt: task.attempt,
                    exited: task.status == TaskStatus::Exited,
                });
                continue;
            };
            let (Some(job), Some(machine)) = (
                self.jobs.table.get_mut(&job_id),
                self.machines.get_mut(name),
            ) else {
                continue;
            };
            let key = (job_id, number, task.attempt);
            shown.insert(key);
            let attempt = machine.attempts.entry(key).or_insert_with(|| {
                // An earlier leader's attempt, or one of an order thought lost.
                let bound = task.status != TaskStatus::Exited;
                if bound {
                    job.bind(number);
                }
                Attempt::new(bound, now)
            });
            let was = attempt.status;
            attempt.status = Some(task.status);
            if task.status == TaskStatus::Running && attempt.running_since.is_none() {
                attempt.running_since = Some(now);
            }
            if let Some(since) = attempt.running_since
                && !job.begun
                && now - since > COUNTS_AFTER
            {
                job.begun = true;
                let waited = since - job.accepted_at;
                log::debug!("{} began after {} s", job.spec.id, waited.as_secs_f64());
            }
            let unfinished = task.status != TaskStatus::Exited;
            if unfinished
                && (job.is_called_off() || job.done.contains(number))
                && attempt.wanted == Wanted::Run
            {
                attempt.wanted = Wanted::Stop {
                    leeway: Micros::ZERO,
                };
            }
            if !unfinished && was != Some(TaskStatus::Exited) {
                self.dirty = true;
                let cause = task.cause.unwrap_or(wire::Cause::Other);
                attempt.done = cause == wire::Cause::Done && !job.spec.standing;
                let lasted = attempt
                    .running_since
                    .is_some_and(|t| now - t > COUNTS_AFTER);
                match cause {
                    // A replica's end is no outcome: it runs again elsewhere. One that ends soon after
                    // its start, on one machine after the other, waits longer and longer.
                    wire::Cause::Done if job.spec.standing && lasted => job.failed_on.clear(),
                    wire::Cause::Done if job.spec.standing => job.note_failure(name, now),
                    wire::Cause::Done => {
                        // The first settle wins; a later attempt's outcome changes nothing.
                        if job.settle(number) && job.complete() {
                            self.urgent_rounds = true;
                        }
                        job.failed_on.clear();
                        if let Some(since) = attempt.running_since {
                            finished.push((job_id, now - since));
                        }
                        machine.error_streak.clear();
                    }
                    wire::Cause::Error if job.spec.standing && lasted => job.failed_on.clear(),
                    wire::Cause::Error => {
                        job.note_failure(name, now);
                        machine.error_streak.insert(job_id);
                        let suspicious = job.failed_on.len() < 3;
                        if machine.error_streak.len() >= 2 && suspicious {
                            machine.faulty = true;
                        }
                    }
                    _ => {}
                }
                if std::mem::take(&mut attempt.bound) {
                    job.unbind(number);
                }
            }
            let (image, gb) = (job.spec.image.clone(), job.spec.image_gb);
            let cached = task.status == TaskStatus::Running || attempt.done;
            machine.note_image(&image, gb, cached, cache_gb, now);
        }
        for (id, ran) in finished {
            self.note_run(id, ran);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.ghosts = ghosts;
        let absent: Vec<AttemptKey> = machine
            .attempts
            .keys()
            .filter(|k| !shown.contains(*k))
            .copied()
            .collect();
        for key in absent {
            let Some(attempt) = machine.attempts.get(&key) else {
                continue;
            };
            // A direct start without an answer, long after the machine answered a later call: what
            // the network held back came when the way was free again, so this one never will.
            // Without an end, a cancelled job would keep its place here.
            let span = at_most(self.config.lease) + LEASE_MARGIN;
            if let Direct::Uncertain { since } = attempt.direct
                && attempt.wanted != Wanted::Run
                && machine
                    .answered_from
                    .is_some_and(|t| t > since && now - t > span)
                && let Some(attempt) = machine.attempts.get_mut(&key)
            {
                attempt.direct = Direct::Settled;
            }
            let Some(attempt) = machine.attempts.get(&key) else {
                continue;
            };
            // A worker has one heartbeat in flight: once it sends a newer one that doesn't show
            // the start, the answer that held the start was dropped. The answer of a direct call
            // proves nothing: it may have been made while the heartbeat's answer was on its way.
            let never = match (attempt.status, attempt.sent) {
                (Some(_), _) => true,
                _ if attempt.direct != Direct::Settled || attempt.wanted == Wanted::Run => false,
                (None, Some(sent)) => by_heartbeat && sent < (report.session, report.tick),
                (None, None) => true,
            };
            // The same proof, for a start that is still wanted: the answer was lost.
            let lost = by_heartbeat
                && attempt.status.is_none()
                && attempt.wanted == Wanted::Run
                && attempt.direct == Direct::Settled
                && attempt
                    .sent
                    .is_some_and(|sent| sent < (report.session, report.tick));
            if never || lost {
                let holds = attempt.holds();
                if lost {
                    machine.note_loss(now);
                }
                machine.attempts.remove(&key);
                if holds && let Some(job) = self.jobs.table.get_mut(&key.0) {
                    job.unbind(key.1);
                    self.dirty = true;
                }
            }
        }
        machine.rooms.set(None);
        if machine.busy() {
            machine.idle_since = None;
        } else {
            machine.idle_since.get_or_insert(now);
        }
    }

    /// Everything the machine had in its session is gone.
    pub fn end_session(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.rooms.set(None);
        machine.ghosts.clear();
        for (key, attempt) in std::mem::take(&mut machine.attempts) {
            if attempt.holds()
                && let Some(job) = self.jobs.table.get_mut(&key.0)
            {
                job.unbind(key.1);
            }
        }
        self.dirty = true;
    }

    /// Sessions end when nobody can have renewed their lease for its full time.
    pub fn expire_leases(&mut self, now: Moment) {
        let span = self.lease_span();
        let expired: Vec<String> = self
            .machines
            .values()
            .filter(|m| !m.lost && m.last_report.is_some() && now - m.lease_from >= span)
            .map(|m| m.name.clone())
            .collect();
        for name in expired {
            if let Some(machine) = self.machines.get_mut(&name) {
                log::info!("machine {name}: lease over");
                machine.lost = true;
                machine.session_over = true;
                machine.idle_since = None;
            }
            self.end_session(&name);
        }
        self.release_seen(now);
    }

    /// The orders for one machine: the difference between wanted and reported.
    fn orders(&mut self, name: &str, now: Moment) -> Vec<Order> {
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for ghost in &machine.ghosts {
            orders.push(Order {
                verb: if ghost.exited {
                    Verb::Clear
                } else {
                    Verb::Stop
                },
                piece: ghost.piece.clone(),
                attempt: ghost.attempt,
                leeway_s: (!ghost.exited).then_some(0.0),
            });
        }
        machine.rooms.set(None);
        // Answers that may not arrive carry no starts.
        let in_doubt = machine.doubt.is_some();
        let here = (machine.session, machine.tick);
        let mut starts = Vec::new();
        let mut dropped = Vec::new();
        for (key, attempt) in &mut machine.attempts {
            let Some(job) = self.jobs.table.get(&key.0) else {
                continue;
            };
            let order = |verb, leeway_s| Order {
                verb,
                piece: format!("{}/{}", job.spec.id, key.1),
                attempt: key.2,
                leeway_s,
            };
            match (attempt.status, attempt.wanted) {
                // The worker's memory is the second copy of an outcome until it is recorded.
                (Some(TaskStatus::Exited), _) if attempt.direct != Direct::Settled => {}
                (Some(TaskStatus::Exited), _)
                    if !attempt.done || job.recorded.contains(key.1) || job.outcome.is_some() =>
                {
                    orders.push(order(Verb::Clear, None));
                }
                (Some(TaskStatus::Exited), _) => {}
                (Some(TaskStatus::Flushing), Wanted::Stop { leeway }) => {
                    let overdue = attempt
                        .stop_sent
                        .is_some_and(|t| now - t > leeway + Micros::from_secs(5));
                    if leeway == Micros::ZERO || overdue {
                        orders.push(order(Verb::Stop, Some(0.0)));
                    }
                }
                (Some(_), Wanted::Stop { leeway }) => {
                    attempt.stop_sent.get_or_insert(now);
                    orders.push(order(Verb::Stop, Some(leeway.as_secs_f64())));
                }
                (None, Wanted::Run) => {
                    if job.is_called_off() {
                        if attempt.sent.is_none() && attempt.direct == Direct::Settled {
                            dropped.push(*key);
                        } else {
                            attempt.wanted = Wanted::Stop {
                                leeway: Micros::ZERO,
                            };
                        }
                        continue;
                    }
                    if in_doubt && attempt.sent.is_none() && attempt.direct == Direct::Settled {
                        // It was never sent: it can start elsewhere.
                        dropped.push(*key);
                        continue;
                    }
                    if key.1 >= job.claimed || !machine.recorded {
                        continue;
                    }
                    attempt.sent = Some(here);
                    starts.push(order(Verb::Run, None));
                }
                (None, Wanted::Stop { .. })
                    if attempt.sent.is_none() && attempt.direct == Direct::Settled =>
                {
                    dropped.push(*key);
                }
                _ => {}
            }
        }
        for key in dropped {
            machine.attempts.remove(&key);
            if let Some(job) = self.jobs.table.get_mut(&key.0) {
                job.unbind(key.1);
                self.dirty = true;
            }
        }
        orders.extend(starts);
        orders.truncate(MAX_ORDERS);
        orders
    }
}
