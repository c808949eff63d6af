//! The delay before a candidate campaigns for leadership.
//!
//! Well-connected candidates campaign first. Every delay is bounded, so a controller campaigns even if it is the
//! only one left: a preference for other candidates never leaves the cluster without a leader.

use crate::handover::HandoverRecord;
use crate::link::NodeName;
use crate::monitor::LinkState;
use aspenreel_time::Micros;

/// The delay of a candidate that has refused no workers recently and that nothing prefers or disadvantages.
const DEFAULT_DELAY: Micros = Micros::from_millis(500);
/// The delay of a candidate that the last leader preferred, or that is in the zone of that leader's silent workers.
const PREFERRED_DELAY: Micros = Micros::from_millis(30);
/// Extra delay of the other candidates if a handover preferred one. Longer than the election of that candidate takes.
const NOT_PREFERRED_EXTRA_DELAY: Micros = Micros::from_millis(1200);
/// Extra delay of a candidate whose writes to the key-value store failed recently.
const FAILING_WRITES_EXTRA_DELAY: Micros = Micros::from_millis(800);
/// Upper bound of every campaign delay.
pub const MAX_CAMPAIGN_DELAY: Micros = Micros::from_millis(2500);

/// The inputs of a candidate's campaign delay.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The candidate's name.
    pub name: &'a NodeName,
    /// Number of workers whose heartbeats the candidate has refused recently. These workers can't reach the last
    /// leader, and can reach the candidate.
    pub refused_workers: u32,
    /// Whether the silent workers of the last leader are in the candidate's zone.
    pub in_silent_zone: bool,
    /// State of the candidate's link for writes to the key-value store.
    pub state_writes: LinkState,
    /// The handover that ended the last term, if the term ended with a handover.
    pub handover: Option<&'a HandoverRecord>,
}

impl Candidate<'_> {
    /// Time to wait before campaigning, at most [`MAX_CAMPAIGN_DELAY`].
    pub fn campaign_delay(&self) -> Micros {
        let mut delay = Micros(DEFAULT_DELAY.0 / (1 + u64::from(self.refused_workers)));
        if self.in_silent_zone {
            delay = delay.min(PREFERRED_DELAY);
        }
        match self.handover {
            Some(record) if record.preferred == *self.name => delay = PREFERRED_DELAY,
            Some(_) => delay = delay + NOT_PREFERRED_EXTRA_DELAY,
            None => {}
        }
        if matches!(self.state_writes, LinkState::Suspect | LinkState::Down) {
            delay = delay + FAILING_WRITES_EXTRA_DELAY;
        }
        delay.min(MAX_CAMPAIGN_DELAY)
    }
}
