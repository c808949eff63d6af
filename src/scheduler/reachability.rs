//! Which machines' heartbeats reach the leader, and what missing ones tell of its own links.

use super::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use aspenreel_link_health::reachability::Reachability;
use std::collections::BTreeMap;

/// A machine is silent after this many heartbeat intervals without a heartbeat.
const SILENT_AFTER_INTERVALS: f64 = 1.5;
/// Silence is judged only after the leader could have received all heartbeats for this many times as long.
const SETTLED_AFTER_SILENCES: f64 = 2.0;

impl SchedulerState {
    /// True if most machines became silent at once: this controller is cut off rather than they.
    ///
    /// The key-value store may still serve a leader that no worker reaches. It would keep its own lease while
    /// the leases of all machines expire. An overloaded leader isn't cut off: heartbeats wait here, unread.
    /// The next leader would have no more processor time, and all workers would have to change over.
    pub fn is_cut_off_from_workers(&self, acting_since: Moment, now: Moment) -> bool {
        now - acting_since >= self.settling_time()
            && self.reachability_is_settled(now)
            && self.reachability(now).most_are_unreachable()
    }

    /// True if this controller has led, and wasn't overloaded, for long enough to tell which machines are
    /// silent.
    pub fn reachability_is_settled(&self, now: Moment) -> bool {
        let undisturbed_since = self.started.max(self.overload.last_overloaded());
        now - undisturbed_since >= self.settling_time()
    }

    /// After this long without a heartbeat a machine is silent.
    fn silent_after(&self) -> Micros {
        self.config
            .heartbeat_interval
            .scaled(SILENT_AFTER_INTERVALS)
    }

    fn settling_time(&self) -> Micros {
        self.silent_after().scaled(SETTLED_AFTER_SILENCES)
    }

    /// How many of the machines that should send heartbeats do.
    fn reachability(&self, now: Moment) -> Reachability {
        self.reachability_where(now, |_| true)
    }

    /// The same, but counting only machines whose heartbeats come as regularly as those of a worker that is
    /// answered.
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

    /// True unless the machine may be silent for reasons of its own: it is over or about to end, or it never
    /// sent a heartbeat and is new.
    fn should_send_heartbeats(&self, machine: &Machine) -> bool {
        let is_ending = machine.unreachable || machine.draining || machine.has_preemption_notice;
        let is_known =
            || machine.last_seen.is_some() || self.prior_term.unreconciled.contains(&machine.name);
        !is_ending && is_known()
    }

    /// True if the machine sent nothing for long, neither heartbeats nor answers of direct calls.
    fn is_silent(&self, machine: &Machine, now: Moment) -> bool {
        let silent_after = self.silent_after();
        machine
            .last_seen
            .is_none_or(|seen_at| now - seen_at > silent_after)
    }

    /// The zone with the most silent machines; the last by name among equals.
    pub fn silent_zone(&self, now: Moment) -> Option<String> {
        let zones = self.silent_by_zone(now);
        let (zone, _) = zones.into_iter().max_by_key(|(_, count)| *count)?;
        Some(zone.to_string())
    }

    /// How many machines are silent in each zone that has any.
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
