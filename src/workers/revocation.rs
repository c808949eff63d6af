//! Revoking unconfirmed starts: the machine gets a higher fencing token, or else no replies. [`super::fencing`]
//! tells how that works.

use super::command_log::Seconds;
use super::{DeliveryStatus, FencingToken};
use crate::invariants::{self, Invariant};
use crate::scheduler::{LEASE_MARGIN, SchedulerState};
use crate::time::{Micros, Moment, min_with_drift};

impl SchedulerState {
    /// The fencing token that goes with replies and commands to this machine.
    pub fn fencing_token_for(&self, machine: &str) -> FencingToken {
        let known = self.machines.get(machine);
        let of_term = FencingToken::of_term(self.term);
        known.map_or(of_term, |machine| {
            of_term
                .max(machine.fencing_token)
                .max(machine.seen_fencing_token)
        })
    }

    /// Gives the newest token to machines whose unconfirmed starts it revokes. True if some need a higher
    /// one than there is.
    pub fn fence_unconfirmed(&mut self) -> bool {
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

    /// True if a higher token is to be put on record now.
    pub fn fencing_token_raise_due(&mut self, now: Moment) -> bool {
        self.fence_unconfirmed() && self.fencing.may_raise(now)
    }

    /// A higher token is on record for this leader alone.
    pub fn fencing_token_raised(&mut self, fencing_token: FencingToken, now: Moment) {
        self.fencing.raised(fencing_token, now);
        self.fence_unconfirmed();
        log::debug!(
            term = self.term,
            fencing_token = fencing_token,
            unconfirmed_machines = self.fencing.unconfirmed_machine_count();
            "fencing token raised"
        );
    }

    /// A raise of the token was refused or got no answer: it is tried again later.
    pub fn fencing_token_not_raised(&mut self, now: Moment) {
        self.fencing.raise_failed(now);
    }

    /// Settles the machine's unconfirmed starts that its worker will refuse, after a report showed the highest
    /// fencing token that the worker has seen.
    pub(super) fn settle_unconfirmed(&mut self, name: &str, now: Moment) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let seen = machine.seen_fencing_token;
        let mut some_left = false;
        for (key, attempt) in &mut machine.attempts {
            let Some(start) = attempt.delivery.unconfirmed() else {
                continue;
            };
            if !attempt.delivery.settled_by(seen) {
                some_left = true;
                continue;
            }
            attempt.delivery = DeliveryStatus::Settled;
            self.fencing.counters.ended_by_token += 1;
            log::debug!(
                machine = name,
                attempt = key.attempt,
                fencing_token = start.fencing_token,
                seen_fencing_token = seen,
                age_s:% = Seconds(now - start.since);
                "unconfirmed start revoked"
            );
        }
        if !some_left {
            self.fencing.forget(name);
        }
    }

    /// True if this machine must not be answered, so that its agent epoch ends before an unconfirmed start of
    /// a cancelled job could be executed too late.
    pub(super) fn must_withhold(&mut self, name: &str, now: Moment) -> bool {
        let Some(unconfirmed) = self.fencing.unconfirmed_token(name) else {
            return false;
        };
        if self.fencing_token_for(name) > unconfirmed {
            // Any reply that the worker takes revokes the start.
            return false;
        }
        let is_overdue = self.has_overdue_unconfirmed_start(name, self.revocation_time(), now);
        if is_overdue && let Some(machine) = self.machines.get_mut(name) {
            machine.note_undelivered(now);
            self.fencing.counters.withheld += 1;
            log::info!(
                machine = name,
                reason = "unconfirmed_start_of_cancelled_job";
                "heartbeat withheld"
            );
        }
        is_overdue
    }

    /// How long an unconfirmed start may wait for a higher token once its job's cancellation was requested:
    /// a full lease must still fit into the time for the cancellation.
    fn revocation_time(&self) -> Micros {
        min_with_drift(self.config.cancellation_bound)
            .saturating_sub(self.lease_span() + LEASE_MARGIN)
    }

    /// True if the machine has an unconfirmed start, of an attempt that no report showed, whose job's
    /// cancellation was requested at least this long ago.
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

    /// Checks that no start of a cancelled job can be executed once the time for its cancellation is over.
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
