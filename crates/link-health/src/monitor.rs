//! The state of one link: up, suspect or down, with hysteresis and flap damping.
//!
//! One failure makes a link suspect, one answer makes it up again. Failures without an answer between them
//! for [`LinkSettings::down_after`] take the link down. A link that is down must answer for a while before it
//! counts as up, and for twice as long for each time it went down lately, up to a bound. So a link that
//! flaps is down most of the time, and what depends on it doesn't flap with it.

use crate::observation::{CallFailure, CallOutcome};
use crate::settings::LinkSettings;
use aspenreel_time::{Micros, Moment};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A link goes down after at least this many failures: two may have one short cause.
const FAILURES_TO_DOWN: u32 = 3;
/// After this long without going down, one earlier flap is forgiven.
const FORGIVE_AFTER: Micros = Micros::from_secs(60);
/// Answers further apart than this don't count as answering without a break.
const MAX_ANSWER_GAP: Micros = Micros::from_secs(3);
/// More flaps than this make no difference.
const MAX_FLAPS: u32 = 16;

/// The state of a link.
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
    /// Nothing has been observed yet.
    #[default]
    Unknown,
    /// It answers.
    Up,
    /// Its last call failed.
    Suspect,
    /// It doesn't answer, or has not answered for long enough since it failed.
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
    /// The last failure, where the new state is worse than up.
    pub failure: Option<CallFailure>,
    /// How long the link must answer before it is up again, where it went down.
    pub recovery: Option<Micros>,
}

/// Keeps the state of one link.
#[derive(Clone, Debug, Default)]
pub struct LinkMonitor {
    state: LinkState,
    since: Moment,
    /// Failures since the last answer.
    failures: u32,
    /// When the first of them was.
    failing_since: Option<Moment>,
    last_failure: Option<CallFailure>,
    last_answer: Option<Moment>,
    last_received: Option<Moment>,
    /// While down: since when it has answered without a failure or a long gap.
    answering_since: Option<Moment>,
    /// How often it went down lately, less the flaps that were forgiven.
    flaps: u32,
    /// When it last went down or was last forgiven a flap.
    forgiven_at: Moment,
}

impl LinkMonitor {
    /// The state now.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether it is down and has not answered since its last failure. Unlike the state, this isn't damped.
    pub fn is_failing(&self) -> bool {
        self.state == LinkState::Down && self.answering_since.is_none()
    }

    /// When it entered its state.
    pub fn since(&self) -> Moment {
        self.since
    }

    /// When it last answered.
    pub fn last_answer(&self) -> Option<Moment> {
        self.last_answer
    }

    /// When a message from the other end last arrived.
    pub fn last_received(&self) -> Option<Moment> {
        self.last_received
    }

    /// How its last failed call failed.
    pub fn last_failure(&self) -> Option<CallFailure> {
        self.last_failure
    }

    /// How often it went down lately.
    pub fn flaps(&self) -> u32 {
        self.flaps
    }

    /// Takes in the outcome of a call or a message; a change of state, if it makes one.
    pub fn observe(
        &mut self,
        outcome: CallOutcome,
        at: Moment,
        settings: &LinkSettings,
    ) -> Option<Transition> {
        match outcome {
            CallOutcome::MessageReceived => {
                self.last_received = Some(at);
                None
            }
            CallOutcome::Answered => self.on_answer(at, settings),
            CallOutcome::Failed(failure) => self.on_failure(failure, at, settings),
        }
    }

    /// Forgives one flap if the last one was long ago.
    pub fn forgive_old_flap(&mut self, now: Moment) {
        if self.flaps > 0 && now - self.forgiven_at >= FORGIVE_AFTER {
            self.flaps -= 1;
            self.forgiven_at = now;
        }
    }

    /// How long the link must answer before it is up again.
    pub fn recovery(&self, settings: &LinkSettings) -> Micros {
        let doublings = self.flaps.saturating_sub(1).min(MAX_FLAPS);
        let wait = Micros(settings.up_after.0.saturating_mul(1 << doublings));
        wait.min(settings.up_after_max)
    }

    fn on_answer(&mut self, at: Moment, settings: &LinkSettings) -> Option<Transition> {
        let after_gap = self.last_answer.is_none_or(|t| at - t > MAX_ANSWER_GAP);
        self.last_answer = Some(at);
        self.last_received = Some(at);
        self.failures = 0;
        self.failing_since = None;
        match self.state {
            LinkState::Up => None,
            LinkState::Unknown | LinkState::Suspect => self.enter(LinkState::Up, at, settings),
            LinkState::Down => {
                if after_gap {
                    self.answering_since = None;
                }
                let since = *self.answering_since.get_or_insert(at);
                let recovered = at - since >= self.recovery(settings);
                recovered.then(|| self.enter(LinkState::Up, at, settings))?
            }
        }
    }

    fn on_failure(
        &mut self,
        failure: CallFailure,
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
                self.flaps = (self.flaps + 1).min(MAX_FLAPS);
                self.forgiven_at = at;
                self.enter(LinkState::Down, at, settings)
            }
            LinkState::Suspect => None,
            LinkState::Unknown | LinkState::Up => self.enter(LinkState::Suspect, at, settings),
        }
    }

    fn enter(&mut self, to: LinkState, at: Moment, settings: &LinkSettings) -> Option<Transition> {
        let from = std::mem::replace(&mut self.state, to);
        self.since = at;
        self.answering_since = None;
        let is_worse = to != LinkState::Up;
        Some(Transition {
            from,
            to,
            failure: self.last_failure.filter(|_| is_worse),
            recovery: (to == LinkState::Down).then(|| self.recovery(settings)),
        })
    }
}
