//! What is known of one machine and of the attempts on it.

use super::delivery::DeliveryStatus;
use super::wire::{CommandKind, TaskStatus, WorkerCommand};
use crate::jobs::{Job, JobId};
use crate::placement::{FreeCapacity, Resources};
use crate::time::{Micros, Moment};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredState {
    Run,
    Stop { grace_period: Micros },
}

/// One attempt of a task on one machine, in one session.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub desired: DesiredState,
    /// The last report's status; None until a report shows the attempt.
    pub status: Option<TaskStatus>,
    /// The (session, tick) of the report in whose answer the start went out last.
    pub sent: Option<(u64, u64)>,
    pub delivery: DeliveryStatus,
    pub stop_sent: Option<Moment>,
    pub placed_at: Moment,
    pub running_since: Option<Moment>,
    /// It may hold its place on the machine, and is counted at its job.
    pub bound: bool,
    /// The first start of a job that waited too long: it isn't stopped for others.
    pub protected: bool,
    pub done: bool,
}

impl Attempt {
    pub(super) fn new(bound: bool, now: Moment) -> Attempt {
        Attempt {
            desired: DesiredState::Run,
            status: None,
            sent: None,
            delivery: DeliveryStatus::Settled,
            stop_sent: None,
            placed_at: now,
            running_since: None,
            bound,
            protected: false,
            done: false,
        }
    }

    /// An attempt that was just decided.
    pub fn placed(now: Moment) -> Attempt {
        Attempt::new(true, now)
    }

    /// The order with this verb for it.
    pub(super) fn command(&self, job: &Job, key: AttemptKey, kind: CommandKind) -> WorkerCommand {
        let grace_period = match self.desired {
            DesiredState::Stop { grace_period } if kind == CommandKind::Stop => Some(grace_period),
            _ => None,
        };
        WorkerCommand {
            kind,
            task_id: format!("{}/{}", job.spec.id, key.1),
            attempt: key.2,
            grace_period_s: grace_period.map(Micros::as_secs_f64),
        }
    }

    /// False once it surely no longer holds anything on the machine.
    pub fn holds(&self) -> bool {
        self.bound
    }
}

pub type AttemptKey = (JobId, u32, u64);

/// An attempt of a job that has no record any more: its job is over.
#[derive(Clone, Debug)]
pub struct Orphan {
    pub task_id: String,
    pub attempt: u64,
    pub exited: bool,
}

#[derive(Clone, Debug)]
pub struct Image {
    pub gb: f64,
    pub used: Moment,
    pub cached: bool,
}

/// Reports of a machine may arrive although answers and orders don't reach it. Each report then looks
/// healthy, but its session ends again and again. Such a machine is suspected until it is proven to hear.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    pub since: Moment,
    /// When the session began, or the last sign that something was lost.
    last_sign: Moment,
    /// When it may be asked again whether orders reach it.
    probe_at: Moment,
    probe_wait: Micros,
}

impl Suspicion {
    fn new(now: Moment) -> Suspicion {
        Suspicion {
            since: now,
            last_sign: now,
            probe_at: now,
            probe_wait: FIRST_PROBE_WAIT,
        }
    }

    /// A session that has lasted for so long was renewed by answers: the machine hears.
    pub(super) fn is_refuted(&self, lease: Micros, now: Moment) -> bool {
        now - self.last_sign > lease
    }

    pub(super) fn may_probe(&self, now: Moment) -> bool {
        self.probe_at <= now
    }

    /// It is being asked: the next time is later and later.
    pub(super) fn note_probe(&mut self, now: Moment) {
        self.probe_at = now + self.probe_wait;
        let longest = FIRST_PROBE_WAIT.0 * LONGEST_PROBE_WAIT;
        self.probe_wait = Micros((self.probe_wait.0 * 2).min(longest));
    }
}

/// Images remembered of a machine: what has no size would never leave a cache.
const MOST_IMAGES: usize = 64;

