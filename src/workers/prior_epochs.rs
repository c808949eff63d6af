//! The end of agent epochs that began in earlier terms, on machines that aren't reconciled yet.
//!
//! So that replies which are lost one after the other don't defer that end for ever, heartbeats of a machine that has
//! lost a reply are answered only in the first part of the term. Later ones are withheld, and the machine is probed by
//! direct calls, which carry the fencing token and renew no lease. So are heartbeats of a machine that is first heard in
//! that later part, as long as it may hold tasks of a cancelled job: a reply could renew their agent epoch beyond the
//! time limit of the cancellation.

use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment, min_with_drift};
use std::fmt;

/// Reason why heartbeats of an unreconciled machine are not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WithholdReason {
    /// Replies to the machine were lost.
    RepliesLost,
    /// A start of a cancelled job may be on its way to the machine, and its task could run beyond the time limit of the
    /// cancellation if the lease were renewed.
    CancelledJob,
}

impl fmt::Display for WithholdReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WithholdReason::RepliesLost => "replies_to_unreconciled_machine_lost",
            WithholdReason::CancelledJob => "unreconciled_tasks_of_cancelled_job",
        })
    }
}

/// Fraction of a lease, counted from the beginning of the term, in which heartbeats of unreconciled machines are
/// answered even if earlier replies to them were lost, or if the machines may hold tasks of cancelled jobs.
const RETRY_PERIOD_IN_LEASES: f64 = 0.5;

impl SchedulerState {
    /// Latest time at which any controller may have renewed an agent epoch of this machine that began in an earlier
    /// term.
    pub fn prior_epoch_renewed_at(&self, name: &str) -> Moment {
        let machine = self.machines.get(name);
        machine.map_or(self.started, |m| m.early_replies.renewed_at(self.started))
    }

    /// True if the machine's heartbeats must not be answered, so that its agent epoch of an earlier term ends.
    pub(super) fn must_end_prior_epoch(&mut self, name: &str, now: Moment) -> bool {
        let Some(reason) = self.reason_to_withhold(name, now) else {
            return false;
        };
        if let Some(machine) = self.machines.get_mut(name) {
            machine.note_undelivered(now);
        }
        self.fencing.counters.withheld += 1;
        log::info!(
            term = self.term,
            machine = name,
            reason:% = reason;
            "heartbeat reply withheld"
        );
        true
    }

    fn reason_to_withhold(&self, name: &str, now: Moment) -> Option<WithholdReason> {
        let is_unreconciled = self.prior_term.unreconciled.contains(name);
        if !is_unreconciled || now - self.started < self.retry_period() {
            return None;
        }
        let machine = self.machines.get(name)?;
        if machine.reconciled || machine.epoch_ended {
            None
        } else if machine.early_replies.any_lost() {
            Some(WithholdReason::RepliesLost)
        } else {
            let is_at_risk = self.cancelled_tasks_may_outlast(now + self.max_lease_duration());
            is_at_risk.then_some(WithholdReason::CancelledJob)
        }
    }

    /// True if an unreconciled machine whose agent epoch lasts until `epoch_end` may run a task of a cancelled job
    /// after the time limit of the cancellation.
    fn cancelled_tasks_may_outlast(&self, epoch_end: Moment) -> bool {
        let limit = min_with_drift(self.config.cancellation_bound);
        let jobs = self.jobs.table.values();
        let mut at_risk = jobs.filter(|job| job.has_unreconciled_cancelled_tasks());
        // It isn't known when a job was cancelled under an earlier leader.
        at_risk.any(|job| {
            job.cancel_requested_at
                .is_none_or(|at| epoch_end > at + limit)
        })
    }

    fn retry_period(&self) -> Micros {
        self.max_lease_duration().scaled(RETRY_PERIOD_IN_LEASES)
    }
}
