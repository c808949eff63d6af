//! The end of agent epochs that began in earlier terms, on machines that aren't reconciled yet.
//!
//! So that replies which are lost one after the other don't defer that end for ever, heartbeats of a machine that has
//! lost a reply are answered only in the first part of the term. Later ones are withheld, and the machine is probed by
//! direct calls, which carry the fencing token and renew no lease.

use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// Fraction of a lease, counted from the beginning of the term, in which heartbeats of unreconciled machines are
/// answered even if earlier replies to them were lost.
const RETRY_PERIOD_IN_LEASES: f64 = 0.5;

impl SchedulerState {
    /// Latest time at which any controller may have renewed an agent epoch of this machine that began in an earlier
    /// term.
    pub fn prior_epoch_renewed_at(&self, name: &str) -> Moment {
        let machine = self.machines.get(name);
        machine.map_or(self.started, |m| m.early_replies.renewed_at(self.started))
    }

    /// True if the machine's heartbeats must not be answered, so that its agent epoch of an earlier term ends: it isn't
    /// reconciled, and replies to it have been lost for some time.
    pub(super) fn must_end_prior_epoch(&mut self, name: &str, now: Moment) -> bool {
        let is_unreconciled = self.prior_term.unreconciled.contains(name);
        let retry_period = self.retry_period();
        if !is_unreconciled || now - self.started < retry_period {
            return false;
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        if machine.reconciled || machine.epoch_ended || !machine.early_replies.any_lost() {
            return false;
        }
        machine.note_undelivered(now);
        self.fencing.counters.withheld += 1;
        log::info!(
            term = self.term,
            machine = name,
            reason = "replies_to_unreconciled_machine_lost";
            "heartbeat reply withheld"
        );
        true
    }

    fn retry_period(&self) -> Micros {
        self.max_lease_duration().scaled(RETRY_PERIOD_IN_LEASES)
    }
}
