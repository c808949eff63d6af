//! Handing leadership over: the record, the transaction, and what candidates read of it.

use crate::controller::Controller;
use crate::leadership::{LEADER_KEY, LeaderLease, PREFERRED_ZONE_KEY};
use crate::store::{Change, StorePriority, from_value, to_value};
use crate::time::Micros;
use aspenreel_link_health::election::Candidate;
use aspenreel_link_health::handover::{HandoverPlanner, HandoverReason, HandoverRecord};
use aspenreel_link_health::link::{Link, NodeName};
use std::time::Duration;

/// The key of the last [`HandoverRecord`].
pub const HANDOVER_KEY: &str = "handover";
/// The longest wait for direct calls that are under way: longer than any of them takes.
const MAX_CALL_WAIT: Micros = Micros::from_millis(1600);
/// How often it is checked whether they have ended.
const CALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Controller {
    /// The last handover on record; `None` also if it can't be read.
    fn last_handover(&self) -> Option<HandoverRecord> {
        let row = self
            .store
            .get(HANDOVER_KEY, StorePriority::Leadership)
            .ok()??;
        from_value(&row.data)
    }

    /// A planner for a term that begins, where links are watched.
    pub fn new_handover_planner(&self) -> Option<HandoverPlanner> {
        self.link_health.as_ref()?;
        let last = match self.store.get(HANDOVER_KEY, StorePriority::Leadership) {
            Ok(row) => row.and_then(|row| from_value(&row.data)),
            // Assume that the last one was just now, so that the pause is surely kept.
            Err(_) => Some(HandoverRecord {
                term: 0,
                preferred: NodeName(self.settings.node.clone()),
                reason: HandoverReason::WorkersUnreachable,
                at: self.os.wall().0,
                streak: 1,
            }),
        };
        Some(HandoverPlanner::new(last))
    }

    /// How long this controller waits before it campaigns, where links are watched.
    pub fn campaign_delay(&self, in_silent_zone: bool) -> Option<Micros> {
        let link_health = self.link_health.as_ref()?;
        let newest_term = self.state().newest_term;
        // Only a handover that ended the newest term still states a preference.
        let last = self.last_handover();
        let handover = last.filter(|record| record.term == newest_term);
        let candidate = Candidate {
            name: &link_health.own_name,
            refused_workers: link_health.refused_workers(self.now()),
            in_silent_zone,
            state_writes: link_health.state(&Link::StateWrites),
            handover: handover.as_ref(),
        };
        Some(candidate.campaign_delay())
    }

    /// Gives leadership up for the preferred peer. This controller has stopped acting already.
    ///
    /// One transaction records the handover and removes the leader, on the precondition that this controller
    /// still leads. If it gets no answer nothing is lost: the caller ends the lease next, and a transaction that
    /// is applied late fails its precondition once another controller leads.
    pub fn hand_over(
        &self,
        lease: &LeaderLease,
        record: &HandoverRecord,
        silent_zone: Option<&str>,
    ) {
        self.await_direct_calls();
        let mut changes = vec![
            Change::write(HANDOVER_KEY, to_value(record)),
            Change::delete(LEADER_KEY),
        ];
        // Controllers that don't watch their links read only the preferred zone.
        changes.extend(silent_zone.map(|zone| Change::write(PREFERRED_ZONE_KEY, to_value(&zone))));
        match self
            .store
            .transact(&[lease.precondition()], &changes, StorePriority::Leadership)
        {
            Ok(_) => log::info!(term = lease.term; "handover recorded"),
            Err(error) => log::info!(term = lease.term, error:%; "handover not recorded"),
        }
    }

    /// Waits until commands that are under way have arrived or been given up, so that none arrives under the next
    /// leader.
    fn await_direct_calls(&self) {
        let began = self.now();
        let under_way = || {
            let state = self.state();
            state
                .scheduler
                .as_ref()
                .is_some_and(|c| !c.commands.calls_in_flight.is_empty())
        };
        while under_way() && self.now() - began < MAX_CALL_WAIT {
            self.os.sleep(CALL_CHECK_INTERVAL);
        }
    }
}
