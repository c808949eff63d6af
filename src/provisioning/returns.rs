//! Which machines go back to the cloud, and when.

use super::{ListStatus, MAX_RETURN};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;

/// Why a machine goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReturnReason {
    Idle,
    /// It was rented and never came up.
    NeverUp,
    /// It is listed as running, and never reported.
    NeverReported,
    /// Its lease ran out long ago.
    Silent,
    Faulty,
    Recalled,
    /// Answers and orders don't reach it.
    Unreached,
}

/// An idle ordinary machine goes back after this part of the time that a spot machine has.
const ON_DEMAND_IDLE: f64 = 0.25;
/// A machine is silent after so many times the time between reports.
const SILENT_REPORTS: f64 = 3.0;
/// More than one machine in so many is silent: the fault is rather on this side.
const MOST_SILENT: usize = 3;

impl SchedulerState {
    /// True for a machine whose reports arrive but which answers don't seem to reach: it takes no
    /// work, so another one is rented in its place. A short quarantine changes nothing.
    pub(super) fn is_unresponsive(&self, m: &Machine, now: Moment) -> bool {
        let lease = self.lease_span();
        let uncounted =
            m.last_seen.is_some() && !m.reconciled && now - m.known_since.max(self.started) > lease;
        uncounted
            || m.quarantine
                .is_some_and(|s| now - s.since > lease.scaled(0.5))
    }

    /// Chooses machines to return, and names those whose return is due now.
    pub fn plan_returns(&mut self, now: Moment) -> Vec<String> {
        let mut spare_cpu = self.spare_cpu();
        let mut replica_room = self.replica_room(now).unwrap_or(i64::MAX);
        let mut chosen = Vec::new();
        for m in self.machines.values().filter(|m| !m.draining) {
            let reason = self.defect(m, now).or_else(|| {
                // What is kept ready stays, also while it is idle.
                let kept = spare_cpu < m.total.cpu || (!m.spot && replica_room < m.total.cpu);
                (self.is_idle(m, now) && !kept).then_some(ReturnReason::Idle)
            });
            let Some(reason) = reason else { continue };
            if reason == ReturnReason::Idle {
                spare_cpu -= m.total.cpu;
                if !m.spot {
                    replica_room -= m.total.cpu;
                }
            }
            chosen.push((m.name.clone(), reason));
        }
        for (name, reason) in chosen {
            log::info!("machine {name}: to be returned ({reason:?})");
            if let Some(m) = self.machines.get_mut(&name) {
                m.draining = true;
            }
        }
        let due = self.machines.values();
        let due = due.filter(|m| m.draining && (!m.is_busy() || m.unreachable));
        let due = due.map(|m| m.name.clone());
        due.chain(self.silent_with_replicas(now))
            .take(MAX_RETURN)
            .collect()
    }

    /// It has had nothing to do for long enough. Ordinary machines cost several times as much, so they go
    /// back sooner.
    fn is_idle(&self, m: &Machine, now: Moment) -> bool {
        let time = if m.spot {
            self.config.idle
        } else {
            self.config.idle.scaled(ON_DEMAND_IDLE)
        };
        m.reconciled && !m.is_busy() && m.idle_since.is_some_and(|t| now - t > time)
    }

    /// Why a machine is of no use any more.
    ///
    /// A new leader hears from machines one by one: whoever was not heard from since it took over is not
    /// thereby one that never came up.
    fn defect(&self, m: &Machine, now: Moment) -> Option<ReturnReason> {
        let lease = self.lease_span();
        let boot = self
            .provisioning
            .boot_of(&m.type_name)
            .unwrap_or(self.config.idle);
        let leading_for = now - self.started;
        let known_for = now - m.known_since;
        if m.last_seen.is_none() {
            let long_known = known_for > boot.scaled(4.0) + Micros::from_secs(10);
            if m.list_status != Some(ListStatus::Running) && leading_for > lease && long_known {
                return Some(ReturnReason::NeverUp);
            }
            let both = leading_for.min(known_for);
            return (both > lease.scaled(2.0) + boot.scaled(4.0))
                .then_some(ReturnReason::NeverReported);
        }
        if m.unreachable && m.last_seen.is_some_and(|t| now - t > lease.scaled(1.5)) {
            return Some(ReturnReason::Silent);
        }
        if m.is_busy() {
            return None;
        }
        if m.faulty {
            return Some(ReturnReason::Faulty);
        }
        // It is charged to the end, and only its return proves it empty.
        if m.has_preemption_notice {
            return Some(ReturnReason::Recalled);
        }
        // Its reports arrive, but it hears nothing, and not only for a while.
        let uncounted = !m.reconciled && leading_for.min(known_for) > lease.scaled(2.0);
        let suspected = m
            .quarantine
            .is_some_and(|s| now - s.since > lease.scaled(2.0));
        (uncounted || suspected).then_some(ReturnReason::Unreached)
    }

    /// Machines with replicas that fell silent. One that hangs serves nobody, and its session ends only
    /// with its lease: the answer to its return proves sooner that the replicas are gone, so that they
    /// can start elsewhere. Machines without replicas may yet be back with all that they did.
    ///
    /// Where most machines are silent, or reports wait here unread, it is rather this node that is cut off
    /// or too slow.
    fn silent_with_replicas(&self, now: Moment) -> Vec<String> {
        let patience = self.config.report.scaled(SILENT_REPORTS);
        let falls_behind = self
            .overload
            .was_overloaded_within(patience.scaled(2.0), now);
        if falls_behind || now - self.started < patience.scaled(2.0) {
            return Vec::new();
        }
        let known: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.reconciled && !m.unreachable && m.last_heartbeat.is_some())
            .collect();
        let is_silent = |m: &&Machine| m.last_heartbeat.is_some_and(|t| now - t > patience);
        let silent: Vec<&Machine> = known.iter().copied().filter(is_silent).collect();
        if MOST_SILENT * silent.len() > known.len() {
            return Vec::new();
        }
        let has_replicas = |m: &&&Machine| {
            let mut held = m.attempts.iter().filter(|(_, a)| a.holds_resources());
            held.any(|(key, _)| {
                let job = self.jobs.table.get(&key.job);
                job.is_some_and(|j| j.spec.is_standing() && !j.is_closed())
            })
        };
        let names = silent.iter().filter(has_replicas).map(|m| m.name.clone());
        names.collect()
    }
}
