//! All links of one controller.

use crate::evidence::{Evidence, Link, NodeName};
use crate::monitor::{LinkMonitor, LinkState, Transition};
use crate::permissions::Permissions;
use crate::report::LinkRow;
use crate::settings::LinkSettings;
use crate::workers::Hearing;
use aspenreel_time::{Micros, Moment};
use std::collections::BTreeMap;

/// A change that operators should see in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkChange {
    /// The link.
    pub link: Link,
    /// What changed.
    pub transition: Transition,
}

/// Watches all links of one controller.
#[derive(Debug)]
pub struct LinkTracker {
    settings: LinkSettings,
    monitors: BTreeMap<Link, LinkMonitor>,
    hearing: Hearing,
    workers_state: LinkState,
    workers_since: Moment,
}

impl LinkTracker {
    /// Nothing is known of any link yet.
    pub fn new(settings: LinkSettings, peers: &[NodeName]) -> LinkTracker {
        let peers = peers.iter().cloned().map(Link::Peer);
        let links = [Link::StateReads, Link::StateWrites]
            .into_iter()
            .chain(peers);
        LinkTracker {
            settings,
            monitors: links.map(|link| (link, LinkMonitor::default())).collect(),
            hearing: Hearing::default(),
            workers_state: LinkState::Unknown,
            workers_since: Moment(0),
        }
    }

    /// Takes in an observation. Those of links that aren't watched have no effect.
    pub fn observe(&mut self, evidence: Evidence) -> Option<LinkChange> {
        let monitor = self.monitors.get_mut(&evidence.link)?;
        let transition = monitor.observe(evidence.outcome, evidence.at, &self.settings)?;
        Some(LinkChange {
            link: evidence.link,
            transition,
        })
    }

    /// Takes in which workers are heard now.
    pub fn hear(&mut self, hearing: Hearing, now: Moment) -> Option<LinkChange> {
        self.hearing = hearing;
        let to = hearing.state();
        let from = std::mem::replace(&mut self.workers_state, to);
        if from == to {
            return None;
        }
        self.workers_since = now;
        let transition = Transition {
            from,
            to,
            failure: None,
            recovery: None,
        };
        Some(LinkChange {
            link: Link::Workers,
            transition,
        })
    }

    /// What time alone changes.
    pub fn tick(&mut self, now: Moment) {
        for monitor in self.monitors.values_mut() {
            monitor.tick(now);
        }
    }

    /// The state of a link.
    pub fn state(&self, link: &Link) -> LinkState {
        match link {
            Link::Workers => self.workers_state,
            _ => self
                .monitors
                .get(link)
                .map_or(LinkState::Unknown, LinkMonitor::state),
        }
    }

    /// Which workers are heard.
    pub fn hearing(&self) -> Hearing {
        self.hearing
    }

    /// What a leader may decide now.
    pub fn permissions(&self) -> Permissions {
        let writes = self.monitors.get(&Link::StateWrites);
        Permissions::of(writes.is_some_and(LinkMonitor::is_failing))
    }

    /// True if the link has been silent for so long that only a probe tells its state.
    pub fn wants_probe(&self, link: &Link, silence: Micros, now: Moment) -> bool {
        let Some(monitor) = self.monitors.get(link) else {
            return false;
        };
        let settled = monitor.state() == LinkState::Up;
        !settled || monitor.last_answer().is_none_or(|at| now - at >= silence)
    }

    /// All links, for an operator.
    pub fn rows(&self, now: Moment) -> Vec<LinkRow> {
        let age = |at: Option<Moment>| at.map(|at| (now - at).0 / 1000);
        let mut rows: Vec<LinkRow> = self
            .monitors
            .iter()
            .map(|(link, monitor)| LinkRow {
                link: link.clone(),
                state: monitor.state(),
                for_ms: (now - monitor.since()).0 / 1000,
                answered_ms_ago: age(monitor.last_answer()),
                heard_ms_ago: age(monitor.last_heard()),
                flaps: monitor.flaps(),
                last_failure: monitor.last_failure(),
            })
            .collect();
        rows.push(LinkRow {
            link: Link::Workers,
            state: self.workers_state,
            for_ms: (now - self.workers_since).0 / 1000,
            answered_ms_ago: None,
            heard_ms_ago: None,
            flaps: 0,
            last_failure: None,
        });
        rows
    }
}
