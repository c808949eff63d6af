//! The thread that keeps the states of the links and acts on them.

use super::{Links, Published, lock};
use crate::controller::{Controller, ControllerState};
use crate::time::{Micros, Moment};
use aspenreel_links::evidence::{Link, NodeName};
use aspenreel_links::handover::Situation;
use aspenreel_links::monitor::LinkState;
use aspenreel_links::report::{LinkReport, PeerRow};
use aspenreel_links::tracker::LinkChange;
use aspenreel_links::view::PeerView;
use aspenreel_links::workers::Hearing;
use std::collections::BTreeMap;

const TICK: Micros = Micros::from_millis(250);
/// How long a leader that gave the lead up lets others go first.
pub const ABSTAIN: Micros = Micros::from_secs(40);

impl Controller {
    /// Drains evidence, keeps the states, and acts on them.
    pub fn links_loop(&self) {
        let Some(links) = self.links.clone() else {
            return;
        };
        loop {
            self.os.sleep(TICK.duration());
            self.watch_links(&links);
        }
    }

    fn watch_links(&self, links: &Links) {
        let now = self.now();
        let refused = lock(&links.refused).count(now);
        let mut state = self.state();
        let hearing = state
            .acting(now)
            .map(|(_, scheduler)| scheduler.two_way_reachability(now));
        let hearing = hearing.unwrap_or(Hearing {
            heard: refused,
            known: 0,
        });
        let changes = links.drain(hearing, now);
        let permissions = lock(&links.tracker).permissions();
        let reopened = match &mut state.scheduler {
            Some(scheduler) => scheduler.set_permissions(permissions),
            None => false,
        };
        self.consider_handover(links, &mut state, hearing, now);
        let report = links.report(&mut state, now);
        let stepping_down = state.step_down;
        drop(state);
        links.publish(report);
        for change in changes {
            tell(&change);
        }
        if reopened || stepping_down {
            self.changed.notify_all();
        }
    }

    /// Hands the lead over if a peer has been better placed for long enough.
    fn consider_handover(
        &self,
        links: &Links,
        state: &mut ControllerState,
        hearing: Hearing,
        now: Moment,
    ) {
        let Some((lead, scheduler)) = state.acting(now) else {
            return;
        };
        let (term, wall) = (lead.term, self.os.wall());
        let settled = scheduler.reachability_is_settled(now);
        let silent_beyond = links.silent_beyond(&scheduler.silent_by_zone(now));
        let state_writes = lock(&links.tracker).state(&Link::StateWrites);
        // While it is new, or falls behind, it can't tell that workers are silent.
        let hearing = if settled { hearing } else { Hearing::default() };
        let views = lock(&links.views);
        let fresh = views.fresh(now);
        let situation = Situation {
            term,
            hearing,
            state_writes,
            views: &fresh,
            silent_beyond: &silent_beyond,
        };
        let Some(planner) = &mut state.handover_planner else {
            return;
        };
        let Some(handover) = planner.consider(&situation, now, wall, &links.settings) else {
            return;
        };
        log::info!("{}: handing over to {}", handover.reason, handover.to);
        state.handover = Some(planner.record(&handover, term, wall, &links.settings));
        state.step_down = true;
        state.abstain_until = now + ABSTAIN;
    }
}

impl Links {
    /// Takes in all evidence; what changed.
    fn drain(&self, hearing: Hearing, now: Moment) -> Vec<LinkChange> {
        let mut tracker = lock(&self.tracker);
        let mut changes = Vec::new();
        while let Some(evidence) = self.sink.take() {
            changes.extend(tracker.observe(evidence));
        }
        changes.extend(tracker.hear(hearing, now));
        tracker.tick(now);
        changes
    }

    /// The silent machines of the zones of peers that aren't reached.
    fn silent_beyond(&self, silent: &BTreeMap<&str, u32>) -> BTreeMap<NodeName, u32> {
        let tracker = lock(&self.tracker);
        let mut beyond = BTreeMap::new();
        for (peer, zone) in &self.zones {
            let is_reached = tracker.state(&Link::Peer(peer.clone())) == LinkState::Up;
            if let Some(count) = silent.get(zone.as_str()).filter(|_| !is_reached) {
                beyond.insert(peer.clone(), *count);
            }
        }
        beyond
    }

    fn report(&self, state: &mut ControllerState, now: Moment) -> LinkReport {
        let leads = state.acting(now).is_some();
        let leader = state.known_leader.as_ref();
        let tracker = lock(&self.tracker);
        let views = lock(&self.views);
        let peers = views.peers();
        let rows = peers
            .map(|(peer, view)| peer_row(peer, view, now))
            .collect();
        LinkReport {
            node: self.own.clone(),
            term: state.newest_term,
            leader: leader.map(|record| NodeName(record.node.clone())),
            leads,
            hearing: tracker.hearing(),
            permissions: tracker.permissions(),
            links: tracker.rows(now),
            peers: rows,
            rejected_views: views.rejected(),
            dropped_evidence: self.sink.dropped(),
        }
    }

    fn publish(&self, report: LinkReport) {
        let state = |link| {
            let row = report.links.iter().find(|row| row.link == link);
            row.map_or(LinkState::Unknown, |row| row.state)
        };
        let published = Published {
            state_reads: state(Link::StateReads),
            state_writes: state(Link::StateWrites),
            report,
        };
        self.published.store(std::sync::Arc::new(published));
    }
}

fn peer_row(peer: &NodeName, view: &PeerView, now: Moment) -> PeerRow {
    let (offers_views, known) = match view {
        PeerView::Unheard => (true, None),
        PeerView::NotOffered => (false, None),
        PeerView::Known { view, asked, .. } => (true, Some((view, *asked))),
    };
    PeerRow {
        peer: peer.clone(),
        offers_views,
        view_ms_ago: known.map(|(_, asked)| (now - asked).0 / 1000),
        hears: known.map(|(view, _)| view.hearing.heard),
    }
}

/// One line for each change that an operator may want to know.
fn tell(change: &LinkChange) {
    let transition = change.transition;
    let failure = transition.failure.map(|failure| format!(": {failure}"));
    let recovery = transition.recovery.map(|time| {
        let seconds = time.as_secs_f64();
        format!(", up again once it has answered for {seconds} s")
    });
    let line = format!(
        "link {} is {}{}{}",
        change.link,
        transition.to,
        failure.unwrap_or_default(),
        recovery.unwrap_or_default()
    );
    match (transition.from, transition.to) {
        // Suspicions come and go.
        (_, LinkState::Suspect) | (LinkState::Suspect | LinkState::Unknown, LinkState::Up) => {
            log::debug!("{line}")
        }
        (_, LinkState::Down) => log::warn!("{line}"),
        _ => log::info!("{line}"),
    }
}
