//! Whether a leader should hand leadership over, and to whom.
//!
//! A leader that less than half of its workers reach, or that can't write, hands over only to a peer that has
//! been clearly better placed for a while, and not soon after the last handover. The last handover is on
//! record in the key-value store, so that the pause holds for all controllers together: however links flap,
//! the number of handovers in any span of time is bounded.

use crate::link::NodeName;
use crate::monitor::LinkState;
use crate::reachability::Reachability;
use crate::settings::LinkSettings;
use crate::view::LinkView;
use aspenreel_time::{Micros, Moment, WallTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// At least the expected workers divided by this must reach a better-placed peer in addition to those that
/// reach the leader.
const MARGIN_DIVISOR: u32 = 4;
/// More doublings of the pause than this make no difference.
const MAX_DOUBLINGS: u32 = 16;

/// Why leadership is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandoverReason {
    /// Most workers don't reach the leader, and more of them reach a peer.
    #[serde(rename = "workers-unheard")]
    WorkersUnreachable,
    /// The leader's writes to the key-value store fail, and a peer's don't.
    CannotWrite,
}

/// The last handover, as it is on record in the key-value store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The term that was handed over.
    pub term: u64,
    /// The controller that should lead next.
    pub preferred: NodeName,
    /// Why leadership was handed over.
    pub reason: HandoverReason,
    /// The time of day of the handover, in microseconds.
    pub at: u64,
    /// The number of handovers in a row with less than twice the pause between them, this one included.
    pub streak: u32,
}

impl HandoverRecord {
    /// How long after this handover the next one may be made.
    fn pause(&self, settings: &LinkSettings) -> Micros {
        let doublings = self.streak.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = settings.handover_pause.0.saturating_mul(1 << doublings);
        Micros(pause).min(settings.handover_pause_max)
    }
}

/// A decision to hand leadership over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The peer that should lead next.
    pub to: NodeName,
    /// Why it should.
    pub reason: HandoverReason,
}

/// What a leader knows when it considers a handover.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The leader's term.
    pub term: u64,
    /// How many workers reach it.
    pub reachability: Reachability,
    /// Its link for writes to the key-value store.
    pub state_writes: LinkState,
    /// The peers' views that may be used.
    pub views: &'a [&'a LinkView],
    /// For each peer that the leader doesn't reach, the number of silent workers in the peer's zone. They are
    /// assumed to be on the peer's side of a network partition and to reach it: until they try the peer and
    /// are counted in its view, up to a lease can pass.
    pub silent_near_unreached: &'a BTreeMap<NodeName, u32>,
}

impl Situation<'_> {
    /// How many workers reach a peer, or would if they tried it.
    fn workers_of(&self, view: &LinkView) -> u32 {
        let assumed = self.silent_near_unreached.get(&view.from);
        view.reachability
            .reachable
            .max(assumed.copied().unwrap_or(0))
    }

    /// The peer that is better placed, and in which respect. Of equal peers the first by name is chosen.
    fn better_placed(&self) -> Option<Handover> {
        let can_lead =
            |view: &&LinkView| view.term == self.term && !view.leads && view.reaches_store();
        let mut able: Vec<&LinkView> = self.views.iter().copied().filter(can_lead).collect();
        able.sort_by(|a, b| {
            let more_workers = self.workers_of(b).cmp(&self.workers_of(a));
            more_workers.then_with(|| a.from.cmp(&b.from))
        });
        let best = able.first()?;
        let handover = |reason| Handover {
            to: best.from.clone(),
            reason,
        };
        if self.state_writes == LinkState::Down {
            return Some(handover(HandoverReason::CannotWrite));
        }
        let margin = (self.reachability.expected / MARGIN_DIVISOR).max(1);
        let more_workers = self.workers_of(best) >= self.reachability.reachable + margin;
        (self.reachability.most_are_unreachable() && more_workers)
            .then(|| handover(HandoverReason::WorkersUnreachable))
    }
}

/// Decides about handovers during one term of one leader.
#[derive(Debug, Default)]
pub struct HandoverPlanner {
    /// Set while some peer is better placed. Which one may change: peers' views arrive in turn.
    better_placed: Option<BetterPlaced>,
    last: Option<HandoverRecord>,
}

/// Some peer is better placed than the leader.
#[derive(Clone, Copy, Debug)]
struct BetterPlaced {
    reason: HandoverReason,
    since: Moment,
}

impl HandoverPlanner {
    /// Begins a term, with the last handover on record.
    pub fn new(last: Option<HandoverRecord>) -> HandoverPlanner {
        HandoverPlanner {
            better_placed: None,
            last,
        }
    }

    /// A handover, once some peer has been better placed for [`LinkSettings::handover_after`] and the pause
    /// after the last handover is over. Must be called several times in that span.
    pub fn decide(
        &mut self,
        situation: &Situation<'_>,
        now: Moment,
        wall: WallTime,
        settings: &LinkSettings,
    ) -> Option<Handover> {
        let Some(better) = situation.better_placed() else {
            self.better_placed = None;
            return None;
        };
        let same_reason = |before: &BetterPlaced| before.reason == better.reason;
        let since = self
            .better_placed
            .filter(same_reason)
            .map_or(now, |before| before.since);
        self.better_placed = Some(BetterPlaced {
            reason: better.reason,
            since,
        });
        let has_lasted = now - since >= settings.handover_after;
        (has_lasted && !self.is_paused(wall, settings)).then_some(better)
    }

    /// The record of a handover that is carried out at the time of day `wall`.
    pub fn record(
        &self,
        handover: &Handover,
        term: u64,
        wall: WallTime,
        settings: &LinkSettings,
    ) -> HandoverRecord {
        // A streak ends after twice the pause without a handover.
        let last = self.last.as_ref();
        let streak = last
            .filter(|last| since(last, wall) < Micros(2 * last.pause(settings).0))
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
        last.is_some_and(|last| since(last, wall) < last.pause(settings))
    }
}

fn since(record: &HandoverRecord, wall: WallTime) -> Micros {
    Micros(wall.0.saturating_sub(record.at))
}
