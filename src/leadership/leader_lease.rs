//! The leader lease of one term, as the leader knows it.

use super::leader_record::LEADER_KEY;
use super::term_counter::TermCounter;
use crate::store::Precondition;
use crate::time::{Micros, Moment, min_with_drift};

/// Safety margin before the earliest possible expiry of the lease, within which the leader no longer acts. It covers
/// the time between reading the clock and the action that relies on it.
const EXPIRY_MARGIN: Micros = Micros::from_millis(250);

/// Leadership of one term after a won election, valid only before `valid_until`.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    /// Term of this leader; no other leader has the same term.
    pub term: u64,
    /// Id of the store lease to which the key `leader` is attached.
    pub lease_id: u64,
    /// Store revision of the election, which is a precondition of all of this leader's writes. Jobs accepted at a
    /// later revision belong to this term.
    pub revision: u64,
    /// Store revision at which a leader of an earlier version was last elected; 0 if none ever was.
    pub older_version_led_at: u64,
    /// Term counter as this leader last read or wrote it.
    pub term_counter: TermCounter,
    /// Store revision of `term_counter`.
    pub term_counter_revision: u64,
    /// Time until which the lease is guaranteed to be valid. From then on this controller must not make decisions or
    /// answer requests as the leader.
    pub valid_until: Moment,
}

impl LeaderLease {
    /// Precondition that holds only while this controller is still the leader of this term.
    pub fn precondition(&self) -> Precondition {
        Precondition::new(LEADER_KEY, self.revision)
    }
}

/// Time until which a lease of `duration` is guaranteed to be valid if its grant or renewal was requested at
/// `requested_at`. Allows for drift between the clocks of the store and this controller.
pub fn lease_valid_until(requested_at: Moment, duration: Micros) -> Moment {
    requested_at + min_with_drift(duration).saturating_sub(EXPIRY_MARGIN)
}
