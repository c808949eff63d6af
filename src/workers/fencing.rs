//! Fencing tokens issued by this leader.
//!
//! A fencing token is a value of the stored term counter; each value is used by one leader only. A leader begins
//! with its term's number and may raise the counter further while it leads (`leadership::fencing_counter`). From then
//! on it answers machines with unconfirmed starts only with the new token. There are two cases: either the worker
//! receives a reply, and thus the token, and refuses the unconfirmed start; or it receives no reply, and its
//! agent epoch ends with its lease. Until then its tasks keep running, and no other machine is affected.
//!
//! An attempt whose start was answered is cleared in a reply with a higher token than the start's, so that the worker
//! refuses copies of the command that the network delivers later (module `delivery_status`). Such clears aren't urgent:
//! the attempt has exited, and its task may already run elsewhere.
//!
//! # Cancellations
//!
//! A confirmed cancellation must be complete within `cancel_s`. As long as the higher token isn't stored, for
//! example because the key-value store refuses writes, the machine would continue with the old one. Therefore
//! its heartbeats are not answered once `cancel_s` minus one lease (with clock drift and margins) has passed since
//! the cancellation was requested: the agent epoch that the start command names ends in time. A change of leader
//! is safe at any time: a leader that has stopped answers no heartbeats, and the next one begins with a higher
//! token.

use super::FencingToken;
use crate::time::{Micros, Moment};
use std::collections::BTreeMap;

/// Minimum time between two raises of the token. Each raise costs a write; all machines that get unconfirmed
/// starts within the interval share the next token.
const RAISE_INTERVAL: Micros = Micros::from_secs(1);
/// Minimum time between two raises if only clears of exited attempts wait for the token.
const CLEAR_RAISE_INTERVAL: Micros = Micros::from_secs(5);
/// Time until a failed raise is retried.
const RETRY_INTERVAL: Micros = Micros::from_millis(500);
/// Time until a failed raise is retried if only clears wait for the token.
const CLEAR_RETRY_INTERVAL: Micros = Micros::from_secs(1);

/// Counters for direct calls and unconfirmed starts, from the beginning of this leader's term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandCounters {
    /// Finished direct calls that carried start commands.
    pub calls: u64,
    /// Start commands whose call got no answer.
    pub unconfirmed_starts: u64,
    /// Unconfirmed starts that were settled because the worker reported a higher token.
    pub ended_by_token: u64,
    /// Unconfirmed starts that ended with the worker's agent epoch or with its machine.
    pub ended_by_epoch: u64,
    /// Successful raises of the fencing token.
    pub raises: u64,
    /// Heartbeats that were left unanswered so that an agent epoch would end.
    pub withheld: u64,
}

/// Reason why some machines need a higher token than the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RaiseReason {
    /// Unconfirmed starts must be revoked.
    UnconfirmedStart,
    /// Exited attempts must be cleared.
    Clear,
}

impl RaiseReason {
    /// The value of the log field `reason`.
    pub(super) fn name(self) -> &'static str {
        match self {
            RaiseReason::UnconfirmedStart => "unconfirmed_start",
            RaiseReason::Clear => "clear",
        }
    }
}

/// The fencing tokens that this leader issues, and the machines that need a higher one.
#[derive(Debug)]
pub struct Fencing {
    /// Highest token stored for this leader.
    newest: FencingToken,
    /// Machines with unconfirmed starts, each with the highest token among these start commands.
    unconfirmed_machines: BTreeMap<String, FencingToken>,
    /// Machines with exited attempts whose start commands are still executable, each with the highest token among these
    /// start commands. The attempts are cleared once the machine's token is above it.
    blocked_clears: BTreeMap<String, FencingToken>,
    /// Earliest time of the next raise for unconfirmed starts.
    next_raise_at: Moment,
    /// Earliest time of the next raise for clears alone.
    next_clear_raise_at: Moment,
    /// Counters since the beginning of this leader's term.
    pub counters: CommandCounters,
}

