//! Which machines go back to the cloud, and when.

use super::{ListStatus, MAX_RETURN};
use crate::cluster::Cluster;
use crate::time::{Micros, Moment};
use std::collections::HashMap;

impl Cluster {
    /// True for a machine whose reports arrive but which answers don't seem to reach: it takes no
    /// work, so another one is rented in its place. A short doubt changes nothing.
    pub(super) fn is_unresponsive(&self, m: &crate::workers::Machine, now: Moment) -> bool {
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
        let (spot_idle, dear_idle) = (self.config.idle, self.config.idle.scaled(0.25));
        let idle_time_of = |spot| if spot { spot_idle } else { dear_idle };
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
        self.machines
            .values()
            .filter(|m| m.returning && (!m.busy() || m.lost))
            .map(|m| m.name.clone())
            .take(MAX_RETURN)
            .collect()
    }
}
