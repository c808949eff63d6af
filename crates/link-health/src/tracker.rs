//! The states of all links of one controller.

use crate::link::{Link, NodeName};
use crate::monitor::{LinkMonitor, LinkState, Transition};
use crate::observation::Observation;
use crate::permissions::Permissions;
use crate::reachability::Reachability;
use crate::report::LinkRow;
use crate::settings::LinkSettings;
use aspenreel_time::{Micros, Moment};
use std::collections::BTreeMap;

/// A change of one link's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkChange {
    /// The link.
    pub link: Link,
    /// The states before and after.
    pub transition: Transition,
}

/// Keeps the states of all links of one controller.
#[derive(Debug)]
pub struct LinkTracker {
    settings: LinkSettings,
    monitors: BTreeMap<Link, LinkMonitor>,
    reachability: Reachability,
    workers_state: LinkState,
    workers_since: Moment,
}

impl LinkTracker {
    /// All links are unknown.
    pub fn new(settings: LinkSettings, peers: &[NodeName]) -> LinkTracker {
        let peers = peers.iter().cloned().map(Link::Peer);
        let links = [Link::StateReads, Link::StateWrites]
            .into_iter()
            .chain(peers);
        LinkTracker {
            settings,
            monitors: links.map(|link| (link, LinkMonitor::default())).collect(),
            reachability: Reachability::default(),
            workers_state: LinkState::Unknown,
            workers_since: Moment(0),
        }
    }

    /// Takes in an observation; one of a link that isn't watched has no effect.
    pub fn observe(&mut self, observation: Observation) -> Option<LinkChange> {
        let monitor = self.monitors.get_mut(&observation.link)?;
        let transition = monitor.observe(observation.outcome, observation.at, &self.settings)?;
        Some(LinkChange {
            link: observation.link,
            transition,
        })
    }

    /// Takes in how many workers reach the controller now.
    pub fn update_reachability(
        &mut self,
        reachability: Reachability,
        now: Moment,
    ) -> Option<LinkChange> {
        self.reachability = reachability;
        let to = reachability.state();
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

    /// Forgives each link a flap of long ago, where one is due.
    pub fn forgive_old_flaps(&mut self, now: Moment) {
        for monitor in self.monitors.values_mut() {
            monitor.forgive_old_flap(now);
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

    /// How many workers reach the controller, as last taken in.
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// Which decisions a leader may make now.
    pub fn permissions(&self) -> Permissions {
        let writes = self.monitors.get(&Link::StateWrites);
        Permissions::of(writes.is_some_and(LinkMonitor::is_failing))
    }

    /// Whether only a probe can tell the state of the link: it isn't up, or has not answered for `silence`.
    pub fn wants_probe(&self, link: &Link, silence: Micros, now: Moment) -> bool {
        let Some(monitor) = self.monitors.get(link) else {
            return false;
        };
        let is_up = monitor.state() == LinkState::Up;
        !is_up || monitor.last_answer().is_none_or(|at| now - at >= silence)
    }

    /// A row for each link, for an operator; that of the workers is the last.
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
                received_ms_ago: age(monitor.last_received()),
                flaps: monitor.flaps(),
                last_failure: monitor.last_failure(),
            })
            .collect();
        rows.push(LinkRow {
            link: Link::Workers,
            state: self.workers_state,
            for_ms: (now - self.workers_since).0 / 1000,
            answered_ms_ago: None,
            received_ms_ago: None,
            flaps: 0,
            last_failure: None,
        });
        rows
    }
}
