//! Which machines the leader hears, and what their silence says of its own links.

use super::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use aspenreel_link_health::reachability::Reachability;
use std::collections::BTreeMap;

impl SchedulerState {
    /// True when most machines fell silent together: rather this node is cut off than they are.
    ///
    /// The state service may still serve a leader that no worker reaches; it would keep its lease
    /// while every lease runs out. A leader that falls behind is not cut off: reports wait here,
    /// unread, and the next leader would have no more processor, and hundreds of workers coming
    /// over besides.
    pub fn unheard(&self, acting_since: Moment, now: Moment) -> bool {
        now - acting_since >= self.silence().scaled(2.0)
            && self.reachability_is_settled(now)
            && self.reachability(now).most_are_unreachable()
    }

    /// After this long without a report a machine is silent.
    fn silence(&self) -> Micros {
        self.config.heartbeat_interval.scaled(1.5)
    }

    /// This controller has led, and hasn't fallen behind, for long enough to tell who is silent.
    pub fn reachability_is_settled(&self, now: Moment) -> bool {
        now - self.started.max(self.overload.last_overloaded()) >= self.silence().scaled(2.0)
    }

    /// How many of the machines that should report do.
    fn reachability(&self, now: Moment) -> Reachability {
        self.reachability_where(now, |_| true)
    }

    /// The same, but only of those whose heartbeats come as regularly as from a worker that is answered.
    pub fn reachability_both_ways(&self, now: Moment) -> Reachability {
        let patience = self.silence();
        self.reachability_where(now, |m| m.heartbeat_gap <= patience)
    }

    fn reachability_where(&self, now: Moment, counts: impl Fn(&Machine) -> bool) -> Reachability {
        let patience = self.silence();
        let silent_at = |m: &&Machine| m.last_report.is_none_or(|t| now - t > patience);
        let known: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| !m.lost && !m.returning && !m.has_preemption_notice)
            .filter(|m| m.last_report.is_some() || self.prior_term.unreconciled.contains(&m.name))
            .collect();
        let silent = known.iter().filter(|m| silent_at(m) || !counts(m));
        let silent = silent.count();
        Reachability {
            reachable: (known.len() - silent) as u32,
            expected: known.len() as u32,
        }
    }

    /// The zone of most machines that are silent.
    pub fn silent_zone(&self, now: Moment) -> Option<String> {
        let zones = self.silent_by_zone(now);
        let most = zones.into_iter().max_by_key(|(_, n)| *n)?;
        Some(most.0.to_string())
    }

    /// How many machines are silent in each zone.
    pub fn silent_by_zone(&self, now: Moment) -> BTreeMap<&str, u32> {
        let patience = self.silence();
        let mut zones = BTreeMap::new();
        for m in self.machines.values() {
            if m.last_report.is_none_or(|t| now - t > patience) {
                *zones.entry(m.zone.as_str()).or_insert(0) += 1;
            }
        }
        zones
    }
}
