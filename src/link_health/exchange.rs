//! The thread that asks peers for their views and probes what is silent.

use super::{Links, lock};
use crate::controller::Controller;
use crate::peer::{PeerReply, ViewExchange};
use crate::store::{Change, Precondition, StorePriority, from_value, to_value};
use crate::time::{Micros, Moment};
use aspenreel_link_health::evidence::{Link, NodeName, Outcome};
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::view::{LinkView, ViewError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

const EVERY_MS: u64 = 1200;
const ASK_TIME: Duration = Duration::from_millis(500);
/// A peer that doesn't exchange views is asked again after this: it may have been replaced.
const NOT_OFFERED_AGAIN: Micros = Micros::from_secs(30);
/// A peer that didn't answer is asked again after this: the others shouldn't wait for it each time.
const UNANSWERED_AGAIN: Micros = Micros::from_millis(1500);
/// A link that was silent for this long is probed.
const SILENCE: Micros = Micros::from_secs(4);
/// A key that is never written: a transaction that only compares it costs no change.
const PROBE_KEY: &str = "links-probe";
/// Views that went through the state service, since their sender didn't reach the leader.
const VIEWS_PREFIX: &str = "views/";
/// A view is written there at most this often.
const PUBLISH_EVERY: Micros = Micros::from_secs(2);
const PAGE: usize = 100;

/// A view in the state service.
#[derive(Serialize, Deserialize)]
struct StoredView {
    /// The time of day when it was true, in microseconds.
    at: u64,
    view: LinkView,
}

/// What the thread remembers between its rounds.
#[derive(Default)]
struct ExchangeState {
    /// Peers that don't exchange views, and when they were last asked.
    not_offered: BTreeMap<NodeName, Moment>,
    /// Peers that didn't answer, and when they were last asked.
    unanswered: BTreeMap<NodeName, Moment>,
    published_at: Option<Moment>,
}

impl Controller {
    /// Asks peers for their views, and probes what is silent.
    pub fn link_exchange_loop(&self) {
        let Some(links) = self.links.clone() else {
            return;
        };
        let mut state = ExchangeState::default();
        loop {
            self.pause(EVERY_MS / 2, EVERY_MS);
            self.probe_state(&links);
            for peer in &links.peers {
                self.ask_for_view(&links, peer, &mut state);
            }
            self.publish_view(&links, &mut state);
            self.read_published_views(&links);
        }
    }

    /// Probes reads and writes of the state service where nothing else shows how they are.
    fn probe_state(&self, links: &Links) {
        let now = self.now();
        let wanted = |link| lock(&links.tracker).wants_probe(&link, SILENCE, now);
        // What these calls prove is noted where all calls to the state service are made.
        if wanted(Link::StateReads) {
            let _ = self.store.get(PROBE_KEY, StorePriority::Background);
        }
        if wanted(Link::StateWrites) {
            let guard = Precondition::new(PROBE_KEY, 0);
            let _ = self
                .store
                .transact(&[guard], &[], StorePriority::Background);
        }
    }

    fn ask_for_view(&self, links: &Links, peer: &NodeName, state: &mut ExchangeState) {
        let Some(client) = self.peers.get(&peer.0) else {
            return;
        };
        let asked = self.now();
        let within = |at: Option<&Moment>, span| at.is_some_and(|at| asked - *at < span);
        if within(state.not_offered.get(peer), NOT_OFFERED_AGAIN)
            || within(state.unanswered.get(peer), UNANSWERED_AGAIN)
        {
            return;
        }
        state.unanswered.remove(peer);
        let view = links.view_for(peer).encode();
        match client.exchange_views(view, ASK_TIME) {
            ViewExchange::View(bytes) => {
                state.not_offered.remove(peer);
                let result = lock(&links.views).take(peer, &bytes, asked);
                if let Err(error) = result {
                    links.tell_rejected(&peer.0, error);
                }
            }
            ViewExchange::NotOffered => {
                state.not_offered.insert(peer.clone(), asked);
                lock(&links.views).not_offered(peer);
            }
            ViewExchange::Failed => {
                state.unanswered.insert(peer.clone(), asked);
            }
        }
    }

    /// Leaves this controller's view in the state service while it doesn't reach the leader: the leader may
    /// not hear its workers either.
    fn publish_view(&self, links: &Links, state: &mut ExchangeState) {
        let now = self.now();
        let published = links.published();
        let report = &published.report;
        let Some(leader) = report.leader.as_ref().filter(|l| **l != links.own) else {
            return;
        };
        let unreached = lock(&links.tracker).state(&Link::Peer(leader.clone())) != LinkState::Up;
        let recent = state
            .published_at
            .is_some_and(|at| now - at < PUBLISH_EVERY);
        if !unreached || recent {
            return;
        }
        state.published_at = Some(now);
        let stored = StoredView {
            at: self.os.wall().0,
            view: links.view_for(leader),
        };
        let key = format!("{VIEWS_PREFIX}{}", links.own);
        let change = Change::write(key, to_value(&stored));
        let _ = self.store.transact(&[], &[change], StorePriority::Normal);
    }

    /// A leader that hears few workers looks for views of peers that it doesn't reach.
    fn read_published_views(&self, links: &Links) {
        let published = links.published();
        let report = &published.report;
        let unreached = |peer: &NodeName| {
            lock(&links.tracker).state(&Link::Peer(peer.clone())) != LinkState::Up
        };
        if !report.leads || !report.hearing.is_blind() || !links.peers.iter().any(unreached) {
            return;
        }
        let Ok(page) = self
            .store
            .range(VIEWS_PREFIX, None, PAGE, StorePriority::Normal)
        else {
            return;
        };
        let (now, wall) = (self.now(), self.os.wall());
        let skew = Micros::from_secs_f64(self.settings.settings.skew_ms / 500.0);
        for row in &page.rows {
            let Some(stored) = from_value::<StoredView>(&row.data) else {
                continue;
            };
            let age = Micros(wall.0.saturating_sub(stored.at)) + skew;
            let asked = Moment(now.0.saturating_sub(age.0));
            let peer = stored.view.from.clone();
            // One that is known already, or late, has no effect.
            let _ = lock(&links.views).take_stored(&peer, &stored.view.encode(), asked);
        }
    }

    /// A peer sends its view and asks for ours.
    pub fn answer_view(&self, bytes: &[u8]) -> PeerReply {
        let Some(links) = &self.links else {
            return PeerReply::Busy;
        };
        let view = match links.addressed_view(bytes) {
            Ok(view) => view,
            Err(error) => {
                lock(&links.views).reject();
                links.tell_rejected("a caller", error);
                return PeerReply::Busy;
            }
        };
        // It may have been under way for long: that it arrived is all that it proves.
        let peer = Link::Peer(view.from.clone());
        links.sink.note(peer, Outcome::Heard, self.now());
        PeerReply::Links {
            view: links.view_for(&view.from).encode(),
        }
    }

    /// What an operator is told.
    pub fn answer_link_report(&self) -> PeerReply {
        match &self.links {
            Some(links) => PeerReply::LinkReport {
                report: links.published().report.encode(),
            },
            None => PeerReply::Busy,
        }
    }
}

impl Links {
    /// Reads a view that a peer sent to this controller.
    fn addressed_view(&self, bytes: &[u8]) -> Result<LinkView, ViewError> {
        let view = LinkView::decode(bytes)?;
        if view.to != self.own {
            return Err(ViewError::WrongReceiver);
        }
        if !self.peers.contains(&view.from) {
            return Err(ViewError::WrongSender);
        }
        Ok(view)
    }
}
