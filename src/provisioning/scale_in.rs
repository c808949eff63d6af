//! Scale-in: which machines are returned to the cloud, and when.

use super::ListStatus;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;

/// Why a machine is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReturnReason {
    Idle,
    /// It was requested and never came up.
    NeverUp,
    /// It is listed as running, and never sent a heartbeat.
    NeverReported,
    /// Its lease expired long ago.
    Silent,
    Faulty,
    /// The cloud announced that it takes the machine back.
    PreemptionNotice,
    /// Replies and commands don't reach it.
    Unreached,
}

/// An idle on-demand machine is returned after this part of the time that a spot machine has.
const ON_DEMAND_IDLE: f64 = 0.25;

/// A machine is silent after so many times the time between heartbeats.
const SILENT_HEARTBEATS: f64 = 3.0;

/// If more than one machine in so many is silent, the fault is rather on this side.
const MAX_SILENT_ONE_IN: usize = 3;

/// A machine without a heartbeat after so many times its type's boot time is given up.
const MAX_BOOTS: f64 = 4.0;

/// Machines that are returned in one call.
const MAX_SCALE_IN: usize = 100;

impl SchedulerState {
    /// True for a machine whose heartbeats arrive but which replies don't seem to reach: it takes no
    /// work, so another one is requested in its place. A short quarantine changes nothing.
    pub(super) fn is_unresponsive(&self, m: &Machine, now: Moment) -> bool {
        let lease = self.max_lease_duration();
        let unreconciled =
            m.last_seen.is_some() && !m.reconciled && now - m.known_since.max(self.started) > lease;
        unreconciled
            || m.quarantine
                .is_some_and(|s| now - s.since > lease.scaled(0.5))
    }

    /// Chooses machines to return, and names those whose return is due now.
    pub fn plan_scale_in(&mut self, now: Moment) -> Vec<String> {
        for (name, reason) in self.choose_scale_in(now) {
            log::info!(machine = name, reason:? = reason; "machine to be returned");
            if let Some(m) = self.machines.get_mut(&name) {
                m.draining = true;
            }
        }
        let emptied = self
            .machines
            .values()
            .filter(|m| m.draining && (!m.is_busy() || m.unreachable))
            .map(|m| m.name.clone());
        emptied
            .chain(self.silent_with_replicas(now))
            .take(MAX_SCALE_IN)
            .collect()
    }

    /// Machines that are of no use, or idle beyond the headroom that is kept.
    fn choose_scale_in(&self, now: Moment) -> Vec<(String, ReturnReason)> {
        let mut surplus = self.headroom_surplus().unwrap_or(i64::MAX);
        let mut replica_surplus = self.replica_surplus(now).unwrap_or(i64::MAX);
        let mut chosen = Vec::new();
        for m in self.machines.values().filter(|m| !m.draining) {
            let reason = self.defect(m, now).or_else(|| {
                // What is kept ready stays, also while it is idle.
                let is_kept = surplus < m.total.cpu || (!m.spot && replica_surplus < m.total.cpu);
                (self.is_idle(m, now) && !is_kept).then_some(ReturnReason::Idle)
            });
            let Some(reason) = reason else { continue };
            if reason == ReturnReason::Idle {
                surplus -= m.total.cpu;
                if !m.spot {
                    replica_surplus -= m.total.cpu;
                }
            }
            chosen.push((m.name.clone(), reason));
        }
        chosen
    }

    /// It has had nothing to do for long enough. Ordinary machines cost several times as much, so they go
    /// back sooner.
    fn is_idle(&self, m: &Machine, now: Moment) -> bool {
        let time = if m.spot {
            self.config.max_idle
        } else {
            self.config.max_idle.scaled(ON_DEMAND_IDLE)
        };
        m.reconciled && !m.is_busy() && m.idle_since.is_some_and(|t| now - t > time)
    }

    /// Why a machine is of no use any more; None if it is of use.
    ///
    /// A new leader receives the first heartbeats of machines one by one: a machine without one since the
    /// leader was elected is not thereby one that never came up.
    fn defect(&self, m: &Machine, now: Moment) -> Option<ReturnReason> {
        let Some(last_report) = m.last_seen else {
            return self.defect_without_heartbeat(m, now);
        };
        let lease = self.max_lease_duration();
        if m.unreachable && now - last_report > lease.scaled(1.5) {
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
            return Some(ReturnReason::PreemptionNotice);
        }
        // Its heartbeats arrive, but it receives nothing, and not only for a while.
        let watched_for = (now - self.started).min(now - m.known_since);
        let unreconciled = !m.reconciled && watched_for > lease.scaled(2.0);
        let quarantined = m
            .quarantine
            .is_some_and(|s| now - s.since > lease.scaled(2.0));
        (unreconciled || quarantined).then_some(ReturnReason::Unreached)
    }

    /// The same for a machine from which this leader never received a heartbeat.
    fn defect_without_heartbeat(&self, m: &Machine, now: Moment) -> Option<ReturnReason> {
        let lease = self.max_lease_duration();
        let boot = self
            .provisioning
            .boot_of(&m.type_name)
            .unwrap_or(self.config.max_idle)
            .scaled(MAX_BOOTS);
        let leading_for = now - self.started;
        let known_for = now - m.known_since;
        let long_known = known_for > boot + Micros::from_secs(10);
        if m.list_status != Some(ListStatus::Running) && leading_for > lease && long_known {
            return Some(ReturnReason::NeverUp);
        }
        let watched_for = leading_for.min(known_for);
        (watched_for > lease.scaled(2.0) + boot).then_some(ReturnReason::NeverReported)
    }

    /// Machines with replicas that fell silent. One that hangs serves nobody, and its agent epoch ends only
    /// with its lease: the answer to its return proves sooner that the replicas are gone, so that they
    /// can start elsewhere. Machines without replicas may yet be back with all that they did.
    ///
    /// Where most machines are silent, or heartbeats wait here unread, it is rather this controller that is cut
    /// off or too slow.
    fn silent_with_replicas(&self, now: Moment) -> Vec<String> {
        let silent_after = self.config.heartbeat_interval.scaled(SILENT_HEARTBEATS);
        let settling = silent_after.scaled(2.0);
        let is_overloaded = self.overload.was_overloaded_within(settling, now);
        if is_overloaded || now - self.started < settling {
            return Vec::new();
        }
        let known: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.reconciled && !m.unreachable && m.last_heartbeat.is_some())
            .collect();
        let is_silent = |m: &&Machine| m.last_heartbeat.is_some_and(|t| now - t > silent_after);
        let silent: Vec<&Machine> = known.iter().copied().filter(is_silent).collect();
        if MAX_SILENT_ONE_IN * silent.len() > known.len() {
            return Vec::new();
        }
        let with_replicas = silent.iter().filter(|m| self.has_replicas(m));
        with_replicas.map(|m| m.name.clone()).collect()
    }

    /// True if the machine may run replicas of a standing job.
    fn has_replicas(&self, m: &Machine) -> bool {
        let mut held = m.attempts.iter().filter(|(_, a)| a.holds_resources());
        held.any(|(key, _)| {
            let job = self.jobs.table.get(&key.job);
            job.is_some_and(|j| j.spec.is_standing() && !j.is_closed())
        })
    }
}
