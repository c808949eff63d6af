//! Reconciliation with the cloud's machine list, which shows what machines exist and proves that others are gone.

use super::ListStatus;
use super::wire::ListedMachine;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use std::collections::{BTreeSet, HashSet};

/// Maximum age of a list's contents at the moment of its request, as a multiple of the configured lag.
const MAX_LIST_AGE_IN_LAGS: f64 = 2.0;

/// Margin added to the maximum age of a list before a machine that is missing from it counts as gone.
const UNLISTED_MARGIN: Micros = Micros::from_secs(3);

impl SchedulerState {
    /// Reconciles the machines with a complete machine list that was requested at `requested_at`.
    pub fn reconcile_machine_list(
        &mut self,
        list: &[ListedMachine],
        requested_at: Moment,
        now: Moment,
    ) {
        self.provisioning.has_machine_list = true;
        self.provisioning.last_listed_at = Some(now);
        for listed in list {
            if !self.provisioning.is_gone(&listed.name) {
                self.reconcile_listed_machine(listed, requested_at, now);
            }
        }
        self.note_unlisted(list, requested_at);
        self.drop_long_unlisted(now);
        self.release_prior_term(now);
    }

    fn reconcile_listed_machine(
        &mut self,
        listed: &ListedMachine,
        requested_at: Moment,
        now: Moment,
    ) {
        let held = Micros::from_secs_f64(listed.held_s.0);
        let existed = self.existed_at(listed, held, requested_at, now);
        let total = self.provisioning.capacity_of(&listed.type_name);
        let started = self.started;
        let machine = self.machines.entry(listed.name.clone()).or_insert_with(|| {
            let (type_name, zone) = (&listed.type_name, &listed.zone);
            let mut machine = Machine::new(&listed.name, type_name, zone, listed.spot, total, now);
            machine.lease_renewed_at = started;
            machine.known_since = Moment(now.0.saturating_sub(held.0));
            machine
        });
        machine.existed_at = Some(machine.existed_at.map_or(existed, |t| t.min(existed)));
        machine.list_status = Some(listed.status);
        machine.last_listed = Some(now);
        if listed.status == ListStatus::Failed && !machine.unreachable {
            // The machine stopped by itself, and everything on it stopped with it.
            log::info!(machine = listed.name; "machine failed");
            machine.unreachable = true;
            machine.epoch_ended = true;
            machine.draining = true;
            self.end_epoch(&listed.name);
        }
    }

    /// The earliest moment at which the listed machine is known to have existed.
    ///
    /// The list says for how long the machine had been held. If that reaches back beyond the oldest moment that the
    /// list may describe, the machine existed at that moment; otherwise it is only known to exist now.
    fn existed_at(
        &self,
        listed: &ListedMachine,
        held: Micros,
        requested_at: Moment,
        now: Moment,
    ) -> Moment {
        let max_age = self.config.list_lag.scaled(MAX_LIST_AGE_IN_LAGS);
        let described = Moment(requested_at.0.saturating_sub(max_age.0));
        let existed = match held >= now - described {
            true => described,
            false => now,
        };
        match self.prior_term.machines.get(&listed.name) {
            Some(recorded) => existed.min(*recorded),
            None => existed,
        }
    }

    /// Drops machines that the list should contain and doesn't: they are gone, with everything on them.
    ///
    /// Once listed, a machine stays listed until it is gone, and the contents of a list are never older than twice the
    /// configured lag. So a machine that existed that long (and a margin) before the list was requested, and is not in
    /// it, no longer exists. Two lists in a row must agree.
    fn note_unlisted(&mut self, list: &[ListedMachine], requested_at: Moment) {
        let listed: HashSet<&str> = list.iter().map(|l| l.name.as_str()).collect();
        let mut gone = Vec::new();
        for name in self.missing_from(&listed, requested_at) {
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

    /// Machines that are missing from the list although they existed long enough before it was requested.
    fn missing_from(&self, listed: &HashSet<&str>, requested_at: Moment) -> Vec<String> {
        let max_age = self.config.list_lag.scaled(MAX_LIST_AGE_IN_LAGS) + UNLISTED_MARGIN;
        // A set, since a machine may be both known and unreconciled.
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
            .filter(|name| existed_at(name).is_some_and(|t| t + max_age < requested_at))
            .cloned()
            .collect()
    }

    /// Drops machines that are unreachable, or from which this leader never received a message, if they haven't been in
    /// a list for a long time and their leases have expired: they are gone.
    fn drop_long_unlisted(&mut self, now: Moment) {
        let max_unlisted = self.config.list_lag.scaled(3.0) + Micros::from_secs(10);
        let gone: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.unreachable || m.last_seen.is_none())
            .filter(|m| now - m.last_listed.unwrap_or(m.known_since) > max_unlisted)
            .filter(|m| now - m.lease_renewed_at >= self.max_lease_duration())
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

    /// Drops machines that the cloud reported as gone for good, with everything on them.
    pub fn drop_gone_machines(&mut self, names: &[String]) {
        for name in names {
            self.drop_machine(name);
            self.provisioning.note_gone(name);
        }
        self.provisioning.limit_gone(self.config.max_gone_machines);
    }
}
