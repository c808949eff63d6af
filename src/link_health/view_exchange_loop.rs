//! The thread that exchanges views with peers and probes links without recent answers.

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

/// Maximum pause between two rounds in milliseconds. Each pause is random, from half of this to all of it.
const MAX_PAUSE_MS: u64 = 1200;
/// Timeout of a request for a view.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time until a peer that doesn't exchange views is asked again, since it may have been upgraded meanwhile.
const UNSUPPORTED_RETRY: Micros = Micros::from_secs(30);
/// Time until a peer that didn't answer is asked again, so that it doesn't delay the others in each round.
const UNANSWERED_RETRY: Micros = Micros::from_millis(1500);
/// Time without an answer after which a link is probed.
const PROBE_AFTER: Micros = Micros::from_secs(4);
/// The key of probes. It is never written: a transaction whose only part is a precondition on it changes nothing.
const PROBE_KEY: &str = "links-probe";
/// Prefix of the keys of the views that controllers publish in the key-value store while they don't reach the leader.
const VIEWS_PREFIX: &str = "views/";
/// Minimum time between two writes of this controller's view to the key-value store.
const PUBLISH_INTERVAL: Micros = Micros::from_secs(2);
/// Maximum number of views that are read from the key-value store: more than there are controllers.
const PAGE_SIZE: usize = 100;
/// Divisor that turns `skew_ms` into the maximum difference of two clocks in seconds. `skew_ms` is the maximum
/// deviation of one clock from true time in milliseconds, and two clocks can differ by twice as much.
const SKEW_MS_TO_PAIR_SECS: f64 = 500.0;

/// A view in the key-value store.
#[derive(Serialize, Deserialize)]
struct StoredView {
    /// Wall-clock time of the sender at which the view was true, in microseconds since the Unix epoch.
    at: u64,
    view: LinkView,
}

/// The state that the thread keeps between its rounds.
#[derive(Default)]
struct ExchangeState {
    /// Peers that don't exchange views, with the time of the last request.
    unsupported: BTreeMap<NodeName, Moment>,
    /// Peers that didn't answer, with the time of the last request.
    unanswered: BTreeMap<NodeName, Moment>,
    published_at: Option<Moment>,
}

impl ExchangeState {
    /// Whether the last request to the peer failed so recently that the peer isn't asked again yet.
    fn is_in_backoff(&self, peer: &NodeName, now: Moment) -> bool {
        let within = |at: Option<&Moment>, pause| at.is_some_and(|at| now - *at < pause);
        within(self.unsupported.get(peer), UNSUPPORTED_RETRY)
            || within(self.unanswered.get(peer), UNANSWERED_RETRY)
    }
}

impl Controller {
    /// Exchanges views with peers and probes the key-value store periodically until the process ends. Returns at
    /// once if links aren't monitored.
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

    /// Probes reads and writes of the key-value store if no other calls show the state of these links.
    fn probe_store(&self, link_health: &LinkHealth) {
        let now = self.now();
        let needs_probe = |link| lock(&link_health.tracker).needs_probe(&link, PROBE_AFTER, now);
        // The results can be ignored: the store's client records the outcome of every call.
        if needs_probe(Link::StateReads) {
            let _ = self.store.get(PROBE_KEY, StorePriority::Background);
        }
        if needs_probe(Link::StateWrites) {
            let precondition = Precondition::new(PROBE_KEY, 0);
            let _ = self
                .store
                .transact(&[precondition], &[], StorePriority::Background);
        }
    }

    /// Sends this controller's view to a peer and stores the peer's view, unless the peer is in backoff.
    fn exchange_views(&self, link_health: &LinkHealth, peer: &NodeName, state: &mut ExchangeState) {
        let Some(client) = self.peers.get(&peer.0) else {
            return;
        };
        let requested_at = self.now();
        if state.is_in_backoff(peer, requested_at) {
            return;
        }
        state.unanswered.remove(peer);
        let view = link_health.view_for(peer).encode();
        match client.exchange_views(view, REQUEST_TIMEOUT) {
            ViewExchange::View(bytes) => {
                state.unsupported.remove(peer);
                let accepted = lock(&link_health.peer_views).accept(peer, &bytes, requested_at);
                if let Err(error) = accepted {
                    link_health.log_rejected_view(&peer.0, error);
                }
            }
            ViewExchange::Unsupported => {
                state.unsupported.insert(peer.clone(), requested_at);
                lock(&link_health.peer_views).mark_unsupported(peer);
            }
            ViewExchange::Failed => {
                state.unanswered.insert(peer.clone(), requested_at);
            }
        }
    }

    /// Writes this controller's view to the key-value store while it doesn't reach the leader. The same network
    /// fault may cut the leader off from workers, and the leader can then read the view.
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
        // A failed write needs no retry: the next view is written soon after.
        let _ = self.store.transact(&[], &[change], StorePriority::Normal);
    }

    /// Reads the views in the key-value store, if this controller leads, most workers don't reach it, and it doesn't
    /// reach all peers.
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
            .range(VIEWS_PREFIX, None, PAGE_SIZE, StorePriority::Normal)
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
            // Most of these views were read before and are rejected as stale.
            let _ = lock(&link_health.peer_views).accept_stored(&peer, &view, true_at);
        }
    }

    /// Answers a peer's view with the view of this controller, or with `Busy` if the peer's view is rejected or links
    /// aren't monitored.
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
        // The view may have been delayed in the network, so only its arrival is an observation.
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
    /// Decodes a view that was received, and checks its sender and receiver.
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
