//! The decision whether a leader hands leadership over, and to which peer.
//!
//! A leader that less than half of its workers reach, or that can't write, hands over only to a peer that has
//! been clearly better connected for some time, and only after a pause since the last handover. The last
//! handover is recorded in the key-value store, so the pause applies to all controllers together: however
//! links flap, the number of handovers in any period of time is bounded.

use crate::link::NodeName;
use crate::monitor::LinkState;
use crate::reachability::Reachability;
use crate::settings::LinkSettings;
use crate::view::LinkView;
use aspenreel_time::{Micros, Moment, WallTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A better-connected peer is reached by more workers than the leader. The difference must be at least the
/// number of expected workers divided by this.
const MARGIN_DIVISOR: u32 = 4;
/// Upper bound of the number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 16;

/// Why leadership is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandoverReason {
    /// Most workers don't reach the leader, and more workers reach a peer.
    #[serde(rename = "workers-unheard")]
    WorkersUnreachable,
    /// The leader's writes to the key-value store fail, and those of a peer succeed.
    CannotWrite,
}

/// The last handover, as recorded in the key-value store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The term that ended with the handover.
    pub term: u64,
    /// The controller that should lead next.
    pub preferred: NodeName,
    /// Why leadership was handed over.
    pub reason: HandoverReason,
    /// Wall-clock time of the handover, in microseconds since the Unix epoch.
    pub at: u64,
    /// Number of consecutive handovers, each less than twice the pause after the one before. Includes this one.
    pub streak: u32,
}

impl HandoverRecord {
    /// Minimum time between this handover and the next one.
    fn pause(&self, settings: &LinkSettings) -> Micros {
        let doublings = self.streak.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = settings.handover_pause.0.saturating_mul(1 << doublings);
        Micros(pause).min(settings.handover_pause_max)
    }
}

/// A decision to hand leadership over to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The peer that should lead next.
    pub to: NodeName,
    /// Why leadership is handed over.
    pub reason: HandoverReason,
}

/// The inputs of a leader's handover decision.
#[derive(Clone, Copy, Debug)]
pub struct HandoverInput<'a> {
    /// The leader's term.
    pub term: u64,
    /// How many workers reach the leader.
    pub reachability: Reachability,
    /// State of the leader's link for writes to the key-value store.
    pub state_writes: LinkState,
    /// The peers' views that have not expired.
    pub views: &'a [&'a LinkView],
    /// For each peer that the leader doesn't reach, the number of silent workers in the peer's zone. These
    /// workers are assumed to be on the peer's side of a network partition and to reach the peer: it can take
    /// up to the duration of a lease until they try the peer and are counted in its view.
    pub silent_workers_by_unreachable_peer: &'a BTreeMap<NodeName, u32>,
}

impl HandoverInput<'_> {
    /// Number of workers that reach a peer, or are assumed to reach it once they try it.
    fn reachable_workers(&self, view: &LinkView) -> u32 {
        let assumed = self.silent_workers_by_unreachable_peer.get(&view.from);
        view.reachability
            .reachable
            .max(assumed.copied().unwrap_or(0))
    }

    /// The best-connected peer and the reason to prefer it to the leader, if there is one. Of equally connected
    /// peers, the first by name is chosen.
    fn better_connected_peer(&self) -> Option<Handover> {
        let can_lead =
            |view: &&LinkView| view.term == self.term && !view.leads && view.reaches_store();
        let mut candidates: Vec<&LinkView> = self.views.iter().copied().filter(can_lead).collect();
        candidates.sort_by(|a, b| {
            let more_workers = self.reachable_workers(b).cmp(&self.reachable_workers(a));
            more_workers.then_with(|| a.from.cmp(&b.from))
        });
        let best = candidates.first()?;
        let handover = |reason| Handover {
            to: best.from.clone(),
            reason,
        };
        if self.state_writes == LinkState::Down {
            return Some(handover(HandoverReason::CannotWrite));
        }
        let margin = (self.reachability.expected / MARGIN_DIVISOR).max(1);
        let more_workers = self.reachable_workers(best) >= self.reachability.reachable + margin;
        (self.reachability.most_are_unreachable() && more_workers)
            .then(|| handover(HandoverReason::WorkersUnreachable))
    }
}

/// Decides on handovers during one term of one leader.
#[derive(Debug, Default)]
pub struct HandoverPlanner {
    /// Set while any peer is better connected than the leader. It need not be the same peer all the time, since
    /// the views of different peers arrive at different times.
    better_connected: Option<BetterConnected>,
    last: Option<HandoverRecord>,
}

/// The period for which some peer has been better connected than the leader, for the same reason.
#[derive(Clone, Copy, Debug)]
struct BetterConnected {
    reason: HandoverReason,
    since: Moment,
}

impl HandoverPlanner {
    /// Creates a planner for a new term. `last` is the last recorded handover.
    pub fn new(last: Option<HandoverRecord>) -> HandoverPlanner {
        HandoverPlanner {
            better_connected: None,
            last,
        }
    }

    /// Returns a handover once some peer has been better connected for [`LinkSettings::handover_after`] and the
    /// pause after the last handover is over. Must be called several times within `handover_after`.
    pub fn decide(
        &mut self,
        input: &HandoverInput<'_>,
        now: Moment,
        wall: WallTime,
        settings: &LinkSettings,
    ) -> Option<Handover> {
        let Some(better) = input.better_connected_peer() else {
            self.better_connected = None;
            return None;
        };
        let same_reason = |before: &BetterConnected| before.reason == better.reason;
        let since = self
            .better_connected
            .filter(same_reason)
            .map_or(now, |before| before.since);
        self.better_connected = Some(BetterConnected {
            reason: better.reason,
            since,
        });
        let has_lasted = now - since >= settings.handover_after;
        (has_lasted && !self.is_paused(wall, settings)).then_some(better)
    }

    /// The record of a handover that is carried out at the wall-clock time `wall`.
    pub fn record(
        &self,
        handover: &Handover,
        term: u64,
        wall: WallTime,
        settings: &LinkSettings,
    ) -> HandoverRecord {
        // A streak ends when there has been no handover for twice the pause.
        let last = self.last.as_ref();
        let streak = last
            .filter(|last| time_since(last, wall) < Micros(2 * last.pause(settings).0))
            .map_or(1, |last| last.streak.saturating_add(1));
        HandoverRecord {
            term,
            preferred: handover.to.clone(),
            reason: handover.reason,
            at: wall.0,
            streak,
        }
    }

    fn is_paused(&self, wall: WallTime, settings: &LinkSettings) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|last| time_since(last, wall) < last.pause(settings))
    }
}

fn time_since(record: &HandoverRecord, wall: WallTime) -> Micros {
    Micros(wall.0.saturating_sub(record.at))
}
