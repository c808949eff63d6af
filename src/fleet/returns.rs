//! Which machines go back to the cloud, and when.

use super::{ListStatus, MAX_RETURN};
use crate::cluster::Cluster;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use std::collections::HashMap;

/// A machine is silent after so many times the time between reports.
const SILENT_REPORTS: f64 = 3.0;
/// More than one machine in so many is silent: the fault is rather on this side.
const MOST_SILENT: usize = 3;

impl Cluster {
    /// True for a machine whose reports arrive but which answers don't seem to reach: it takes no
    /// work, so another one is rented in its place. A short suspicion changes nothing.
    pub(super) fn is_unresponsive(&self, m: &Machine, now: Moment) -> bool {
        let lease = self.lease_span();
        let uncounted = m.last_report.is_some()
            && !m.counted_in
            && now - m.known_since.max(self.started) > lease;
        uncounted
            || m.suspicion
                .is_some_and(|s| now - s.since > lease.scaled(0.5))
    }

    /// Chooses machines to return, and names those whose return is due now.
    pub fn plan_returns(&mut self, now: Moment) -> Vec<String> {
        // Ordinary machines cost several times as much, so they go back sooner.
        let (spot_idle, on_demand_idle) = (self.config.idle, self.config.idle.scaled(0.25));
        let idle_time_of = |spot| if spot { spot_idle } else { on_demand_idle };
        let lease = self.lease_span();
        let boots: HashMap<String, Micros> = self
            .fleet
            .catalog
            .iter()
            .map(|t| (t.name.clone(), t.boot))
            .collect();
        let mut spare = self.spare_cpu();
        let mut replica_room = self.replica_room(now).unwrap_or(i64::MAX);
        let started = self.started;
        for m in self.machines.values_mut() {
            if m.returning {
                continue;
            }
            let mut idle =
                m.idle_since.is_some_and(|t| now - t > idle_time_of(m.spot)) && !m.busy();
            if idle && (spare < m.total.cpu || (!m.spot && replica_room < m.total.cpu)) {
                idle = false;
            } else if idle {
                spare -= m.total.cpu;
                if !m.spot {
                    replica_room -= m.total.cpu;
                }
            }
            let boot = boots.get(&m.type_name).copied().unwrap_or(spot_idle);
            // A new leader hears from machines one by one: whoever was not heard from since it
            // took over is not thereby one that never came up.
            let never_up = m.last_report.is_none()
                && m.list_status != Some(ListStatus::Running)
                && now - self.started > lease
                && now - m.known_since > boot.scaled(4.0) + Micros::from_secs(10);
            let mute = m.last_report.is_none()
                && now - self.started.max(m.known_since) > lease.scaled(2.0) + boot.scaled(4.0);
            let silent = m.lost && m.last_report.is_some_and(|t| now - t > lease.scaled(1.5));
            // Its reports arrive, but it hears nothing, and not only for a while.
            let unheard = m
                .suspicion
                .is_some_and(|s| now - s.since > lease.scaled(2.0))
                || (m.last_report.is_some()
                    && !m.counted_in
                    && now - m.known_since.max(started) > lease.scaled(2.0));
            let deaf = unheard && !m.busy();
            // A recalled machine is charged to the end, and only its return proves it empty.
            let faulty = (m.faulty || m.recalled) && !m.busy();
            if (idle && m.counted_in) || never_up || mute || silent || faulty || deaf {
                log::info!(
                    "machine {}: to be returned (idle {idle}, never up {never_up}, silent {silent}, faulty {faulty}, deaf {deaf})",
                    m.name
                );
                m.returning = true;
            }
        }
        let due = self.machines.values();
        let due = due.filter(|m| m.returning && (!m.busy() || m.lost));
        let due = due.map(|m| m.name.clone());
        due.chain(self.silent_with_replicas(now))
            .take(MAX_RETURN)
            .collect()
    }

    /// Machines with replicas that fell silent. One that hangs serves nobody, and its session ends only
    /// with its lease: the answer to its return proves sooner that the replicas are gone, so that they
    /// can start elsewhere. Machines without replicas may yet be back with all that they did.
    ///
    /// Where most machines are silent, or reports wait here unread, it is rather this node that is cut off
    /// or too slow.
    fn silent_with_replicas(&self, now: Moment) -> Vec<String> {
        let patience = self.config.report.scaled(SILENT_REPORTS);
        let falls_behind = self.fell_behind_since(now, patience.scaled(2.0));
        if falls_behind || now - self.started < patience.scaled(2.0) {
            return Vec::new();
        }
        let known: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.counted_in && !m.lost && m.last_heartbeat.is_some())
            .collect();
        let is_silent = |m: &&Machine| m.last_heartbeat.is_some_and(|t| now - t > patience);
        let silent: Vec<&Machine> = known.iter().copied().filter(is_silent).collect();
        if MOST_SILENT * silent.len() > known.len() {
            return Vec::new();
        }
        let has_replicas = |m: &&&Machine| {
            let mut held = m.attempts.iter().filter(|(_, a)| a.holds());
            held.any(|(key, _)| {
                let job = self.jobs.table.get(&key.0);
                job.is_some_and(|j| j.spec.standing && !j.is_closed())
            })
        };
        let names = silent.iter().filter(has_replicas).map(|m| m.name.clone());
        names.collect()
    }
}
