//! The state of one link: up, suspect or down, with hysteresis and flap damping.
//!
//! One failure makes a link suspect, one answer makes it up again. At least three failures over
//! [`LinkSettings::down_after`], without an answer between them, take the link down. A link that is down must
//! answer without a failure for its recovery time before it counts as up again. The recovery time doubles with
//! each recent flap (transition to down) after the first, up to a bound. A flapping link is therefore down most
//! of the time, and the decisions that depend on its state don't flap with it.

use crate::observation::{CallFailure, CallOutcome};
use crate::settings::LinkSettings;
use aspenreel_time::{Micros, Moment};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Minimum number of failures before a link goes down. Two failures may have the same short-lived cause.
const FAILURES_TO_DOWN: u32 = 3;
/// Time without a further flap after which the flap count decreases by one.
const FLAP_EXPIRY: Micros = Micros::from_secs(60);
/// Maximum time between two answers that count as continuous. A longer gap restarts the recovery time.
const MAX_ANSWER_GAP: Micros = Micros::from_secs(3);
/// Upper bound of the flap count.
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
    /// No call has been answered or has failed yet.
    #[default]
    Unknown,
    /// The last call was answered; after [`LinkState::Down`], calls were answered for the recovery time.
    Up,
    /// The last call failed.
    Suspect,
    /// Calls have failed for some time, or have been answered for less than the recovery time since then.
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

/// A change of a link's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The previous state.
    pub from: LinkState,
    /// The new state.
    pub to: LinkState,
    /// The last failure, if the new state isn't [`LinkState::Up`].
    pub failure: Option<CallFailure>,
    /// Time for which the link must answer before it is up again, if the new state is [`LinkState::Down`].
    pub recovery_time: Option<Micros>,
}

/// The state machine of one link, with the observations that it needs.
#[derive(Clone, Debug, Default)]
pub struct LinkMonitor {
    state: LinkState,
    since: Moment,
    /// Number of failures since the last answer.
    failures: u32,
    /// Time of the first failure since the last answer.
    failing_since: Option<Moment>,
    last_failure: Option<CallFailure>,
    last_answer: Option<Moment>,
    last_received: Option<Moment>,
    /// While down: start of the current period of answers without a failure or a gap over [`MAX_ANSWER_GAP`].
    answering_since: Option<Moment>,
    /// Number of transitions to down, minus those that have expired; at most [`MAX_FLAPS`].
    flaps: u32,
    /// Time of the last change of `flaps`: a transition to down, or an expiry.
    flaps_changed_at: Moment,
}

impl LinkMonitor {
    /// The current state.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether the link is down and has not answered since its last failure. This isn't damped, unlike
    /// the state: the first answer makes it false.
    pub fn is_failing(&self) -> bool {
        self.state == LinkState::Down && self.answering_since.is_none()
    }

    /// Time at which the link entered its current state.
    pub fn since(&self) -> Moment {
        self.since
    }

    /// Time of the last answer.
    pub fn last_answer(&self) -> Option<Moment> {
        self.last_answer
    }

    /// Time at which the last message from the other end arrived, answers included.
    pub fn last_received(&self) -> Option<Moment> {
        self.last_received
    }

    /// The failure of the last failed call.
    pub fn last_failure(&self) -> Option<CallFailure> {
        self.last_failure
    }

    /// Number of recent transitions to down; decreases by one per minute without a further one.
    pub fn flaps(&self) -> u32 {
        self.flaps
    }

    /// Processes the outcome of a call or a received message. Returns the change of state, if there is one.
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

    /// Decreases the flap count by one if it hasn't changed for a minute.
    pub fn expire_old_flap(&mut self, now: Moment) {
        if self.flaps > 0 && now - self.flaps_changed_at >= FLAP_EXPIRY {
            self.flaps -= 1;
            self.flaps_changed_at = now;
        }
    }

    /// Time for which a link that is down must answer before it is up again.
    pub fn recovery_time(&self, settings: &LinkSettings) -> Micros {
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
                let recovered = at - since >= self.recovery_time(settings);
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
                self.flaps_changed_at = at;
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
            recovery_time: (to == LinkState::Down).then(|| self.recovery_time(settings)),
        })
    }
}
