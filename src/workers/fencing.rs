//! The fencing tokens that this leader gives out.
//!
//! A fencing token is a number on record that only one leader ever uses: the counter of terms. A leader begins
//! with its term's number and may raise the counter further while it leads (`leadership::fencing_counter`). From then
//! on it answers machines with unconfirmed starts with the new token only. Such a machine either takes a
//! reply, has seen the token then and refuses the unconfirmed start, or takes none, and its agent epoch ends
//! with its lease. Its tasks run on meanwhile, and no other machine is affected.
//!
//! # Cancellations
//!
//! A confirmed cancellation must be complete within `cancel_s`. While the higher token is not on record, for
//! example because the key-value store refuses writes, the machine would go on with the old one. So from
//! `cancel_s` less one lease (with clock drift and margins) after the cancellation was requested, its
//! heartbeats are not answered: the agent epoch that the start command names ends in time. A leader that has
//! stopped answers nobody, and the next one begins with a higher token: both cover a change of leader at any
//! moment.

use super::FencingToken;
use crate::time::{Micros, Moment};
use std::collections::BTreeMap;

/// The time between two raises of the token. Each costs a write; machines with new unconfirmed starts share
/// the next token.
const RAISE_INTERVAL: Micros = Micros::from_secs(1);
/// The time until the next try after a raise that failed.
const RETRY_INTERVAL: Micros = Micros::from_millis(500);

/// How unconfirmed starts came about and ended, counted since this leader began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandCounters {
    /// Direct calls with starts that were made.
    pub calls: u64,
    /// Starts whose call got no answer.
    pub unconfirmed_starts: u64,
    /// Unconfirmed starts that ended when the worker showed a higher token.
    pub ended_by_token: u64,
    /// Unconfirmed starts that ended with the worker's agent epoch, or its machine.
    pub ended_by_epoch: u64,
    /// Raises of the fencing token.
    pub raises: u64,
    /// Heartbeats that were not answered so that an agent epoch would end.
    pub withheld: u64,
}

/// The fencing tokens that this leader gives out, and the machines that need a higher one.
#[derive(Debug)]
pub struct Fencing {
    /// The highest token on record for this leader.
    newest: FencingToken,
    /// Machines with unconfirmed starts, and the highest token that one of these starts carries.
    unconfirmed_machines: BTreeMap<String, FencingToken>,
    /// No higher token is requested before this.
    next_raise_at: Moment,
    /// Counts of what happened under this leader.
    pub counters: CommandCounters,
}

impl Fencing {
    /// The state of a leader that has just won this term.
    pub fn new(term: u64) -> Fencing {
        Fencing {
            newest: FencingToken::of_term(term),
            unconfirmed_machines: BTreeMap::new(),
            next_raise_at: Moment(0),
            counters: CommandCounters::default(),
        }
    }

    /// The highest token that this leader may have given out.
    pub fn newest(&self) -> FencingToken {
        self.newest
    }

    /// The number of machines with unconfirmed starts.
    pub fn unconfirmed_machine_count(&self) -> usize {
        self.unconfirmed_machines.len()
    }

    /// Machines with unconfirmed starts, and the highest token that one of these starts carries.
    pub(super) fn unconfirmed_machines(&self) -> impl Iterator<Item = (&String, FencingToken)> {
        self.unconfirmed_machines
            .iter()
            .map(|(name, fencing_token)| (name, *fencing_token))
    }

    /// The highest token that an unconfirmed start on this machine carries, if it has any.
    pub(super) fn unconfirmed_token(&self, machine: &str) -> Option<FencingToken> {
        self.unconfirmed_machines.get(machine).copied()
    }

    /// Notes a start with this token on this machine that is unconfirmed.
    pub(super) fn note_unconfirmed(&mut self, machine: &str, fencing_token: FencingToken) {
        let highest = self
            .unconfirmed_machines
            .entry(machine.to_string())
            .or_insert(fencing_token);
        *highest = fencing_token.max(*highest);
    }

    /// Notes that no start on this machine is unconfirmed any more.
    pub(super) fn forget(&mut self, machine: &str) {
        self.unconfirmed_machines.remove(machine);
    }

    /// True if a higher token may be requested now.
    pub(super) fn may_raise(&self, now: Moment) -> bool {
        now >= self.next_raise_at
    }

    /// A higher token is on record for this leader alone.
    pub(super) fn raised(&mut self, fencing_token: FencingToken, now: Moment) {
        self.newest = self.newest.max(fencing_token);
        self.next_raise_at = now + RAISE_INTERVAL;
        self.counters.raises += 1;
    }

    /// A raise was refused or got no answer: it is tried again later.
    pub(super) fn raise_failed(&mut self, now: Moment) {
        self.next_raise_at = now + RETRY_INTERVAL;
    }
}
