//! What the leader knows of one machine.

use super::attempt::{Attempt, AttemptKey, Orphan};
use super::heartbeat_position::HeartbeatPosition;
use super::image_cache::ImageCache;
use super::quarantine::Quarantine;
use super::{AgentEpoch, FencingToken};
use crate::jobs::JobId;
use crate::placement::{FreeCapacity, Resources};
use crate::provisioning::ListStatus;
use crate::time::{Micros, Moment};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// One machine: what its worker and the cloud report of it, its lease, and the attempts on it.
#[derive(Debug)]
pub struct Machine {
    /// Its name, unique for ever.
    pub name: String,
    /// Where its worker takes direct commands; empty until a heartbeat tells it.
    pub addr: String,
    /// The name of its machine type.
    pub type_name: String,
    /// The zone that it is in.
    pub zone: String,
    /// True if it is a spot machine.
    pub spot: bool,
    /// Its capacity.
    pub total: Resources,
    /// The newest heartbeat, or answer of a direct call, that was reconciled. Its agent epoch is the
    /// machine's current one.
    pub(super) reconciled_position: HeartbeatPosition,
    /// The newest heartbeat that was accepted. One that is no newer is a copy.
    pub(super) newest_heartbeat: HeartbeatPosition,
    /// A fencing token above the term that replies and commands to it must carry, or 0.
    pub(super) fencing_token: FencingToken,
    /// The highest fencing token that its worker is known to have seen.
    pub(super) seen_fencing_token: FencingToken,
    /// True once a heartbeat showed this leader's fencing token: no command of an earlier leader can be
    /// executed on it any more.
    pub reconciled: bool,
    /// True if its lease expired, or the cloud lists it as failed, with no heartbeat of a newer agent epoch
    /// since: no attempt runs on it.
    pub unreachable: bool,
    /// True once its lease expired under this term, or the cloud listed it as failed: nothing of an earlier
    /// term can run on it, though it may not be reconciled. A heartbeat of a newer agent epoch isn't proof
    /// enough: the older epoch may be known from a late copy only, and the last leader may have sent
    /// commands for the newer one.
    pub epoch_ended: bool,
    /// True once it is on record in the machine registry: only then may tasks start on it.
    pub registered: bool,
    /// Set while it is quarantined: replies and commands seem not to reach it.
    pub quarantine: Option<Quarantine>,
    /// The last moment at which anyone may have renewed its lease.
    pub lease_renewed_at: Moment,
    /// When its newest heartbeat or answer of a direct call arrived.
    pub last_seen: Option<Moment>,
    /// When its newest heartbeat arrived. Unlike heartbeats, answers of direct calls neither renew the lease
    /// nor prove that it can reach a controller.
    pub last_heartbeat: Option<Moment>,
    /// The time between its last two heartbeats. A worker that gets no reply tries another controller first
    /// and comes back later than it would have.
    pub heartbeat_gap: Micros,
    /// True if its newest heartbeat has a preemption notice.
    pub has_preemption_notice: bool,
    /// When the cloud will take it, as told by the newest preemption notice.
    pub preempted_at: Option<Moment>,
    /// The attempts of its current agent epoch.
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Reported attempts of jobs that have no record any more.
    pub orphans: Vec<Orphan>,
    /// The images that its worker has fetched.
    pub images: ImageCache,
    /// True if it is to be returned to the cloud: nothing starts on it any more.
    pub draining: bool,
    /// True if tasks of several jobs failed on it one after the other.
    pub faulty: bool,
    /// Jobs whose tasks failed on it since one last completed there.
    pub(super) error_streak: BTreeSet<JobId>,
    /// When this leader, or an earlier one, first knew of it.
    pub known_since: Moment,
    /// Since when no attempt uses its resources.
    pub idle_since: Option<Moment>,
    /// Its status in the cloud's newest list.
    pub list_status: Option<ListStatus>,
    /// When the cloud last listed it.
    pub last_listed: Option<Moment>,
    /// A moment at which it is known to have existed; the earliest known one.
    pub existed_at: Option<Moment>,
    /// True while a direct call to it is in flight.
    pub(super) call_in_flight: bool,
    /// Cached free resources: those free now, and those free once the attempts that are being stopped have
    /// ended. A placement pass looks at every machine, of which few changed since the last pass. Whatever
    /// changes the attempts or orphans resets it to `None`.
    pub free_resources: Cell<Option<FreeCapacity>>,
}

impl Machine {
    /// A machine without any heartbeat yet. Its lease counts as renewed `now`.
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
            reconciled_position: HeartbeatPosition::default(),
            newest_heartbeat: HeartbeatPosition::default(),
            fencing_token: FencingToken::NONE,
            seen_fencing_token: FencingToken::NONE,
            reconciled: false,
            unreachable: false,
            epoch_ended: false,
            registered: false,
            quarantine: None,
            lease_renewed_at: now,
            last_seen: None,
            last_heartbeat: None,
            heartbeat_gap: Micros::ZERO,
            has_preemption_notice: false,
            preempted_at: None,
            attempts: BTreeMap::new(),
            orphans: Vec::new(),
            images: ImageCache::default(),
            draining: false,
            faulty: false,
            error_streak: BTreeSet::new(),
            known_since: now,
            idle_since: None,
            list_status: None,
            last_listed: None,
            existed_at: None,
            call_in_flight: false,
            free_resources: Cell::new(None),
        }
    }

    /// Its current agent epoch; 0 before its first heartbeat.
    pub fn agent_epoch(&self) -> AgentEpoch {
        self.reconciled_position.agent_epoch
    }

    /// True if its newest heartbeat arrived within the last two heartbeat intervals, in its current agent
    /// epoch.
    pub fn is_alive(&self, heartbeat_interval: Micros, now: Moment) -> bool {
        let is_recent = |t: Moment| now - t < heartbeat_interval.scaled(2.0);
        self.last_heartbeat.is_some_and(is_recent)
            && self.newest_heartbeat.agent_epoch == self.agent_epoch()
    }

    /// True if attempts use its resources, of known jobs or not.
    pub fn is_busy(&self) -> bool {
        self.attempts.values().any(Attempt::holds_resources)
            || self.orphans.iter().any(|orphan| !orphan.exited)
    }

    /// Takes in an accepted heartbeat's position and the time of its arrival.
    pub(super) fn note_heartbeat(&mut self, position: HeartbeatPosition, now: Moment) {
        self.newest_heartbeat = position;
        self.heartbeat_gap = self.last_heartbeat.map_or(Micros::ZERO, |t| now - t);
        self.last_heartbeat = Some(now);
    }

    /// Something that was sent to it was surely lost: it is quarantined.
    pub(super) fn note_undelivered(&mut self, now: Moment) {
        self.quarantine
            .get_or_insert(Quarantine::new(now))
            .note_undelivered(now);
    }
}
