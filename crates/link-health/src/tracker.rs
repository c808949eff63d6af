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

/// A change of one link's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkChange {
    /// The link whose state changed.
    pub link: Link,
    /// The previous and the new state.
    pub transition: Transition,
}

/// Tracks the states of all links of one controller.
#[derive(Debug)]
pub struct LinkTracker {
    settings: LinkSettings,
    monitors: BTreeMap<Link, LinkMonitor>,
    reachability: Reachability,
    workers_state: LinkState,
    workers_since: Moment,
}

impl LinkTracker {
    /// Creates a tracker in which all links are [`LinkState::Unknown`].
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

    /// Processes an observation. An observation of a link that isn't tracked has no effect.
    pub fn observe(&mut self, observation: Observation) -> Option<LinkChange> {
        let monitor = self.monitors.get_mut(&observation.link)?;
        let transition = monitor.observe(observation.outcome, observation.at, &self.settings)?;
        Some(LinkChange {
            link: observation.link,
            transition,
        })
    }

    /// Sets how many workers reach the controller. Returns the change of [`Link::Workers`], if there is one.
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
            recovery_time: None,
        };
        Some(LinkChange {
            link: Link::Workers,
            transition,
        })
    }

    /// Decreases the flap count of each link that hasn't flapped for a minute. See
    /// [`LinkMonitor::expire_old_flap`].
    pub fn expire_old_flaps(&mut self, now: Moment) {
        for monitor in self.monitors.values_mut() {
            monitor.expire_old_flap(now);
        }
    }

    /// The state of a link; [`LinkState::Unknown`] if the link isn't tracked.
    pub fn state(&self, link: &Link) -> LinkState {
        match link {
            Link::Workers => self.workers_state,
            _ => self
                .monitors
                .get(link)
                .map_or(LinkState::Unknown, LinkMonitor::state),
        }
    }

    /// How many workers reach the controller, as of the last [`LinkTracker::update_reachability`].
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// The decisions that a leader may make now.
    pub fn permissions(&self) -> Permissions {
        let writes = self.monitors.get(&Link::StateWrites);
        Permissions::of(writes.is_some_and(LinkMonitor::is_failing))
    }

    /// Whether the link needs a probe to update its state: it isn't up, or has not answered for `silence`.
    pub fn needs_probe(&self, link: &Link, silence: Micros, now: Moment) -> bool {
        let Some(monitor) = self.monitors.get(link) else {
            return false;
        };
        let is_up = monitor.state() == LinkState::Up;
        !is_up || monitor.last_answer().is_none_or(|at| now - at >= silence)
    }

    /// The rows of the link report, one for each link. The last row is that of the workers.
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
