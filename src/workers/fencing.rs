//! Revoking starts in doubt: the machine gets a higher fencing token, or else no answers.
//!
//! A token is a number on record that only one leader ever uses: the counter of terms. A leader begins with
//! its term's number and may raise the counter further while it leads (`leadership::fencing`). From then on
//! it answers the machines in doubt with the new token only. Such a machine either takes an answer, has
//! seen the token and refuses the order in doubt, or takes none, and its session ends with its lease. Its
//! tasks go on meanwhile, and no other machine notices.
//!
//! # Cancellations
//!
//! A confirmed cancellation must be complete within `cancel_s`. While the higher token is not on record, as
//! when the state service refuses writes, the machine would go on with the old one. So from
//! `cancel_s` less one lease (with drift and margins) after the cancellation was asked for, its heartbeats
//! are not answered: the session that the order names ends in time. A leader that has stopped answers
//! nobody, and the next one begins with a higher token: both cover a change of leader at any moment.

use super::DeliveryStatus;
use crate::invariants::{self, Invariant};
use crate::scheduler::{LEASE_MARGIN, SchedulerState};
use crate::time::{Micros, Moment, at_least};
use std::collections::BTreeMap;

/// A new token costs a write. Machines that fall into doubt meanwhile share the next one.
const RAISE_PAUSE: Micros = Micros::from_secs(1);
/// After a raise that didn't come about.
const RETRY_PAUSE: Micros = Micros::from_millis(500);

/// How orders in doubt came about and ended, since this leader began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandCounters {
    /// Direct calls with starts that were sent.
    pub calls: u64,
    /// Starts whose call got no answer.
    pub unconfirmed_starts: u64,
    /// Doubts that ended since the worker told a higher token.
    pub ended_by_token: u64,
    /// Doubts that ended with the worker's session or its machine.
    pub ended_by_session: u64,
    /// Tokens raised.
    pub raises: u64,
    /// Heartbeats that were not answered so that a session would end.
    pub withheld: u64,
}

/// The tokens that this leader gives out, and the machines that need a higher one.
#[derive(Debug)]
pub struct Fencing {
    /// The highest token on record for this leader.
    newest: u64,
    /// Machines with starts in doubt, and the highest token that one of these carries.
    unconfirmed_machines: BTreeMap<String, u64>,
    /// No higher token is asked for before.
    not_before: Moment,
    pub counters: CommandCounters,
}

impl Fencing {
    /// The tokens of a leader that has just taken the lead under this term.
    pub fn new(term: u64) -> Fencing {
        Fencing {
            newest: term,
            unconfirmed_machines: BTreeMap::new(),
            not_before: Moment(0),
            counters: CommandCounters::default(),
        }
    }

    /// The highest token that this leader may have given out.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Machines with starts in doubt.
    pub fn unconfirmed_machines(&self) -> usize {
        self.unconfirmed_machines.len()
    }

    pub(super) fn note_unconfirmed(&mut self, machine: &str, fencing_token: u64) {
        let highest = self
            .unconfirmed_machines
            .entry(machine.to_string())
            .or_insert(fencing_token);
        *highest = fencing_token.max(*highest);
    }

    pub(super) fn forget(&mut self, machine: &str) {
        self.unconfirmed_machines.remove(machine);
    }
}

impl SchedulerState {
    /// The token that goes with answers and orders to this machine.
    pub fn fencing_token_for(&self, machine: &str) -> u64 {
        let own = self.machines.get(machine);
        own.map_or(self.term, |m| {
            self.term.max(m.fencing_token).max(m.seen_fencing_token)
        })
    }

    /// Gives the newest token to machines whose starts in doubt it fences off. True if some need a higher
    /// one than there is.
    pub fn fence_doubted(&mut self) -> bool {
        let newest = self.fencing.newest;
        let mut needs_higher = false;
        for (name, unconfirmed) in &self.fencing.unconfirmed_machines {
            if newest <= *unconfirmed {
                needs_higher = true;
            } else if let Some(machine) = self.machines.get_mut(name) {
                machine.fencing_token = newest;
            }
        }
        needs_higher
    }

