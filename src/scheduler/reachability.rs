//! Reachability of the leader by the machines' heartbeats, and what missing heartbeats imply for its own links.

use super::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use aspenreel_link_health::reachability::Reachability;
use std::collections::BTreeMap;

/// Number of heartbeat intervals without a report after which a machine counts as silent.
const SILENT_AFTER_INTERVALS: f64 = 1.5;
/// Silence is evaluated only after the leader was able to receive heartbeats for this multiple of the time after
/// which a machine counts as silent.
const SETTLING_FACTOR: f64 = 2.0;

impl SchedulerState {
    /// True if most machines are silent at the same time, so that this controller is more likely to be cut off than
    /// the machines.
    ///
    /// The key-value store may still be available to a leader that no worker reaches. Such a leader would keep its
    /// own lease while the leases of all machines expire. An overloaded leader isn't considered cut off: heartbeats
    /// do arrive, but this process hasn't read them yet. The next leader would get no more processor time, and all
    /// workers would have to switch to it.
    pub fn is_cut_off_from_workers(&self, acting_since: Moment, now: Moment) -> bool {
        now - acting_since >= self.settling_time()
            && self.reachability_is_settled(now)
            && self.reachability(now).most_are_unreachable()
    }

    /// True if this controller has been the leader, without overload, for long enough to determine which machines are
    /// silent.
    pub fn reachability_is_settled(&self, now: Moment) -> bool {
        let undisturbed_since = self.started.max(self.overload.last_overloaded());
        now - undisturbed_since >= self.settling_time()
    }

    /// Time without a report after which a machine counts as silent.
    fn silent_after(&self) -> Micros {
        self.config
            .heartbeat_interval
            .scaled(SILENT_AFTER_INTERVALS)
    }

    fn settling_time(&self) -> Micros {
        self.silent_after().scaled(SETTLING_FACTOR)
    }

    /// Number of machines that should send heartbeats, and of those that do.
    fn reachability(&self, now: Moment) -> Reachability {
        self.reachability_where(now, |_| true)
    }

    /// Like `reachability`, but a machine counts as reachable only if its heartbeats are as regular as those of a
    /// worker that receives the replies.
    pub fn bidirectional_reachability(&self, now: Moment) -> Reachability {
        let silent_after = self.silent_after();
        self.reachability_where(now, |machine| machine.heartbeat_gap <= silent_after)
    }

    fn reachability_where(
        &self,
        now: Moment,
        is_regular: impl Fn(&Machine) -> bool,
    ) -> Reachability {
        let mut reachability = Reachability {
            reachable: 0,
            expected: 0,
        };
        for machine in self.machines.values() {
            if self.should_send_heartbeats(machine) {
                reachability.expected += 1;
                let is_reachable = !self.is_silent(machine, now) && is_regular(machine);
                reachability.reachable += u32::from(is_reachable);
            }
        }
        reachability
    }

    /// False if the machine may be silent for a reason other than the network: its lease has expired, the cloud lists
    /// it as failed, it is about to end, or it is new and has never sent a heartbeat.
    fn should_send_heartbeats(&self, machine: &Machine) -> bool {
        let is_ending = machine.unreachable || machine.draining || machine.has_preemption_notice;
        let is_known =
            || machine.last_seen.is_some() || self.prior_term.unreconciled.contains(&machine.name);
        !is_ending && is_known()
    }

    /// True if neither heartbeats nor answers to direct calls have arrived from the machine recently.
    fn is_silent(&self, machine: &Machine, now: Moment) -> bool {
        let silent_after = self.silent_after();
        machine
            .last_seen
            .is_none_or(|seen_at| now - seen_at > silent_after)
    }

    /// Zone with the most silent machines, or the last by name of several; `None` if no machine is silent.
    pub fn silent_zone(&self, now: Moment) -> Option<String> {
        let zones = self.silent_by_zone(now);
        let (zone, _) = zones.into_iter().max_by_key(|(_, count)| *count)?;
        Some(zone.to_string())
    }

    /// Number of silent machines by zone. Zones without silent machines are left out.
    pub fn silent_by_zone(&self, now: Moment) -> BTreeMap<&str, u32> {
        let mut zones = BTreeMap::new();
        for machine in self.machines.values() {
            if self.is_silent(machine, now) {
                *zones.entry(machine.zone.as_str()).or_insert(0) += 1;
            }
        }
        zones
    }
}
