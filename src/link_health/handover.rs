//! Handing the lead over: the record, the transaction, and what candidates read of it.

use super::{Links, lock};
use crate::controller::Controller;
use crate::leadership::{LEADER_KEY, LeaderLease, PREFERRED_ZONE_KEY};
use crate::store::{Change, StorePriority, from_value, to_value};
use crate::time::Micros;
use aspenreel_link_health::election::Candidate;
use aspenreel_link_health::evidence::{Link, NodeName};
use aspenreel_link_health::handover::{HandoverPlanner, HandoverRecord, Reason};
use std::time::Duration;

/// The last handover.
pub const HANDOVER_KEY: &str = "handover";
/// Direct calls that are under way are waited for this long: longer than any of them takes.
const CALLS_END: Micros = Micros::from_millis(1600);
const LOOK_EVERY: Duration = Duration::from_millis(20);

impl Controller {
    /// The last handover on record; None as well if it can't be read.
    fn last_handover(&self) -> Option<HandoverRecord> {
        let row = self
            .store
            .get(HANDOVER_KEY, StorePriority::Leadership)
            .ok()??;
        from_value(&row.data)
    }

    /// A planner for a term that begins.
    pub fn plan_handovers(&self) -> Option<HandoverPlanner> {
        self.links.as_ref()?;
        let last = match self.store.get(HANDOVER_KEY, StorePriority::Leadership) {
            Ok(row) => row.and_then(|row| from_value(&row.data)),
            // One may have been a moment ago, for all that is known.
            Err(_) => Some(HandoverRecord {
                term: 0,
                preferred: NodeName(self.settings.node.clone()),
                reason: Reason::WorkersUnheard,
                at: self.os.wall().0,
                streak: 1,
            }),
        };
        Some(HandoverPlanner::new(last))
    }

    /// How long this controller waits before it stands, where links are watched.
    pub fn candidate_wait(&self, in_silent_zone: bool) -> Option<Micros> {
        let links = self.links.as_ref()?;
        let newest_term = self.state().newest_term;
        // Only the handover that ended the newest term prefers anybody.
        let last = self.last_handover();
        let handover = last.filter(|record| record.term == newest_term);
        let candidate = Candidate {
            name: &links.own,
            refused_workers: links.refused_workers(self.now()),
            in_silent_zone,
            state_writes: lock(&links.tracker).state(&Link::StateWrites),
            handover: handover.as_ref(),
        };
        Some(candidate.wait())
    }

    /// Gives the lead up for the preferred peer. This controller has stopped acting already.
    ///
    /// One transaction, guarded by the lead itself, records the handover and removes the leader. If it
    /// gets no answer nothing is lost: the lease is ended after it, and a late one fails its guard once
    /// somebody else leads.
    pub fn hand_over(
        &self,
        leader_lease: &LeaderLease,
        record: &HandoverRecord,
        silent_zone: Option<&str>,
    ) {
        self.await_direct_calls();
        let mut changes = vec![
            Change::write(HANDOVER_KEY, to_value(record)),
            Change::delete(LEADER_KEY),
        ];
        // Controllers that don't watch links go by this.
        changes.extend(silent_zone.map(|zone| Change::write(PREFERRED_ZONE_KEY, to_value(&zone))));
        match self.store.transact(
            &[leader_lease.precondition()],
            &changes,
            StorePriority::Leadership,
        ) {
            Ok(_) => log::info!("term {} is handed over", leader_lease.term),
            Err(e) => log::info!("the handover is not on record: {e}"),
        }
    }

    /// Orders that are on their way arrive, or are given up, before somebody else leads.
    fn await_direct_calls(&self) {
        let began = self.now();
        let under_way = || {
            let state = self.state();
            state
                .scheduler
                .as_ref()
                .is_some_and(|c| !c.commands.calls_in_flight.is_empty())
        };
        while under_way() && self.now() - began < CALLS_END {
            self.os.sleep(LOOK_EVERY);
        }
    }
}

impl Links {
    fn refused_workers(&self, now: crate::time::Moment) -> u32 {
        lock(&self.refused).count(now)
    }
}
