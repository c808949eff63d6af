//! The state of one link: up, suspect or down, with hysteresis and flap damping.
//!
//! One failure makes a link suspect, one answer clears the suspicion. Failures without an answer between
//! them for [`LinkSettings::down_after`] take the link down. A link that is down must answer for a while
//! before it counts as up again, and for twice as long each time it was lost lately, up to a bound: so a
//! link that flaps spends most of its time down, and what depends on it doesn't flap along.

use crate::evidence::{Failure, Outcome};
use crate::settings::LinkSettings;
use aspenreel_time::{Micros, Moment};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Two failures can be one hiccup.
const FAILURES_TO_DOWN: u32 = 3;
/// After this long without a loss one earlier loss is forgiven.
const FORGIVE_AFTER: Micros = Micros::from_secs(60);
/// A pause between answers longer than this doesn't count as answering.
const ANSWERS_APART: Micros = Micros::from_secs(3);
/// More losses than this make no difference.
const MOST_FLAPS: u32 = 16;

/// What is believed of a link.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LinkState {
    /// Nothing was heard of it yet.
    #[default]
    Unknown,
    /// It answers.
    Up,
    /// Its last call failed.
    Suspect,
    /// It doesn't answer, or hasn't for long enough since.
    Down,
}

impl fmt::Display for LinkState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            LinkState::Unknown => "unknown",
            LinkState::Up => "up",
            LinkState::Suspect => "suspect",
            LinkState::Down => "down",
        })
    }
}

/// A change of a link's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The state before.
    pub from: LinkState,
    /// The state now.
    pub to: LinkState,
    /// The last failure, where one led to this.
    pub failure: Option<Failure>,
    /// How long the link must answer before it is up again, where it went down.
    pub recovery: Option<Micros>,
}

/// Watches one link.
#[derive(Clone, Debug, Default)]
pub struct LinkMonitor {
    state: LinkState,
    since: Moment,
    /// Failures since the last answer, and when the first of them was.
    failures: u32,
    failing_since: Option<Moment>,
    last_failure: Option<Failure>,
    last_answer: Option<Moment>,
    last_heard: Option<Moment>,
    /// While down: since when it has answered without a failure.
    answering_since: Option<Moment>,
    /// How often it went down lately.
    flaps: u32,
    forgiven_at: Moment,
}

impl LinkMonitor {
    /// What is believed now.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// It is down, and has not answered since its last failure. Unlike the state this isn't damped.
    pub fn is_failing(&self) -> bool {
        self.state == LinkState::Down && self.answering_since.is_none()
    }

    /// Since when.
    pub fn since(&self) -> Moment {
        self.since
    }

    /// When it last answered.
    pub fn last_answer(&self) -> Option<Moment> {
        self.last_answer
    }

    /// When a message of the other end last arrived.
    pub fn last_heard(&self) -> Option<Moment> {
        self.last_heard
    }

    /// How its last failing call failed.
    pub fn last_failure(&self) -> Option<Failure> {
        self.last_failure
    }

    /// How often it went down lately.
    pub fn flaps(&self) -> u32 {
        self.flaps
    }

    /// Takes in the outcome of a call or a message.
    pub fn observe(
        &mut self,
        outcome: Outcome,
        at: Moment,
        settings: &LinkSettings,
    ) -> Option<Transition> {
        match outcome {
            Outcome::Heard => {
                self.last_heard = Some(at);
                None
            }
            Outcome::Answered => self.answered(at, settings),
            Outcome::Failed(failure) => self.failed(failure, at, settings),
        }
    }

    /// Lets losses of long ago be forgotten.
    pub fn tick(&mut self, now: Moment) {
        if self.flaps > 0 && now - self.forgiven_at >= FORGIVE_AFTER {
            self.flaps -= 1;
            self.forgiven_at = now;
        }
    }

    /// How long the link must answer before it is up again.
    pub fn recovery(&self, settings: &LinkSettings) -> Micros {
        let doublings = self.flaps.saturating_sub(1).min(MOST_FLAPS);
        let wait = Micros(settings.up_after.0.saturating_mul(1 << doublings));
        wait.min(settings.up_after_max)
    }

    fn answered(&mut self, at: Moment, settings: &LinkSettings) -> Option<Transition> {
        let gap = self.last_answer.is_none_or(|t| at - t > ANSWERS_APART);
        self.last_answer = Some(at);
        self.last_heard = Some(at);
        self.failures = 0;
        self.failing_since = None;
        match self.state {
            LinkState::Up => None,
            LinkState::Unknown | LinkState::Suspect => self.change(LinkState::Up, at, settings),
            LinkState::Down => {
                if gap {
                    self.answering_since = None;
                }
                let since = *self.answering_since.get_or_insert(at);
                let recovered = at - since >= self.recovery(settings);
                recovered.then(|| self.change(LinkState::Up, at, settings))?
            }
        }
    }

    fn failed(
        &mut self,
        failure: Failure,
        at: Moment,
        settings: &LinkSettings,
    ) -> Option<Transition> {
        self.last_failure = Some(failure);
        self.answering_since = None;
        self.failures = self.failures.saturating_add(1);
        let since = *self.failing_since.get_or_insert(at);
        match self.state {
            LinkState::Down => None,
            _ if self.failures >= FAILURES_TO_DOWN && at - since >= settings.down_after => {
                self.flaps = (self.flaps + 1).min(MOST_FLAPS);
                self.forgiven_at = at;
                self.change(LinkState::Down, at, settings)
            }
            LinkState::Suspect => None,
            LinkState::Unknown | LinkState::Up => self.change(LinkState::Suspect, at, settings),
        }
    }

    fn change(&mut self, to: LinkState, at: Moment, settings: &LinkSettings) -> Option<Transition> {
        let from = std::mem::replace(&mut self.state, to);
        self.since = at;
        self.answering_since = None;
        let failed = to != LinkState::Up;
        Some(Transition {
            from,
            to,
            failure: self.last_failure.filter(|_| failed),
            recovery: (to == LinkState::Down).then(|| self.recovery(settings)),
        })
    }
}