    /// True if a higher token is to be put on record now.
    pub fn token_raise_due(&mut self, now: Moment) -> bool {
        self.fence_doubted() && now >= self.fencing.not_before
    }

    /// A higher token is on record for this leader alone.
    pub fn fencing_token_raised(&mut self, fencing_token: u64, now: Moment) {
        self.fencing.newest = self.fencing.newest.max(fencing_token);
        self.fencing.not_before = now + RAISE_PAUSE;
        self.fencing.counters.raises += 1;
        self.fence_doubted();
        log::debug!(
            "token raised: term={} token={fencing_token} machines_in_doubt={}",
            self.term,
            self.fencing.unconfirmed_machines()
        );
    }

    /// A raise was refused or got no answer: it is tried again.
    pub fn fencing_token_not_raised(&mut self, now: Moment) {
        self.fencing.not_before = now + RETRY_PAUSE;
    }

    /// A report told the highest token that its worker has seen: doubts about orders with lower ones end.
    pub(super) fn settle_doubts(&mut self, name: &str, now: Moment) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let seen = machine.seen_fencing_token;
        let mut left = false;
        for (key, attempt) in &mut machine.attempts {
            let Some(command) = attempt.delivery.unconfirmed() else {
                continue;
            };
            if !attempt.delivery.settled_by(seen) {
                left = true;
                continue;
            }
            attempt.delivery = DeliveryStatus::Settled;
            self.fencing.counters.ended_by_token += 1;
            log::debug!(
                "doubt over: machine={name} attempt={} token={} seen_token={seen} age_s={:.3}",
                key.2,
                command.fencing_token,
                (now - command.since).as_secs_f64()
            );
        }
        if !left {
            self.fencing.forget(name);
        }
    }

    /// True if this machine must not be answered, so that its session ends before a cancelled job's start
    /// in doubt could be executed too late.
    pub(super) fn must_withhold(&mut self, name: &str, now: Moment) -> bool {
        let Some(unconfirmed) = self.fencing.unconfirmed_machines.get(name) else {
            return false;
        };
        if self.fencing_token_for(name) > *unconfirmed {
            // Any answer that the worker takes fences the order off.
            return false;
        }
        let overdue = self.has_overdue_doubt(name, now, self.revocation_time());
        if overdue && let Some(machine) = self.machines.get_mut(name) {
            machine.note_loss(now);
            self.fencing.counters.withheld += 1;
            log::info!("heartbeat withheld: machine={name} reason=start_in_doubt_of_cancelled_job");
        }
        overdue
    }

    /// How long a start in doubt may wait for a higher token once its job was asked to be cancelled. Then
    /// a full lease must still fit into the time for the cancellation.
    fn revocation_time(&self) -> Micros {
        at_least(self.config.cancellation_bound).saturating_sub(self.lease_span() + LEASE_MARGIN)
    }

    /// A start is in doubt here that no report showed, of a job whose cancellation was asked for that
    /// long ago.
    fn has_overdue_doubt(&self, name: &str, now: Moment, span: Micros) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        let mut unconfirmed = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.delivery.unconfirmed().is_some())
            .filter(|(_, attempt)| attempt.status.is_none());
        unconfirmed.any(|(key, _)| {
            let job = self.jobs.table.get(&key.0);
            let asked = job.and_then(|job| job.cancel_requested_at);
            asked.is_some_and(|at| now - at >= span)
        })
    }

    /// No start of a cancelled job may be executable once the time for its cancellation is over.
    pub(crate) fn check_revocations(&mut self, now: Moment) {
        let longest = self.config.cancellation_bound;
        let names = self.fencing.unconfirmed_machines.iter();
        let answered: Vec<&String> = names
            .filter(|(name, fencing_token)| self.fencing_token_for(name) <= **fencing_token)
            .map(|(name, _)| name)
            .collect();
        for name in answered {
            let alive = self.machines.get(name).is_some_and(|m| !m.lost);
            if alive && self.has_overdue_doubt(name, now, longest) {
                invariants::report_violation(
                    Invariant::CancelledStartNotRevoked,
                    format_args!("term={} machine={name}", self.term),
                );
            }
        }
    }
}
