//! How long a candidate waits before it stands for election.
//!
//! Well-connected candidates stand first. Every wait is bounded, so the last controller that is left
//! stands as well: preference never leaves the cluster without a leader.

use crate::evidence::NodeName;
use crate::handover::HandoverRecord;
use crate::monitor::LinkState;
use aspenreel_time::Micros;

/// The wait of a candidate of which nothing is known, good or bad.
const USUAL_WAIT: Micros = Micros::from_millis(500);
/// The wait of the one whom the last leader preferred, or in whose zone its silent workers are.
const PREFERRED_WAIT: Micros = Micros::from_millis(30);
/// What others add while somebody else is preferred: it needs no longer to be elected.
const PREFERENCE_HEADSTART: Micros = Micros::from_millis(1200);
/// What a candidate adds whose writes failed lately.
const POOR_LINK_WAIT: Micros = Micros::from_millis(800);
/// No candidate waits longer than this.
pub const LONGEST_WAIT: Micros = Micros::from_millis(2500);

/// What a candidate knows before an election.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a NodeName,
    /// Workers that came to it lately.
    pub refused_workers: u32,
    /// The last leader's silent workers are in this candidate's zone.
    pub in_silent_zone: bool,
    /// Its link for writes.
    pub state_writes: LinkState,
    /// The handover that ended the last term, if one did.
    pub handover: Option<&'a HandoverRecord>,
}

impl Candidate<'_> {
    /// How long it waits.
    pub fn wait(&self) -> Micros {
        let mut wait = Micros(USUAL_WAIT.0 / (1 + u64::from(self.refused_workers)));
        if self.in_silent_zone {
            wait = wait.min(PREFERRED_WAIT);
        }
        match self.handover {
            Some(record) if record.preferred == *self.name => wait = PREFERRED_WAIT,
            Some(_) => wait = wait + PREFERENCE_HEADSTART,
            None => {}
        }
        if matches!(self.state_writes, LinkState::Suspect | LinkState::Down) {
            wait = wait + POOR_LINK_WAIT;
        }
        wait.min(LONGEST_WAIT)
    }
}
