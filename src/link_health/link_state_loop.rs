//! The thread that updates the states of the links, publishes them, and begins handovers.

use super::{LinkHealth, PublishedHealth, lock};
use crate::controller::{Controller, ControllerState};
use crate::time::{Micros, Moment};
use aspenreel_link_health::handover::{HandoverInput, HandoverRecord};
use aspenreel_link_health::link::{Link, NodeName};
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::peer_views::PeerView;
use aspenreel_link_health::reachability::Reachability;
use aspenreel_link_health::report::{LinkReport, PeerRow};
use aspenreel_link_health::tracker::LinkChange;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time between two updates of the link states.
const UPDATE_INTERVAL: Micros = Micros::from_millis(250);

impl Controller {
    /// Updates the link states periodically until the process ends. Returns at once if links aren't monitored.
    pub fn link_state_loop(&self) {
        let Some(link_health) = self.link_health.clone() else {
            return;
        };
        loop {
            self.os.sleep(UPDATE_INTERVAL.duration());
            self.update_link_states(&link_health);
        }
    }

    fn update_link_states(&self, link_health: &LinkHealth) {
        let now = self.now();
        let refused = link_health.refused_workers(now);
        let mut state = self.state();
        let reachability = worker_reachability(&mut state, refused, now);
        let changes = link_health.drain_observations(reachability, now);
        let permissions = lock(&link_health.tracker).permissions();
        let may_record_again = match &mut state.scheduler {
            Some(scheduler) => scheduler.set_permissions(permissions),
            None => false,
        };
        self.begin_handover_if_due(link_health, &mut state, reachability, now);
        let report = link_health.report(&mut state, now);
        let stepping_down = state.step_down_requested;
        drop(state);
        link_health.publish(report);
        for change in changes {
            log_change(&change);
        }
        if may_record_again || stepping_down {
            self.state_changed.notify_all();
        }
    }

    /// Makes this leader step down if a peer has been better connected for long enough.
    fn begin_handover_if_due(
        &self,
        link_health: &LinkHealth,
        state: &mut ControllerState,
        reachability: Reachability,
        now: Moment,
    ) {
        let Some(record) = self.decide_handover(link_health, state, reachability, now) else {
            return;
        };
        log::info!(
            term = record.term,
            preferred:% = record.preferred,
            reason:? = record.reason;
            "leadership handover started"
        );
        state.handover = Some(record);
        state.step_down_and_pause_candidacy(now);
    }

    /// The record of the handover that is due now. `None` if no handover is due or this controller doesn't lead.
    fn decide_handover(
        &self,
        link_health: &LinkHealth,
        state: &mut ControllerState,
        reachability: Reachability,
        now: Moment,
    ) -> Option<HandoverRecord> {
        let (lease, scheduler) = state.acting_leader(now)?;
        let (term, wall) = (lease.term, self.os.wall());
        let silent_workers_by_unreachable_peer =
            link_health.silent_workers_by_unreachable_peer(&scheduler.silent_by_zone(now));
        // A new or overloaded leader can't determine which workers are silent.
        let reachability = match scheduler.reachability_is_settled(now) {
            true => reachability,
            false => Reachability::default(),
        };
        let state_writes = link_health.state(&Link::StateWrites);
        let peer_views = lock(&link_health.peer_views);
        let input = HandoverInput {
            term,
            reachability,
            state_writes,
            views: &peer_views.fresh(now),
            silent_workers_by_unreachable_peer: &silent_workers_by_unreachable_peer,
        };
        let settings = &link_health.settings;
        let planner = state.handover_planner.as_mut()?;
        let handover = planner.decide(&input, now, wall, settings)?;
        Some(planner.record(&handover, term, wall, settings))
    }
}

/// How many workers reach this controller: on a leader, according to the received heartbeats; on any other
/// controller, according to the refused ones.
fn worker_reachability(
    state: &mut ControllerState,
    refused_workers: u32,
    now: Moment,
) -> Reachability {
    match state.acting_leader(now) {
        Some((_, scheduler)) => scheduler.bidirectional_reachability(now),
        None => Reachability {
            reachable: refused_workers,
            expected: 0,
        },
    }
}

