//! Scale-in: choice of the machines that are returned to the cloud, and when.

use super::ListStatus;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;

/// Reason for the return of a machine. The log prints the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReturnReason {
    Idle,
    /// The machine was requested and never came up.
    NeverUp,
    /// The machine is listed as running and never sent a heartbeat.
    NeverReported,
    /// The machine's lease expired long ago.
    Silent,
    Faulty,
    /// The cloud announced that it will take the machine back.
    PreemptionNotice,
    /// Replies and commands don't reach the machine.
    Unreached,
}

/// Fraction of a spot machine's maximum idle time after which an idle on-demand machine is returned.
const ON_DEMAND_IDLE_FACTOR: f64 = 0.25;

/// Number of heartbeat intervals without a heartbeat after which a silent machine with replicas is returned.
const RETURN_AFTER_INTERVALS: f64 = 3.0;

/// If more than one in this many known machines is silent, the fault is more likely on this controller's side.
const MIN_KNOWN_PER_SILENT: usize = 3;

/// Multiple of its type's boot time after which a machine without a heartbeat is given up.
const BOOT_TIMEOUT_FACTOR: f64 = 4.0;

/// Maximum number of machines returned in one call.
const MAX_RETURNS_PER_CALL: usize = 100;

impl SchedulerState {
    /// True for a machine whose heartbeats arrive but which replies don't seem to reach. It takes no tasks, so
    /// another machine is requested in its place. A short quarantine doesn't count.
    pub(super) fn is_unresponsive(&self, machine: &Machine, now: Moment) -> bool {
        let lease = self.max_lease_duration();
        let unreconciled = machine.last_seen.is_some()
            && !machine.reconciled
            && now - machine.known_since.max(self.started) > lease;
        unreconciled
            || machine
                .quarantine
                .is_some_and(|s| now - s.since > lease.scaled(0.5))
    }

    /// Chooses machines to return, and returns the names of those whose return is due now.
    pub fn plan_scale_in(&mut self, now: Moment) -> Vec<String> {
        for (name, reason) in self.choose_scale_in(now) {
            log::info!(machine = name, reason:? = reason; "machine marked for return");
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
            .take(MAX_RETURNS_PER_CALL)
            .collect()
    }

    /// Machines that are of no use, or idle beyond the headroom that is kept, each with the reason.
    fn choose_scale_in(&self, now: Moment) -> Vec<(String, ReturnReason)> {
        let mut surplus = self.headroom_surplus().unwrap_or(i64::MAX);
        let mut replica_surplus = self.replica_surplus(now).unwrap_or(i64::MAX);
        let mut chosen = Vec::new();
        for machine in self.machines.values().filter(|machine| !machine.draining) {
            let reason = self.defect(machine, now).or_else(|| {
                // Machines that provide headroom are kept, even while they are idle.
                let is_kept = surplus < machine.total.cpu
                    || (!machine.spot && replica_surplus < machine.total.cpu);
                (self.is_idle(machine, now) && !is_kept).then_some(ReturnReason::Idle)
            });
            let Some(reason) = reason else { continue };
            if reason == ReturnReason::Idle {
                surplus -= machine.total.cpu;
                if !machine.spot {
                    replica_surplus -= machine.total.cpu;
                }
            }
            chosen.push((machine.name.clone(), reason));
        }
        chosen
    }

    /// True if a machine has been idle for long enough to be returned. On-demand machines cost several times as much
    /// as spot machines, so they are returned sooner.
    fn is_idle(&self, machine: &Machine, now: Moment) -> bool {
        let time = if machine.spot {
            self.config.max_idle
        } else {
            self.config.max_idle.scaled(ON_DEMAND_IDLE_FACTOR)
        };
        machine.reconciled
            && !machine.is_busy()
            && machine.idle_since.is_some_and(|t| now - t > time)
    }

    /// Reason why a machine is of no use any more; `None` if it is of use.
    ///
    /// A new leader receives the first heartbeats of machines one by one: a machine may have come up although none of
    /// its heartbeats has arrived since the leader was elected.
    fn defect(&self, machine: &Machine, now: Moment) -> Option<ReturnReason> {
        let Some(last_seen) = machine.last_seen else {
            return self.defect_without_heartbeat(machine, now);
        };
        let lease = self.max_lease_duration();
        if machine.unreachable && now - last_seen > lease.scaled(1.5) {
            return Some(ReturnReason::Silent);
        }
        if machine.is_busy() {
            return None;
        }
        if machine.failures.is_machine_faulty() {
            return Some(ReturnReason::Faulty);
        }
        // Such a machine is charged until it ends, and only its return proves that it is empty.
        if machine.has_preemption_notice {
            return Some(ReturnReason::PreemptionNotice);
        }
        // The machine's heartbeats arrive, but it has received nothing for a long time.
        let watched_for = (now - self.started).min(now - machine.known_since);
        let unreconciled = !machine.reconciled && watched_for > lease.scaled(2.0);
        let quarantined = machine
            .quarantine
            .is_some_and(|s| now - s.since > lease.scaled(2.0));
        (unreconciled || quarantined).then_some(ReturnReason::Unreached)
    }

    /// Reason why a machine from which this leader never received a heartbeat is of no use; `None` if it may yet send
    /// one.
    fn defect_without_heartbeat(&self, machine: &Machine, now: Moment) -> Option<ReturnReason> {
        let lease = self.max_lease_duration();
        let boot = self
            .provisioning
            .boot_time_of(&machine.type_name)
            .unwrap_or(self.config.max_idle)
            .scaled(BOOT_TIMEOUT_FACTOR);
        let leading_for = now - self.started;
        let known_for = now - machine.known_since;
        let boot_timed_out = known_for > boot + Micros::from_secs(10);
        if machine.list_status != Some(ListStatus::Running) && leading_for > lease && boot_timed_out
        {
            return Some(ReturnReason::NeverUp);
        }
        let watched_for = leading_for.min(known_for);
        (watched_for > lease.scaled(2.0) + boot).then_some(ReturnReason::NeverReported)
    }

    /// Silent machines with replicas. A machine that hangs serves no requests, and its agent epoch ends only with
    /// its lease: the response to its return proves sooner that the replicas are gone, so that they can start
    /// elsewhere. Machines without replicas are kept, since they may come back with all the work that they have done.
    ///
    /// Empty if too many machines are silent, or if heartbeats wait here unread: then it is more likely that this
    /// controller is cut off or too slow.
    fn silent_with_replicas(&self, now: Moment) -> Vec<String> {
        let silent_after = self
            .config
            .heartbeat_interval
            .scaled(RETURN_AFTER_INTERVALS);
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
        if MIN_KNOWN_PER_SILENT * silent.len() > known.len() {
            return Vec::new();
        }
        let with_replicas = silent.iter().filter(|m| self.has_replicas(m));
        with_replicas.map(|m| m.name.clone()).collect()
    }

    /// True if the machine may run replicas of a standing job.
    fn has_replicas(&self, machine: &Machine) -> bool {
        let mut held = machine.attempts.iter().filter(|(_, a)| a.holds_resources());
        held.any(|(key, _)| {
            let job = self.jobs.table.get(&key.job);
            job.is_some_and(|j| j.spec.is_standing() && !j.is_closed())
        })
    }
}
