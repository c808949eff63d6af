//! The leadership of one term, as the leader holds it.

use super::leader_record::LEADER_KEY;
use super::term_counter::TermCounter;
use crate::store::Precondition;
use crate::time::{Micros, Moment, min_with_drift};

/// The lease is given up this long before it could have expired: for the time between a look at the clock and
/// the action that relies on it.
const EXPIRY_MARGIN: Micros = Micros::from_millis(250);

/// A leadership that was won. It counts only before `valid_until`.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    /// The term, which no other leader has.
    pub term: u64,
    /// The store's lease that the key `leader` hangs on.
    pub lease_id: u64,
    /// The revision at which the leadership was won: a precondition of all of this leader's writes. Jobs that
    /// were accepted later belong to this term.
    pub revision: u64,
    /// The revision at which a leader of an earlier version was last elected, 0 if none ever was.
    pub older_version_led_at: u64,
    /// The counter of terms as this leader last knew it.
    pub term_counter: TermCounter,
    /// The revision of the stored counter.
    pub term_counter_revision: u64,
    /// The lease surely lives until then. Afterwards nothing may be decided or answered as the leader.
    pub valid_until: Moment,
}

impl LeaderLease {
    /// Holds while this leadership lasts.
    pub fn precondition(&self) -> Precondition {
        Precondition::new(LEADER_KEY, self.revision)
    }
}

/// Until when a lease of this duration surely lives if its grant or renewal was requested at `requested_at`: the
/// clocks of store and controller may drift apart.
pub fn lease_valid_until(requested_at: Moment, duration: Micros) -> Moment {
    requested_at + min_with_drift(duration).saturating_sub(EXPIRY_MARGIN)
}
