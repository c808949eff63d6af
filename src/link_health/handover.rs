//! Execution of a leadership handover, and the campaign delay that candidates derive from its record.

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
/// Maximum wait for direct calls that are in flight. Longer than the timeout of any of them.
const MAX_CALL_WAIT: Micros = Micros::from_millis(1600);
/// Time between two checks whether direct calls are in flight.
const CALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Controller {
    /// The last recorded handover. `None` if there is none, or if it can't be read.
    fn last_handover(&self) -> Option<HandoverRecord> {
        let row = self
            .store
            .get(HANDOVER_KEY, StorePriority::Leadership)
            .ok()??;
        from_value(&row.data)
    }

    /// Creates a planner for a new term. `None` if links aren't monitored.
    pub fn new_handover_planner(&self) -> Option<HandoverPlanner> {
        self.link_health.as_ref()?;
        let last = match self.store.get(HANDOVER_KEY, StorePriority::Leadership) {
            Ok(row) => row.and_then(|row| from_value(&row.data)),
            // The last handover is unknown. Assume that it happened just now, so that the pause is kept in any case.
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

    /// Time that this controller waits before it campaigns. `None` if links aren't monitored.
    pub fn campaign_delay(&self, in_silent_zone: bool) -> Option<Micros> {
        let link_health = self.link_health.as_ref()?;
        let newest_term = self.state().newest_term;
        // The preference of a handover applies only to the election right after the term that it ended.
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

    /// Gives up leadership in favor of the preferred peer. This controller must have stopped acting as the leader.
    ///
    /// One transaction records the handover and deletes the leader's record, with the precondition that this
    /// controller still leads. A transaction of unknown outcome does no harm: the caller ends the lease next, and if
    /// the transaction is applied after another controller has become the leader, its precondition fails.
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
        // Controllers that don't monitor their links read only the preferred zone.
        changes.extend(silent_zone.map(|zone| Change::write(PREFERRED_ZONE_KEY, to_value(&zone))));
        match self
            .store
            .transact(&[lease.precondition()], &changes, StorePriority::Leadership)
        {
            Ok(_) => {
                log::info!(
                    term = lease.term, preferred:% = record.preferred;
                    "leadership handover recorded"
                )
            }
            Err(error) => {
                log::info!(
                    term = lease.term, preferred:% = record.preferred, error:%;
                    "recording leadership handover failed"
                )
            }
        }
    }

    /// Waits until all direct calls in flight have ended, but no longer than `MAX_CALL_WAIT`. A command of such a call
    /// could otherwise arrive at a worker after the next leader has been elected.
    fn await_direct_calls(&self) {
        let started_at = self.now();
        let calls_in_flight = || {
            let state = self.state();
            state
                .scheduler
                .as_ref()
                .is_some_and(|scheduler| !scheduler.commands.calls_in_flight.is_empty())
        };
        while calls_in_flight() && self.now() - started_at < MAX_CALL_WAIT {
            self.os.sleep(CALL_CHECK_INTERVAL);
        }
    }
}