/// The first time between two probes of a suspected machine.
const FIRST_PROBE_WAIT: Micros = Micros::from_secs(2);
/// The longest, as a multiple of it.
const LONGEST_PROBE_WAIT: u64 = 8;

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub total: Resources,
    pub agent_epoch: u64,
    pub sequence: u64,
    /// The token that it is answered with, if it is above the term.
    pub fencing_token: u64,
    /// The highest token that a report of it told.
    pub seen_fencing_token: u64,
    /// A report carried the current token: no older leader's order can land here any more.
    pub reconciled: bool,
    /// Its lease ran out without a report: nothing is on it.
    pub lost: bool,
    /// Its lease ran out under this term, or it stopped for good: nothing of an earlier term can be
    /// on it, though it may not be counted in. A larger session in a report doesn't prove that: the
    /// smaller one may be known from a late copy only, and orders of the last leader for the larger
    /// one may be on their way.
    pub epoch_over: bool,
    /// It is on the roster in the state service: tasks may start here.
    pub recorded: bool,
    /// The newest heartbeat taken: whatever is no newer is a copy.
    pub newest_heartbeat: (u64, u64),
    /// Set while it is suspected not to hear answers and orders.
    pub suspicion: Option<Suspicion>,
    /// The lease can't have been renewed by anyone after this.
    pub lease_from: Moment,
    pub last_report: Option<Moment>,
    /// When it last checked in. Direct answers prove neither that its lease is renewed nor that it
    /// reaches anybody: a machine that only answers loses one session after the other.
    pub last_heartbeat: Option<Moment>,
    /// Time between its last two heartbeats. A worker that gets no answer tries another controller
    /// first, and comes back later than it would have.
    pub heartbeat_gap: Micros,
    pub has_preemption_notice: bool,
    /// When the cloud takes it away, as last told.
    pub preempted_at: Option<Moment>,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    pub orphans: Vec<Orphan>,
    pub images: BTreeMap<String, Image>,
    /// Being returned: nothing starts here any more.
    pub returning: bool,
    pub faulty: bool,
    pub error_streak: BTreeSet<JobId>,
    pub known_since: Moment,
    pub idle_since: Option<Moment>,
    pub list_status: Option<crate::provisioning::ListStatus>,
    pub last_listed: Option<Moment>,
    /// It existed at this moment, at the latest.
    pub exists_since: Option<Moment>,
    /// A direct call to it is under way.
    pub calling: bool,
    /// What is free, and what will be, as last worked out: a pass looks at every machine, and few
    /// changed since the one before. Whatever changes its attempts forgets it.
    pub rooms: Cell<Option<FreeCapacity>>,
}

impl Machine {
    pub fn new(
        name: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        total: Resources,
        now: Moment,
    ) -> Machine {
        Machine {
            name: name.to_string(),
            addr: String::new(),
            type_name: type_name.to_string(),
            zone: zone.to_string(),
            spot,
            total,
            agent_epoch: 0,
            sequence: 0,
            fencing_token: 0,
            seen_fencing_token: 0,
            reconciled: false,
            lost: false,
            epoch_over: false,
            recorded: false,
            newest_heartbeat: (0, 0),
            suspicion: None,
            lease_from: now,
            last_report: None,
            last_heartbeat: None,
            heartbeat_gap: Micros::ZERO,
            has_preemption_notice: false,
            preempted_at: None,
            attempts: BTreeMap::new(),
            orphans: Vec::new(),
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
        self.last_heartbeat.is_some_and(fresh) && self.newest_heartbeat.0 == self.agent_epoch
    }

    pub fn busy(&self) -> bool {
        self.attempts.values().any(|a| a.holds()) || self.orphans.iter().any(|g| !g.exited)
    }

    /// Something that was sent to it was surely lost.
    pub(super) fn note_loss(&mut self, now: Moment) {
        let suspicion = self.suspicion.get_or_insert(Suspicion::new(now));
        suspicion.last_sign = now;
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
