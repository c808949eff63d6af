//! Whether a leader should hand the lead over, and to whom.
//!
//! A leader that hears less than half of its workers, or can't write, gives the lead up only for a peer
//! that is clearly better placed, for a while, and not soon after the last handover. The time and the
//! number of the last handovers are on record, so that the pause holds for all controllers together:
//! however links flap, the number of handovers in any span is bounded.

use crate::evidence::NodeName;
use crate::monitor::LinkState;
use crate::settings::LinkSettings;
use crate::view::LinkView;
use crate::workers::Hearing;
use aspenreel_time::{Micros, Moment, WallTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A peer must hear at least one in so many of the known workers more than the leader does.
const MARGIN_SHARE: u32 = 4;
/// More doublings of the pause than this make no difference.
const MOST_DOUBLINGS: u32 = 16;

/// Why the lead is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Most workers are silent here, and a peer hears more of them.
    WorkersUnheard,
    /// Writes fail here, and a peer's don't.
    CannotWrite,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Reason::WorkersUnheard => "most workers are silent here",
            Reason::CannotWrite => "the state service takes no writes from here",
        })
    }
}

/// The last handover, as it is on record in the state service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The term that was handed over.
    pub term: u64,
    /// The controller that should lead next.
    pub preferred: NodeName,
    /// Why.
    pub reason: Reason,
    /// The time of day, in microseconds.
    pub at: u64,
    /// How many handovers followed each other within their pauses, this one included.
    pub streak: u32,
}

impl HandoverRecord {
    /// How long after this handover the next one may be.
    fn pause(&self, settings: &LinkSettings) -> Micros {
        let doublings = self.streak.saturating_sub(1).min(MOST_DOUBLINGS);
        let pause = settings.handover_pause.0.saturating_mul(1 << doublings);
        Micros(pause).min(settings.handover_pause_max)
    }
}

/// A decision to hand the lead over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The peer that should lead next.
    pub to: NodeName,
    /// Why.
    pub reason: Reason,
}

/// What a leader knows when it considers a handover.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The leader's term.
    pub term: u64,
    /// Which workers it hears.
    pub hearing: Hearing,
    /// Its link for writes.
    pub state_writes: LinkState,
    /// Peers' views that are young enough.
    pub views: &'a [&'a LinkView],
    /// By peer that isn't reached from here, the silent workers of its zone. They are taken to be beyond
    /// the same cut as the peer, so that it hears them: it takes workers up to a lease to find it and be counted.
    pub silent_beyond: &'a BTreeMap<NodeName, u32>,
}

impl Situation<'_> {
    /// How many workers a peer hears, or would hear.
    fn hears(&self, view: &LinkView) -> u32 {
        let beyond = self.silent_beyond.get(&view.from);
        view.hearing.heard.max(beyond.copied().unwrap_or(0))
    }

    /// The peer that is better placed, and in what. Equal peers are told apart by name.
    fn better_placed(&self) -> Option<Handover> {
        let mut able = Vec::new();
        for view in self.views {
            if view.term == self.term && !view.leads && view.has_state() {
                able.push(*view);
            }
        }
        able.sort_by(|a, b| {
            let more_workers = self.hears(b).cmp(&self.hears(a));
            more_workers.then_with(|| a.from.cmp(&b.from))
        });
        let best = able.first()?;
        let handover = |reason| Handover {
            to: best.from.clone(),
            reason,
        };
        if self.state_writes == LinkState::Down {
            return Some(handover(Reason::CannotWrite));
        }
        let margin = (self.hearing.known / MARGIN_SHARE).max(1);
        let hears_more = self.hears(best) >= self.hearing.heard + margin;
        (self.hearing.is_blind() && hears_more).then(|| handover(Reason::WorkersUnheard))
    }
}

/// Considers handovers for as long as one controller leads.
#[derive(Debug, Default)]
pub struct HandoverPlanner {
    /// Since when some peer has been better placed, and in what. Which one may change: views come in turn.
    better_since: Option<(Reason, Moment)>,
    last: Option<HandoverRecord>,
}

impl HandoverPlanner {
    /// Begins a term, with the last handover on record.
    pub fn new(last: Option<HandoverRecord>) -> HandoverPlanner {
        HandoverPlanner {
            better_since: None,
            last,
        }
    }

    /// Looks at the situation; a handover once a peer has been better placed for long enough.
    pub fn consider(
        &mut self,
        situation: &Situation<'_>,
        now: Moment,
        wall: WallTime,
        settings: &LinkSettings,
    ) -> Option<Handover> {
        let Some(better) = situation.better_placed() else {
            self.better_since = None;
            return None;
        };
        let before = self
            .better_since
            .filter(|(reason, _)| *reason == better.reason);
        let since = before.map_or(now, |(_, since)| since);
        let waited = now - since >= settings.handover_after;
        self.better_since = Some((better.reason, since));
        (waited && !self.is_paused(wall, settings)).then_some(better)
    }

    /// The record of a handover that is carried out now.
    pub fn record(
        &self,
        handover: &Handover,
        term: u64,
        wall: WallTime,
        settings: &LinkSettings,
    ) -> HandoverRecord {
        // Twice the pause without a handover ends a streak.
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
