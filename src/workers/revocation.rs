//! Revocation of start commands that may still be executed: the machine gets a higher fencing token, or its heartbeats
//! are no longer answered. [`super::fencing`] describes the mechanism.

use super::command_log::Seconds;
use super::fencing::RaiseReason;
use super::{DeliveryStatus, FencingToken};
use crate::invariants::{self, Invariant};
use crate::scheduler::{LEASE_MARGIN, SchedulerState};
use crate::time::{Micros, Moment, min_with_drift};

impl SchedulerState {
    /// Fencing token in replies and commands to this machine.
    pub fn fencing_token_for(&self, machine: &str) -> FencingToken {
        let known = self.machines.get(machine);
        let of_term = FencingToken::of_term(self.term);
        known.map_or(of_term, |machine| {
            of_term
                .max(machine.fencing_token)
                .max(machine.seen_fencing_token)
        })
    }

    /// Assigns the newest token to the machines whose unconfirmed starts it revokes or whose exited attempts it allows
    /// to be cleared. Returns the most urgent reason why some machines need a higher token than the newest, if any.
    pub(super) fn fence_machines(&mut self) -> Option<RaiseReason> {
        let is_unconfirmed = self.fence_unconfirmed();
        self.fence_blocked_clears();
        if is_unconfirmed {
            Some(RaiseReason::UnconfirmedStart)
        } else {
            let is_blocked = self.fencing.blocked_clear_count() > 0;
            is_blocked.then_some(RaiseReason::Clear)
        }
    }

    /// Assigns the newest token to the machines whose unconfirmed starts it revokes. Returns true if some machines
    /// need a higher token than the newest.
    fn fence_unconfirmed(&mut self) -> bool {
        let newest = self.fencing.newest();
        let mut needs_higher = false;
        for (name, unconfirmed) in self.fencing.unconfirmed_machines() {
            if newest <= unconfirmed {
                needs_higher = true;
            } else if let Some(machine) = self.machines.get_mut(name) {
                machine.fencing_token = newest;
            }
        }
        needs_higher
    }

    /// Assigns the newest token to the machines whose exited attempts it allows to be cleared.
    fn fence_blocked_clears(&mut self) {
        let newest = self.fencing.newest();
        for name in self.fencing.take_unblocked_clears() {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.fencing_token = newest;
            }
        }
    }

    /// True if the fencing token must be raised, and the interval between two raises allows it now.
    pub fn fencing_token_raise_due(&mut self, now: Moment) -> bool {
        let reason = self.fence_machines();
        reason.is_some_and(|reason| self.fencing.may_raise(reason, now))
    }

    /// Applies a raise of the fencing token: the higher token is stored for this leader only.
    pub fn fencing_token_raised(&mut self, fencing_token: FencingToken, now: Moment) {
        let reason = self.fence_machines().map_or("none", RaiseReason::name);
        self.fencing.raised(fencing_token, now);
        self.fence_machines();
        log::debug!(
            term = self.term,
            fencing_token = fencing_token,
            reason = reason,
            unconfirmed_machines = self.fencing.unconfirmed_machine_count();
            "fencing token raised"
        );
    }

    /// Schedules a retry after a raise of the fencing token was refused or got no answer.
    pub fn fencing_token_raise_failed(&mut self, now: Moment) {
        self.fencing.raise_failed(now);
    }

    /// Settles the starts on the machine that its worker will refuse. Called after a report has shown the highest
    /// fencing token that the worker has seen.
    pub(super) fn settle_starts(&mut self, name: &str, now: Moment) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let seen = machine.seen_fencing_token;
        let mut any_unconfirmed_left = false;
        for (key, attempt) in &mut machine.attempts {
            let unconfirmed = attempt.delivery.unconfirmed();
            if !attempt.delivery.settled_by(seen) {
                any_unconfirmed_left |= unconfirmed.is_some();
                continue;
            }
            attempt.delivery = DeliveryStatus::Settled;
            let Some(start) = unconfirmed else { continue };
            self.fencing.counters.ended_by_token += 1;
            log::debug!(
                machine = name,
                task = key.task,
                attempt = key.attempt,
                fencing_token = start.fencing_token,
                seen_fencing_token = seen,
                age_s:% = Seconds(now - start.since);
                "unconfirmed start revoked"
            );
        }
        if !any_unconfirmed_left {
            self.fencing.note_confirmed(name);
        }
    }

    /// True if heartbeats of this machine must not be answered, so that its agent epoch ends before an unconfirmed
    /// start of a cancelled job could be executed after the limit for the cancellation.
    pub(super) fn must_withhold(&mut self, name: &str, now: Moment) -> bool {
        let Some(unconfirmed) = self.fencing.unconfirmed_token(name) else {
            return false;
        };
        if self.fencing_token_for(name) > unconfirmed {
            // Any reply that the worker receives revokes the start.
            return false;
        }
        let is_overdue = self.has_overdue_unconfirmed_start(name, self.revocation_time(), now);
        if is_overdue && let Some(machine) = self.machines.get_mut(name) {
            machine.note_undelivered(now);
            self.fencing.counters.withheld += 1;
            log::info!(
                machine = name,
                reason = "unconfirmed_start_of_cancelled_job";
                "heartbeat reply withheld"
            );
        }
        is_overdue
    }

    /// Maximum time from the request of a job's cancellation until its unconfirmed starts are covered by a higher
    /// token: after it, a full lease must still fit into the time limit of the cancellation.
    fn revocation_time(&self) -> Micros {
        min_with_drift(self.config.cancellation_bound)
            .saturating_sub(self.max_lease_duration() + LEASE_MARGIN)
    }

    /// True if the machine has an unconfirmed start whose attempt appeared in no report and whose job's cancellation
    /// was requested at least `limit` ago.
    fn has_overdue_unconfirmed_start(&self, name: &str, limit: Micros, now: Moment) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        let mut unconfirmed = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.delivery.unconfirmed().is_some())
            .filter(|(_, attempt)| attempt.status.is_none());
        unconfirmed.any(|(key, _)| {
            let job = self.jobs.table.get(&key.job);
            let requested_at = job.and_then(|job| job.cancel_requested_at);
            requested_at.is_some_and(|at| now - at >= limit)
        })
    }

    /// Checks that no start command of a cancelled job can be executed after the time limit of the cancellation.
    pub(crate) fn check_revocations(&mut self, now: Moment) {
        for (name, unconfirmed) in self.fencing.unconfirmed_machines() {
            let is_reachable = self.machines.get(name).is_some_and(|m| !m.unreachable);
            if is_reachable
                && self.fencing_token_for(name) <= unconfirmed
                && self.has_overdue_unconfirmed_start(name, self.config.cancellation_bound, now)
            {
                invariants::report_violation(
                    Invariant::CancelledStartNotRevoked,
                    format_args!("term={} machine={name}", self.term),
                );
            }
        }
    }
}
