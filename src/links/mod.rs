//! Half-cut links: what this controller believes about its links, and what follows from it.
//!
//! The decisions are made by the crate [`aspenreel_links`]; this slice feeds it and acts on it. All
//! threads that call anything leave evidence in a lock-free queue ([`EvidenceSink`]); one thread
//! ([`watch`]) drains it, keeps the states and publishes them; another ([`exchange`]) asks peers for
//! their views and probes what is silent. Readers of the published states take no lock.
//!
//! All of this exists only with `--half-cut-links`.

pub mod command;
mod exchange;
mod handover;
mod options;
mod sink;
mod watch;

pub use handover::HANDOVER_KEY;
pub use options::LinkOptions;
pub use sink::EvidenceSink;

use crate::settings::Settings;
use crate::time::{Micros, Moment, WallTime};
use arc_swap::ArcSwap;
use aspenreel_links::evidence::NodeName;
use aspenreel_links::monitor::LinkState;
use aspenreel_links::permissions::Permissions;
use aspenreel_links::report::LinkReport;
use aspenreel_links::settings::LinkSettings;
use aspenreel_links::tracker::LinkTracker;
use aspenreel_links::view::{BelievedFor, LinkView, ViewBook, ViewError};
use aspenreel_links::workers::{Hearing, RefusedWorkers};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// A direct view is believed for so many report intervals: less than the silence of workers takes to show.
const DIRECT_VIEW_REPORTS: f64 = 4.0 / 3.0;
/// Peers are asked about every second.
const SHORTEST_BELIEF: Micros = Micros::from_millis(1500);
/// Through the state service a view comes every 2 to 3 s, and is read as often.
const STORED_VIEW_BELIEVED_FOR: Micros = Micros::from_secs(8);
/// A worker gives a controller up after 4 s, and waits 1 s before it tries the next.
const WORKER_RETRY: Micros = Micros::from_secs(6);

/// What other threads may read at any time, without a lock.
#[derive(Clone, Debug)]
pub struct Published {
    /// What an operator is told.
    pub report: LinkReport,
    /// The link for reads of the state service.
    pub state_reads: LinkState,
    /// The link for writes.
    pub state_writes: LinkState,
}

/// Everything that this process keeps about its links.
pub struct Links {
    pub settings: LinkSettings,
    /// Where evidence is left.
    pub sink: Arc<EvidenceSink>,
    own: NodeName,
    peers: Vec<NodeName>,
    /// The peers' zones.
    zones: BTreeMap<NodeName, String>,
    tracker: Mutex<LinkTracker>,
    views: Mutex<ViewBook>,
    refused: Mutex<RefusedWorkers>,
    published: ArcSwap<Published>,
    /// The time of day at which this process began.
    process: u64,
    sequence: AtomicU64,
    /// A view without effect was told in the log.
    told_rejected: AtomicBool,
}

impl Links {
    /// Nothing is known yet.
    pub fn new(settings: &Settings, links: LinkSettings, wall: WallTime) -> Links {
        let own = NodeName(settings.node.clone());
        let members = settings.members.iter();
        let peers: Vec<NodeName> = members.map(|m| NodeName(m.node.clone())).collect();
        let members = settings.members.iter();
        let zones = members.map(|m| (NodeName(m.node.clone()), m.location.clone()));
        let zones = zones.collect();
        let site = &settings.settings;
        let window = site.workers.heartbeat_interval().scaled(2.0) + WORKER_RETRY;
        let direct = site
            .workers
            .heartbeat_interval()
            .scaled(DIRECT_VIEW_REPORTS);
        let believed_for = BelievedFor {
            direct: direct.max(SHORTEST_BELIEF),
            stored: STORED_VIEW_BELIEVED_FOR,
        };
        let published = Published {
            report: LinkReport {
                node: own.clone(),
                term: 0,
                leader: None,
                leads: false,
                hearing: Hearing::default(),
                permissions: Permissions::ALL,
                links: Vec::new(),
                peers: Vec::new(),
                rejected_views: 0,
                dropped_evidence: 0,
            },
            state_reads: LinkState::Unknown,
            state_writes: LinkState::Unknown,
        };
        Links {
            tracker: Mutex::new(LinkTracker::new(links.clone(), &peers)),
            views: Mutex::new(ViewBook::new(own.clone(), &peers, believed_for)),
            refused: Mutex::new(RefusedWorkers::new(site.quota.max_machines(), window)),
            published: ArcSwap::from_pointee(published),
            sink: Arc::default(),
            process: wall.0,
            sequence: AtomicU64::new(0),
            told_rejected: AtomicBool::new(false),
            settings: links,
            own,
            peers,
            zones,
        }
    }

    /// A worker's heartbeat was refused, since this controller doesn't lead.
    pub fn refused_worker(&self, worker: &str, now: Moment) {
        lock(&self.refused).note(worker, now);
    }

    /// Some peer answers without exchanging views, so the best-placed controller can't be told.
    pub fn some_peer_without_views(&self) -> bool {
        lock(&self.views).some_not_offered()
    }

    /// The states as they were last published.
    pub fn published(&self) -> Arc<Published> {
        self.published.load_full()
    }

    /// Tells in the log that a view had no effect: the first time only, all are counted.
    fn tell_rejected(&self, sender: &str, error: ViewError) {
        if error != ViewError::Late && !self.told_rejected.swap(true, Ordering::Relaxed) {
            log::warn!("the view of {sender} has no effect: {error}");
        }
    }

    /// This controller's view, made for one peer.
    fn view_for(&self, peer: &NodeName) -> LinkView {
        let published = self.published();
        LinkView {
            from: self.own.clone(),
            to: peer.clone(),
            process: self.process,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            term: published.report.term,
            leads: published.report.leads,
            state_reads: published.state_reads,
            state_writes: published.state_writes,
            hearing: published.report.hearing,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
