//! End of agent epochs: when a machine's lease expires, its worker ends the epoch and all attempts in it.

use super::command_log::Seconds;
use super::{Attempt, AttemptKey, Machine};
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use std::collections::BTreeMap;

impl SchedulerState {
    /// Ends the quarantine of a machine once its agent epoch has lasted longer than a lease. Before that, queues the
    /// machine for a direct call when the next probe is due.
    pub(super) fn review_quarantine(&mut self, name: &str, now: Moment) {
        let lease = self.max_lease_duration();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(quarantine) = machine.quarantine else {
            return;
        };
        if quarantine.may_end(lease, now) {
            machine.quarantine = None;
            self.placement.due = true;
        } else if quarantine.is_probe_due(now) {
            self.commands.due.insert(name.to_string());
        }
    }

    /// Drops all attempts and orphans of the machine after its agent epoch has ended.
    pub fn end_epoch(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.free_resources.set(None);
        machine.orphans.clear();
        self.fencing.remove_machine(name);
        let ended = std::mem::take(&mut machine.attempts);
        self.release_attempts(ended);
        self.placement.due = true;
    }

    fn release_attempts(&mut self, attempts: BTreeMap<AttemptKey, Attempt>) {
        for (key, attempt) in attempts {
            if attempt.delivery.unconfirmed().is_some() {
                self.fencing.counters.ended_by_epoch += 1;
            }
            let Some(job) = self.jobs.table.get_mut(&key.job) else {
                continue;
            };
            job.count_running(attempt.is_running(), false);
            if attempt.holds_resources() {
                job.unbind(key.task);
            }
        }
    }

    /// Ends the agent epochs of machines whose lease can't have been renewed within its maximum duration.
    pub fn expire_leases(&mut self, now: Moment) {
        let lease = self.max_lease_duration();
        let has_expired = |machine: &&Machine| {
            !machine.unreachable
                && machine.last_seen.is_some()
                && now - machine.lease_renewed_at >= lease
        };
        let expired: Vec<String> = self
            .machines
            .values()
            .filter(has_expired)
            .map(|machine| machine.name.clone())
            .collect();
        for name in expired {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.expire_lease(now);
            }
            self.end_epoch(&name);
        }
        self.release_prior_term(now);
    }
}

impl Machine {
    fn expire_lease(&mut self, now: Moment) {
        log::info!(
            machine = self.name,
            agent_epoch = self.agent_epoch(),
            reason = "lease_expired",
            renewed_s_ago:% = Seconds(now - self.lease_renewed_at);
            "agent epoch ended"
        );
        self.unreachable = true;
        self.epoch_ended = true;
        self.idle_since = None;
    }
}
