//! How long a candidate waits before it campaigns for leadership.
//!
//! Well-connected candidates campaign first. Every delay is bounded, so the last controller that is left
//! campaigns as well: a preference never leaves the cluster without a leader.

use crate::handover::HandoverRecord;
use crate::link::NodeName;
use crate::monitor::LinkState;
use aspenreel_time::Micros;

/// The delay of a candidate of which nothing is known, good or bad.
const DEFAULT_DELAY: Micros = Micros::from_millis(500);
/// The delay of a candidate that the last leader preferred, or in whose zone that leader's silent workers are.
const PREFERRED_DELAY: Micros = Micros::from_millis(30);
/// Added for others while a candidate is preferred: longer than its election takes.
const PREFERENCE_HEADSTART: Micros = Micros::from_millis(1200);
/// Added for a candidate whose writes failed lately.
const POOR_LINK_DELAY: Micros = Micros::from_millis(800);
/// No candidate waits longer than this.
pub const MAX_CAMPAIGN_DELAY: Micros = Micros::from_millis(2500);

/// What a candidate knows before an election.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a NodeName,
    /// The number of workers whose heartbeats it has refused lately: they look for a leader that they reach.
    pub refused_workers: u32,
    /// Whether the last leader's silent workers are in this candidate's zone.
    pub in_silent_zone: bool,
    /// Its link for writes to the key-value store.
    pub state_writes: LinkState,
    /// The handover that ended the last term, if one did.
    pub handover: Option<&'a HandoverRecord>,
}

impl Candidate<'_> {
    /// How long it waits, at most [`MAX_CAMPAIGN_DELAY`].
    pub fn campaign_delay(&self) -> Micros {
        let mut delay = Micros(DEFAULT_DELAY.0 / (1 + u64::from(self.refused_workers)));
        if self.in_silent_zone {
            delay = delay.min(PREFERRED_DELAY);
        }
        match self.handover {
            Some(record) if record.preferred == *self.name => delay = PREFERRED_DELAY,
            Some(_) => delay = delay + PREFERENCE_HEADSTART,
            None => {}
        }
        if matches!(self.state_writes, LinkState::Suspect | LinkState::Down) {
            delay = delay + POOR_LINK_DELAY;
        }
        delay.min(MAX_CAMPAIGN_DELAY)
    }
}