impl Fencing {
    /// Creates the state of a leader that has just won this term.
    pub fn new(term: u64) -> Fencing {
        Fencing {
            newest: FencingToken::of_term(term),
            unconfirmed_machines: BTreeMap::new(),
            blocked_clears: BTreeMap::new(),
            next_raise_at: Moment(0),
            next_clear_raise_at: Moment(0),
            counters: CommandCounters::default(),
        }
    }

    /// Highest token that this leader may have issued.
    pub fn newest(&self) -> FencingToken {
        self.newest
    }

    /// Number of machines with unconfirmed starts.
    pub fn unconfirmed_machine_count(&self) -> usize {
        self.unconfirmed_machines.len()
    }

    /// Number of machines with exited attempts that wait for a higher token.
    pub fn blocked_clear_count(&self) -> usize {
        self.blocked_clears.len()
    }

    /// Machines with unconfirmed starts, each with the highest token among these start commands.
    pub(super) fn unconfirmed_machines(&self) -> impl Iterator<Item = (&String, FencingToken)> {
        self.unconfirmed_machines
            .iter()
            .map(|(name, fencing_token)| (name, *fencing_token))
    }

    /// Highest token among the unconfirmed starts on this machine; `None` if it has none.
    pub(super) fn unconfirmed_token(&self, machine: &str) -> Option<FencingToken> {
        self.unconfirmed_machines.get(machine).copied()
    }

    /// Adds an unconfirmed start on this machine whose command carries this token.
    pub(super) fn note_unconfirmed(&mut self, machine: &str, fencing_token: FencingToken) {
        insert_highest(&mut self.unconfirmed_machines, machine, fencing_token);
    }

    /// Removes a machine that has no more unconfirmed starts.
    pub(super) fn note_confirmed(&mut self, machine: &str) {
        self.unconfirmed_machines.remove(machine);
    }

    /// Adds an exited attempt on this machine that must not be cleared in a reply with this token or a lower one.
    pub(super) fn note_blocked_clear(&mut self, machine: &str, fencing_token: FencingToken) {
        insert_highest(&mut self.blocked_clears, machine, fencing_token);
    }

    /// Removes and returns the machines whose clears the newest token allows.
    pub(super) fn take_unblocked_clears(&mut self) -> Vec<String> {
        let newest = self.newest;
        let is_unblocked = |fencing_token: &FencingToken| newest > *fencing_token;
        let tokens = self.blocked_clears.iter();
        let unblocked = tokens.filter(|(_, fencing_token)| is_unblocked(fencing_token));
        let names = unblocked.map(|(name, _)| name.clone()).collect();
        self.blocked_clears
            .retain(|_, fencing_token| !is_unblocked(fencing_token));
        names
    }

    /// Removes a machine whose agent epoch has ended.
    pub(super) fn remove_machine(&mut self, machine: &str) {
        self.unconfirmed_machines.remove(machine);
        self.blocked_clears.remove(machine);
    }

    /// True if the interval between two raises allows a raise for this reason now.
    pub(super) fn may_raise(&self, reason: RaiseReason, now: Moment) -> bool {
        match reason {
            RaiseReason::UnconfirmedStart => now >= self.next_raise_at,
            RaiseReason::Clear => now >= self.next_clear_raise_at,
        }
    }

    /// Applies a successful raise: this token is stored for this leader only.
    pub(super) fn raised(&mut self, fencing_token: FencingToken, now: Moment) {
        self.newest = self.newest.max(fencing_token);
        self.next_raise_at = now + RAISE_INTERVAL;
        self.next_clear_raise_at = now + CLEAR_RAISE_INTERVAL;
        self.counters.raises += 1;
    }

    /// Schedules a retry after a raise was refused or got no answer.
    pub(super) fn raise_failed(&mut self, now: Moment) {
        self.next_raise_at = now + RETRY_INTERVAL;
        self.next_clear_raise_at = now + CLEAR_RETRY_INTERVAL;
    }
}

/// Inserts the token for this machine, unless a higher one is already there.
fn insert_highest(
    tokens: &mut BTreeMap<String, FencingToken>,
    machine: &str,
    fencing_token: FencingToken,
) {
    match tokens.get_mut(machine) {
        Some(highest) => *highest = fencing_token.max(*highest),
        None => {
            tokens.insert(machine.to_string(), fencing_token);
        }
    }
}
