//! Reconciliation with the cloud's machine list: which machines there are, and which it proves to be gone.

use super::ListStatus;
use super::wire::ListedMachine;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use std::collections::{BTreeSet, HashSet};

/// A list describes a moment at most this many times its lag before it was asked for.
const MAX_LAGS: f64 = 2.0;

/// Added to it before a machine that is missing counts as gone.
const UNLISTED_MARGIN: Micros = Micros::from_secs(3);

impl SchedulerState {
    /// Takes in a whole machine list that was asked for at `asked`.
    pub fn reconcile_machine_list(&mut self, list: &[ListedMachine], asked: Moment, now: Moment) {
        self.provisioning.has_machine_list = true;
        self.provisioning.last_listed_at = Some(now);
        for listed in list {
            if !self.provisioning.is_gone(&listed.name) {
                self.reconcile_listed_machine(listed, asked, now);
            }
        }
        self.note_unlisted(list, asked);
        self.forget_vanished(now);
        self.release_prior_term(now);
    }

    fn reconcile_listed_machine(&mut self, listed: &ListedMachine, asked: Moment, now: Moment) {
        let held = Micros::from_secs_f64(listed.held_s.0);
        let existed = self.existed_at(listed, held, asked, now);
        let total = self.provisioning.capacity_of(&listed.type_name);
        let started = self.started;
        let m = self.machines.entry(listed.name.clone()).or_insert_with(|| {
            let (type_name, zone) = (&listed.type_name, &listed.zone);
            let mut m = Machine::new(&listed.name, type_name, zone, listed.spot, total, now);
            m.lease_renewed_at = started;
            m.known_since = Moment(now.0.saturating_sub(held.0));
            m
        });
        m.existed_at = Some(m.existed_at.map_or(existed, |t| t.min(existed)));
        m.list_status = Some(listed.status);
        m.last_listed = Some(now);
        if listed.status == ListStatus::Failed && !m.unreachable {
            // It stopped by itself, and everything on it with it.
            log::info!(machine = listed.name; "machine failed");
            m.unreachable = true;
            m.epoch_ended = true;
            m.draining = true;
            self.end_epoch(&listed.name);
        }
    }

    /// A moment at which the listed machine surely existed.
    ///
    /// As of the list it was held for some time. If that reaches back beyond the oldest moment that the list
    /// may describe, it existed then; else it exists now, as far as is known.
    fn existed_at(
        &self,
        listed: &ListedMachine,
        held: Micros,
        asked: Moment,
        now: Moment,
    ) -> Moment {
        let max_age = self.config.list_lag.scaled(MAX_LAGS);
        let described = Moment(asked.0.saturating_sub(max_age.0));
        let existed = match held >= now - described {
            true => described,
            false => now,
        };
        match self.prior_term.machines.get(&listed.name) {
            Some(recorded) => existed.min(*recorded),
            None => existed,
        }
    }

    /// Machines that a list should name and doesn't are gone, and what was on them too.
    ///
    /// Once listed, a machine stays listed until it is gone, and a list is never older than twice
    /// its lag. So a machine that existed that long (and a margin) before the list was asked for,
    /// and is not in it, no longer exists. Two lists in a row must agree.
    fn note_unlisted(&mut self, list: &[ListedMachine], asked: Moment) {
        let listed: HashSet<&str> = list.iter().map(|l| l.name.as_str()).collect();
        let mut gone = Vec::new();
        for name in self.missing_from(&listed, asked) {
            if self.provisioning.unlisted.contains(&name) {
                gone.push(name);
            } else {
                self.provisioning.unlisted.insert(name);
            }
        }
        self.provisioning
            .unlisted
            .retain(|name| !listed.contains(name.as_str()));
        for name in &gone {
            log::info!(machine = name, reason = "unlisted"; "machine gone");
            self.provisioning.unlisted.remove(name);
            self.prior_term.unreconciled.remove(name);
        }
        self.drop_gone_machines(&gone);
    }

    /// Machines that are not in the list, though they existed long enough before it was asked for.
    fn missing_from(&self, listed: &HashSet<&str>, asked: Moment) -> Vec<String> {
        let max_age = self.config.list_lag.scaled(MAX_LAGS) + UNLISTED_MARGIN;
        // Each once: a machine may be known and unreconciled.
        let names: BTreeSet<&String> = self
            .machines
            .keys()
            .chain(self.prior_term.unreconciled.iter())
            .filter(|name| !listed.contains(name.as_str()))
            .collect();
        let existed_at = |name: &String| match self.machines.get(name) {
            Some(m) => m.existed_at,
            None => self.prior_term.machines.get(name).copied(),
        };
        names
            .into_iter()
            .filter(|name| existed_at(name).is_some_and(|t| t + max_age < asked))
            .cloned()
            .collect()
    }

    /// Machines whose lease expired and that lists stopped naming long ago are gone.
    fn forget_vanished(&mut self, now: Moment) {
        let lag = self.config.list_lag.scaled(3.0) + Micros::from_secs(10);
        let gone: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.unreachable || m.last_seen.is_none())
            .filter(|m| now - m.last_listed.unwrap_or(m.known_since) > lag)
            .filter(|m| now - m.lease_renewed_at >= self.lease_span())
            .map(|m| m.name.clone())
            .collect();
        for name in gone {
            self.drop_machine(&name);
        }
    }

    fn drop_machine(&mut self, name: &str) {
        self.end_epoch(name);
        self.machines.remove(name);
        self.provisioning.registry.remove(name);
        self.prior_term.machines.remove(name);
    }

    /// Drops machines of which the cloud said that they, and everything on them, are gone for good.
    pub fn drop_gone_machines(&mut self, names: &[String]) {
        for name in names {
            self.drop_machine(name);
            self.provisioning.note_gone(name);
        }
        self.provisioning.limit_gone(self.config.max_gone_machines);
    }
}
