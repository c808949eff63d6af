//! The thread that exchanges views with peers and probes links that are silent.

use super::{LinkHealth, lock};
use crate::controller::Controller;
use crate::peer::{PeerReply, ViewExchange};
use crate::store::{Change, Precondition, StorePriority, from_value, to_value};
use crate::time::{Micros, Moment};
use aspenreel_link_health::link::{Link, NodeName};
use aspenreel_link_health::observation::CallOutcome;
use aspenreel_link_health::view::{LinkView, ViewError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A round begins this long after the last one ended, drawn between half of it and all of it.
const MAX_PAUSE_MS: u64 = 1200;
/// The time limit of a request for a view.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// A peer that doesn't exchange views is asked again after this, since it may have been replaced.
const UNSUPPORTED_RETRY: Micros = Micros::from_secs(30);
/// A peer that didn't answer is asked again after this, so that the others don't wait for it in each round.
const UNANSWERED_RETRY: Micros = Micros::from_millis(1500);
/// A link that has not answered for this long is probed.
const PROBE_AFTER: Micros = Micros::from_secs(4);
/// A key that is never written: a transaction that only compares it makes no change.
const PROBE_KEY: &str = "links-probe";
/// The keys of views that go through the store, since their sender doesn't reach the leader.
const VIEWS_PREFIX: &str = "views/";
/// A view is written there at most this often.
const PUBLISH_INTERVAL: Micros = Micros::from_secs(2);
/// How many views are read from the store at once: more than there are controllers.
const PAGE: usize = 100;
/// `skew_ms` bounds the difference of one clock from true time, in milliseconds; two clocks differ by twice as
/// much, in seconds.
const SKEW_MS_TO_PAIR_SECS: f64 = 500.0;

/// A view in the key-value store.
#[derive(Serialize, Deserialize)]
struct StoredView {
    /// The time of day at which it was true, in microseconds.
    at: u64,
    view: LinkView,
}

/// What the thread remembers between its rounds.
#[derive(Default)]
struct ExchangeState {
    /// Peers that don't exchange views, and when they were last asked.
    unsupported: BTreeMap<NodeName, Moment>,
    /// Peers that didn't answer, and when they were last asked.
    unanswered: BTreeMap<NodeName, Moment>,
    published_at: Option<Moment>,
}

impl ExchangeState {
    /// Whether the peer was asked so lately without success that it is left alone.
    fn is_too_early(&self, peer: &NodeName, now: Moment) -> bool {
        let within = |at: Option<&Moment>, pause| at.is_some_and(|at| now - *at < pause);
        within(self.unsupported.get(peer), UNSUPPORTED_RETRY)
            || within(self.unanswered.get(peer), UNANSWERED_RETRY)
    }
}

impl Controller {
    /// Exchanges views with peers and probes silent links for as long as the process lives.
    pub fn view_exchange_loop(&self) {
        let Some(link_health) = self.link_health.clone() else {
            return;
        };
        let mut state = ExchangeState::default();
        loop {
            self.pause(MAX_PAUSE_MS / 2, MAX_PAUSE_MS);
            self.probe_store(&link_health);
            for peer in &link_health.peers {
                self.exchange_views(&link_health, peer, &mut state);
            }
            self.publish_view(&link_health, &mut state);
            self.read_published_views(&link_health);
        }
    }

    /// Probes reads and writes of the key-value store where nothing else shows their state.
    fn probe_store(&self, link_health: &LinkHealth) {
        let now = self.now();
        let wants_probe = |link| lock(&link_health.tracker).wants_probe(&link, PROBE_AFTER, now);
        // The results don't matter here: the store's client records the outcome of every call.
        if wants_probe(Link::StateReads) {
            let _ = self.store.get(PROBE_KEY, StorePriority::Background);
        }
        if wants_probe(Link::StateWrites) {
            let guard = Precondition::new(PROBE_KEY, 0);
            let _ = self
                .store
                .transact(&[guard], &[], StorePriority::Background);
        }
    }

    /// Sends a peer this controller's view and takes in its own, unless it was asked too lately.
    fn exchange_views(&self, link_health: &LinkHealth, peer: &NodeName, state: &mut ExchangeState) {
        let Some(client) = self.peers.get(&peer.0) else {
            return;
        };
        let asked = self.now();
        if state.is_too_early(peer, asked) {
            return;
        }
        state.unanswered.remove(peer);
        let view = link_health.view_for(peer).encode();
        match client.exchange_views(view, REQUEST_TIMEOUT) {
            ViewExchange::View(bytes) => {
                state.unsupported.remove(peer);
                let accepted = lock(&link_health.peer_views).accept(peer, &bytes, asked);
                if let Err(error) = accepted {
                    link_health.log_rejected_view(&peer.0, error);
                }
            }
            ViewExchange::NotOffered => {
                state.unsupported.insert(peer.clone(), asked);
                lock(&link_health.peer_views).mark_unsupported(peer);
            }
            ViewExchange::Failed => {
                state.unanswered.insert(peer.clone(), asked);
            }
        }
    }

    /// Writes this controller's view to the key-value store while it doesn't reach the leader, which then may
    /// not hear its workers either.
    fn publish_view(&self, link_health: &LinkHealth, state: &mut ExchangeState) {
        let now = self.now();
        let published = link_health.published();
        let leader = published.report.leader.as_ref();
        let Some(leader) = leader.filter(|leader| **leader != link_health.own_name) else {
            return;
        };
        let is_reached = link_health.reaches(leader);
        let last = state.published_at;
        if is_reached || last.is_some_and(|at| now - at < PUBLISH_INTERVAL) {
            return;
        }
        state.published_at = Some(now);
        let stored = StoredView {
            at: self.os.wall().0,
            view: link_health.view_for(leader),
        };
        let key = format!("{VIEWS_PREFIX}{}", link_health.own_name);
        let change = Change::write(key, to_value(&stored));
        // A view that isn't written is followed by the next one.
        let _ = self.store.transact(&[], &[change], StorePriority::Normal);
    }

    /// A leader that few workers reach looks for views of peers that it doesn't reach.
    fn read_published_views(&self, link_health: &LinkHealth) {
        let published = link_health.published();
        let report = &published.report;
        let mut peers = link_health.peers.iter();
        if !report.leads
            || !report.reachability.most_are_unreachable()
            || peers.all(|peer| link_health.reaches(peer))
        {
            return;
        }
        let Ok(page) = self
            .store
            .range(VIEWS_PREFIX, None, PAGE, StorePriority::Normal)
        else {
            return;
        };
        let (now, wall) = (self.now(), self.os.wall());
        let skew = Micros::from_secs_f64(self.settings.settings.skew_ms / SKEW_MS_TO_PAIR_SECS);
        for row in &page.rows {
            let Some(stored) = from_value::<StoredView>(&row.data) else {
                continue;
            };
            let age = Micros(wall.0.saturating_sub(stored.at)) + skew;
            let true_at = Moment(now.0.saturating_sub(age.0));
            let peer = stored.view.from.clone();
            let view = stored.view.encode();
            // Most were read before and are rejected as late.
            let _ = lock(&link_health.peer_views).accept_stored(&peer, &view, true_at);
        }
    }

    /// Answers a peer that sent its view with this controller's.
    pub fn answer_view(&self, bytes: &[u8]) -> PeerReply {
        let Some(link_health) = &self.link_health else {
            return PeerReply::Busy;
        };
        let view = match link_health.decode_addressed_view(bytes) {
            Ok(view) => view,
            Err(error) => {
                lock(&link_health.peer_views).count_rejected();
                link_health.log_rejected_view("unknown", error);
                return PeerReply::Busy;
            }
        };
        // The view may have been under way for long: only its arrival proves anything.
        let peer = Link::Peer(view.from.clone());
        let received = CallOutcome::MessageReceived;
        link_health.observations.record(peer, received, self.now());
        PeerReply::Links {
            view: link_health.view_for(&view.from).encode(),
        }
    }

    /// Answers an operator's request for the link report.
    pub fn answer_link_report(&self) -> PeerReply {
        match &self.link_health {
            Some(link_health) => PeerReply::LinkReport {
                report: link_health.published().report.encode(),
            },
            None => PeerReply::Busy,
        }
    }
}

impl LinkHealth {
    /// Reads a view that a peer sent to this controller.
    fn decode_addressed_view(&self, bytes: &[u8]) -> Result<LinkView, ViewError> {
        let view = LinkView::decode(bytes)?;
        if view.to != self.own_name {
            return Err(ViewError::WrongReceiver);
        }
        if !self.peers.contains(&view.from) {
            return Err(ViewError::WrongSender);
        }
        Ok(view)
    }
}
