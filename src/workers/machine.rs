//! The leader's state of one machine.

use super::attempt::{Attempt, AttemptKey, Orphan};
use super::early_replies::EarlyReplies;
use super::heartbeat_position::HeartbeatPosition;
use super::image_cache::ImageCache;
use super::quarantine::Quarantine;
use super::task_failures::TaskFailures;
use super::{AgentEpoch, FencingToken};
use crate::placement::{FreeCapacity, Resources};
use crate::provisioning::ListStatus;
use crate::time::{Micros, Moment};
use std::cell::Cell;
use std::collections::BTreeMap;

/// State of one machine: the reports of its worker and of the cloud, its lease, and the attempts on it.
#[derive(Debug)]
pub struct Machine {
    /// Name of the machine; it is never reused for another machine.
    pub name: String,
    /// Address at which the worker accepts direct calls; empty until a heartbeat reports it.
    pub addr: String,
    /// Name of the machine type.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot machine.
    pub spot: bool,
    /// Total capacity of the machine.
    pub total: Resources,
    /// Position of the newest heartbeat, or answer to a direct call, that was reconciled. Its agent epoch is
    /// the machine's current one.
    pub(super) reconciled_position: HeartbeatPosition,
    /// Position of the newest accepted heartbeat. One that isn't newer than this is a duplicate or late.
    pub(super) newest_heartbeat: HeartbeatPosition,
    /// Fencing token above the term that replies and commands to the machine must carry; 0 if none.
    pub(super) fencing_token: FencingToken,
    /// Highest fencing token that the worker is known to have seen.
    pub(super) seen_fencing_token: FencingToken,
    /// True once a report of the worker contained a fencing token of this leader: from then on the worker
    /// executes no command of an earlier leader.
    pub reconciled: bool,
    /// True if the lease expired, or the cloud lists the machine as failed, and no heartbeat of a newer agent
    /// epoch has arrived since: no attempt runs on the machine.
    pub unreachable: bool,
    /// True once the lease expired during this term, or the cloud listed the machine as failed: no attempt of an
    /// earlier term can run on the machine, even if it isn't reconciled. A heartbeat of a newer agent epoch isn't
    /// sufficient proof: the older epoch may be known only from a late duplicate, and the previous leader may
    /// have sent commands for the newer one.
    pub epoch_ended: bool,
    /// True once the machine is stored in the machine registry: only then may tasks start on it.
    pub registered: bool,
    /// Present while the machine is quarantined because replies and commands don't seem to reach it.
    pub quarantine: Option<Quarantine>,
    /// Latest time at which this or an earlier leader may have renewed the lease of the current agent epoch, or at which
    /// the epoch may have begun.
    pub lease_renewed_at: Moment,
    /// Replies of this leader before the machine was reconciled.
    pub(super) early_replies: EarlyReplies,
    /// Arrival time of the newest heartbeat or answer to a direct call.
    pub last_seen: Option<Moment>,
    /// Arrival time of the newest heartbeat. Answers to direct calls don't count: unlike heartbeats they neither
    /// renew the lease nor prove that the machine can reach a controller.
    pub last_heartbeat: Option<Moment>,
    /// Time between the last two heartbeats. It exceeds the heartbeat interval if the worker got no reply to the
    /// first of them and tried another controller before it returned to this one.
    pub heartbeat_gap: Micros,
    /// True if the newest report contains a preemption notice.
    pub has_preemption_notice: bool,
    /// Time at which the cloud will preempt the machine, according to the newest preemption notice.
    pub preempted_at: Option<Moment>,
    /// Attempts of the current agent epoch.
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Reported attempts whose jobs no longer have a record.
    pub orphans: Vec<Orphan>,
    /// Images that the worker has fetched or is fetching.
    pub images: ImageCache,
    /// True if the machine will be returned to the cloud: no more tasks start on it.
    pub draining: bool,
    /// Failures of tasks on the machine.
    pub failures: TaskFailures,
    /// Time at which this leader, or an earlier one, first learned of the machine.
    pub known_since: Moment,
    /// Start of the current period without any attempt that uses resources; `None` while the machine is busy.
    pub idle_since: Option<Moment>,
    /// Status of the machine in the cloud's newest list.
    pub list_status: Option<ListStatus>,
    /// Time at which the cloud last listed the machine.
    pub last_listed: Option<Moment>,
    /// Earliest time at which the machine is known to have existed.
    pub existed_at: Option<Moment>,
    /// True while a direct call to the machine is in flight.
    pub(super) call_in_flight: bool,
    /// Cached free resources: those free now, and those free once the attempts that are being stopped have
    /// ended. A placement pass examines every machine, and few of them have changed since the previous pass. Any
    /// change to the attempts or orphans must reset the cache to `None`.
    pub free_resources: Cell<Option<FreeCapacity>>,
}

impl Machine {
    /// Creates the state of a machine without any heartbeat. Its lease counts as renewed at `now`.
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
            early_replies: EarlyReplies::default(),
            last_seen: None,
            last_heartbeat: None,
            heartbeat_gap: Micros::ZERO,
            has_preemption_notice: false,
            preempted_at: None,
            attempts: BTreeMap::new(),
            orphans: Vec::new(),
            images: ImageCache::default(),
            draining: false,
            failures: TaskFailures::default(),
            known_since: now,
            idle_since: None,
            list_status: None,
            last_listed: None,
            existed_at: None,
            call_in_flight: false,
            free_resources: Cell::new(None),
        }
    }

    /// Current agent epoch of the machine's worker; 0 before the first heartbeat.
    pub fn agent_epoch(&self) -> AgentEpoch {
        self.reconciled_position.agent_epoch
    }

    /// True if the newest heartbeat arrived within the last two heartbeat intervals and belongs to the current
    /// agent epoch.
    pub fn is_alive(&self, heartbeat_interval: Micros, now: Moment) -> bool {
        let is_recent = |t: Moment| now - t < heartbeat_interval.scaled(2.0);
        self.last_heartbeat.is_some_and(is_recent)
            && self.newest_heartbeat.agent_epoch == self.agent_epoch()
    }

    /// True if any attempt uses resources of the machine, whether its job is known or not.
    pub fn is_busy(&self) -> bool {
        self.attempts.values().any(Attempt::holds_resources)
            || self.orphans.iter().any(|orphan| !orphan.exited)
    }

    /// Stores the position and the arrival time of an accepted heartbeat.
    pub(super) fn note_heartbeat(&mut self, position: HeartbeatPosition, now: Moment) {
        self.newest_heartbeat = position;
        self.heartbeat_gap = self.last_heartbeat.map_or(Micros::ZERO, |t| now - t);
        self.last_heartbeat = Some(now);
    }

    /// Quarantines the machine, or extends its quarantine, because a reply or command didn't reach it.
    pub(super) fn note_undelivered(&mut self, now: Moment) {
        self.quarantine
            .get_or_insert(Quarantine::new(now))
            .note_undelivered(now);
    }
}
