//! The cloud's machine list: what it proves of machines, and answers to rental requests.

use super::wire::ListedMachine;
use super::{ListStatus, NO_ROOM_PAUSE, RentalResult};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use std::collections::BTreeSet;

impl SchedulerState {
    /// Settles a rental's answer.
    pub fn rental_answered(&mut self, name: &str, result: RentalResult, now: Moment) {
        let Some(at) = self
            .provisioning
            .rental_requests
            .iter()
            .position(|h| h.name == name)
        else {
            return;
        };
        match result {
            RentalResult::Unknown => {}
            RentalResult::NoCapacity => {
                let request = self.provisioning.rental_requests.remove(at);
                self.provisioning
                    .no_room
                    .insert(request.offer, now + NO_ROOM_PAUSE);
            }
            RentalResult::Rented(names) => {
                let request = self.provisioning.rental_requests.remove(at);
                if names.len() < request.count as usize {
                    self.provisioning
                        .no_room
                        .insert(request.offer.clone(), now + NO_ROOM_PAUSE);
                }
                for machine in names {
                    if self.provisioning.is_gone(&machine) || self.machines.contains_key(&machine) {
                        continue;
                    }
                    let mut m = crate::workers::Machine::new(
                        &machine,
                        &request.type_name,
                        &request.offer.zone,
                        request.offer.spot,
                        self.provisioning.room_of(&request.type_name),
                        now,
                    );
                    m.list_status = Some(ListStatus::Starting);
                    m.last_listed = Some(now);
                    m.existed_at = Some(now);
                    self.machines.insert(machine, m);
                }
            }
        }
    }

    /// Takes in a whole machine list that was asked for at `asked`.
    pub fn listed(&mut self, list: &[ListedMachine], asked: Moment, now: Moment) {
        self.provisioning.listed = true;
        self.provisioning.last_list = Some(now);
        for l in list {
            if self.provisioning.is_gone(&l.name) {
                continue;
            }
            let total = self.provisioning.room_of(&l.type_name);
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
            let existed = match self.prior_term.machines.get(&l.name) {
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
                m.lease_renewed_at = started;
                m.known_since = Moment(now.0.saturating_sub(held.0));
                m
            });
            m.existed_at = Some(m.existed_at.map_or(existed, |t| t.min(existed)));
            m.list_status = Some(l.status);
            m.last_listed = Some(now);
            if l.status == ListStatus::Failed && !m.unreachable {
                // It stopped by itself, and everything on it with it.
                log::info!("machine {}: failed", l.name);
                m.unreachable = true;
                m.epoch_ended = true;
                m.draining = true;
                self.end_epoch(&l.name);
            }
        }
        self.note_unlisted(list, asked);
        self.forget_vanished(now);
        self.release_prior_term(now);
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
            .chain(self.prior_term.unreconciled.iter())
            .filter(|n| !named.contains(n.as_str()))
            .collect();
        for name in names {
            let existed = match self.machines.get(name) {
                Some(m) => m.existed_at,
                None => self.prior_term.machines.get(name).copied(),
            };
            if existed.is_some_and(|t| t + oldest < asked) {
                if self.provisioning.unlisted.contains(name) {
                    gone.push(name.clone());
                } else {
                    self.provisioning.unlisted.insert(name.clone());
                }
            }
        }
        self.provisioning
            .unlisted
            .retain(|n| !named.contains(n.as_str()));
        for name in &gone {
            log::info!("machine {name}: gone from the list");
            self.provisioning.unlisted.remove(name);
            self.prior_term.unreconciled.remove(name);
        }
        self.returned(&gone);
    }

    /// Machines whose lease is over and that lists stopped naming long ago are gone.
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

    /// The cloud said that these machines, and everything on them, are gone.
    pub fn returned(&mut self, names: &[String]) {
        for name in names {
            self.drop_machine(name);
            self.provisioning.gone.insert(name.clone());
        }
        // Names come in the order of creation: the first ones are the oldest.
        while self.provisioning.gone.len() > self.config.remembered {
            self.provisioning.gone.pop_first();
        }
    }
}