impl LinkHealth {
    /// Processes all queued observations and the present reachability. Returns the resulting changes of state.
    fn drain_observations(&self, reachability: Reachability, now: Moment) -> Vec<LinkChange> {
        let mut tracker = lock(&self.tracker);
        let mut changes = Vec::new();
        while let Some(observation) = self.observations.pop() {
            changes.extend(tracker.observe(observation));
        }
        changes.extend(tracker.update_reachability(reachability, now));
        tracker.expire_old_flaps(now);
        changes
    }

    /// For each peer that this controller doesn't reach, the number of silent workers in the peer's zone.
    fn silent_workers_by_unreachable_peer(
        &self,
        silent_by_zone: &BTreeMap<&str, u32>,
    ) -> BTreeMap<NodeName, u32> {
        let tracker = lock(&self.tracker);
        let mut silent_workers_by_unreachable_peer = BTreeMap::new();
        for (peer, zone) in &self.peer_zones {
            let is_reached = tracker.state(&Link::Peer(peer.clone())) == LinkState::Up;
            if let Some(count) = silent_by_zone.get(zone.as_str()).filter(|_| !is_reached) {
                silent_workers_by_unreachable_peer.insert(peer.clone(), *count);
            }
        }
        silent_workers_by_unreachable_peer
    }

    fn report(&self, state: &mut ControllerState, now: Moment) -> LinkReport {
        let leads = state.acting_leader(now).is_some();
        let leader = state.known_leader.as_ref();
        let tracker = lock(&self.tracker);
        let peer_views = lock(&self.peer_views);
        let peers = peer_views.peers();
        LinkReport {
            node: self.own_name.clone(),
            term: state.newest_term,
            leader: leader.map(|record| NodeName(record.node.clone())),
            leads,
            reachability: tracker.reachability(),
            permissions: tracker.permissions(),
            links: tracker.rows(now),
            peers: peers
                .map(|(peer, view)| peer_row(peer, view, now))
                .collect(),
            rejected_views: peer_views.rejected(),
            dropped_observations: self.observations.dropped(),
        }
    }

    fn publish(&self, report: LinkReport) {
        let state = |link| {
            let row = report.links.iter().find(|row| row.link == link);
            row.map_or(LinkState::Unknown, |row| row.state)
        };
        let published = PublishedHealth {
            state_reads: state(Link::StateReads),
            state_writes: state(Link::StateWrites),
            report,
        };
        self.published.store(Arc::new(published));
    }
}

fn peer_row(peer: &NodeName, view: &PeerView, now: Moment) -> PeerRow {
    let (offers_views, known) = match view {
        PeerView::NotReceived => (true, None),
        PeerView::Unsupported => (false, None),
        PeerView::Known {
            view, requested_at, ..
        } => (true, Some((view, *requested_at))),
    };
    PeerRow {
        peer: peer.clone(),
        offers_views,
        view_ms_ago: known.map(|(_, requested_at)| (now - requested_at).0 / 1000),
        reachable_workers: known.map(|(view, _)| view.reachability.reachable),
    }
}

/// Logs a change of state, at a level that depends on its importance to operators.
fn log_change(change: &LinkChange) {
    const EVENT: &str = "link state changed";
    let LinkChange { link, transition } = change;
    let (state, previous) = (transition.to, transition.from);
    let reason = transition.failure.map(|failure| failure.to_string());
    let reason = reason.as_deref().unwrap_or("unknown");
    let recovery_s = transition
        .recovery_time
        .map_or(0.0, |time| time.as_secs_f64());
    match (previous, state) {
        (_, LinkState::Down) => {
            log::warn!(link:%, state:%, previous:%, reason, recovery_s; "{EVENT}");
        }
        // Single failures are frequent and mostly have no effect.
        (_, LinkState::Suspect) => {
            log::debug!(link:%, state:%, previous:%, reason; "{EVENT}");
        }
        (LinkState::Suspect | LinkState::Unknown, LinkState::Up) => {
            log::debug!(link:%, state:%, previous:%; "{EVENT}");
        }
        _ => log::info!(link:%, state:%, previous:%; "{EVENT}"),
    }
}
