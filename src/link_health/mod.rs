//! Monitoring of this controller's network links, and leadership handover.
//!
//! The crate [`aspenreel_link_health`] makes the decisions; this module supplies its inputs and carries out
//! its decisions. All threads that call another process record the outcomes of their calls in a lock-free
//! queue ([`ObservationQueue`]). One thread (`link_state_loop`) drains the queue, updates the states of the links
//! and publishes them. Another thread (`view_exchange_loop`) asks peers for their views and probes links without
//! recent answers. Readers of the published states take no lock.
//!
//! Links are monitored only with `--half-cut-links`.

pub mod command;
mod handover;
mod link_state_loop;
mod observation_queue;
mod options;
mod view_exchange_loop;

pub use aspenreel_link_health::link::Link;
pub use aspenreel_link_health::observation::{CallFailure, CallOutcome};
pub use handover::HANDOVER_KEY;
pub use observation_queue::ObservationQueue;
pub use options::LinkOptions;

use crate::settings::{Settings, Site};
use crate::time::{Micros, Moment, WallTime};
use arc_swap::ArcSwap;
use aspenreel_link_health::link::NodeName;
use aspenreel_link_health::monitor::LinkState;
use aspenreel_link_health::peer_views::{PeerViews, ViewLifetimes};
use aspenreel_link_health::permissions::Permissions;
use aspenreel_link_health::reachability::Reachability;
use aspenreel_link_health::refused_heartbeats::RefusedHeartbeats;
use aspenreel_link_health::report::LinkReport;
use aspenreel_link_health::settings::LinkSettings;
use aspenreel_link_health::tracker::LinkTracker;
use aspenreel_link_health::view::{LinkView, ViewError};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Lifetime of a direct view in heartbeat intervals. Shorter than the silence after which a worker counts as
/// unreachable.
const DIRECT_VIEW_INTERVALS: f64 = 4.0 / 3.0;
/// Minimum lifetime of a direct view: peers are asked for views about once per second.
const MIN_DIRECT_VIEW_LIFETIME: Micros = Micros::from_millis(1500);
/// Lifetime of a stored view. Stored views are written every 2 to 3 s, and read as often.
const STORED_VIEW_LIFETIME: Micros = Micros::from_secs(8);
/// Time that a worker needs to try the next controller, rounded up: it gives a controller up after 4 s, then pauses
/// for 1 s.
const WORKER_FAILOVER_TIME: Micros = Micros::from_secs(6);

/// The link states that other threads read without a lock.
#[derive(Clone, Debug)]
struct PublishedHealth {
    /// The report for operators.
    report: LinkReport,
    /// State of the link for reads of the key-value store.
    state_reads: LinkState,
    /// State of the link for writes to the key-value store.
    state_writes: LinkState,
}

/// The state of link monitoring in this process, shared by all threads.
pub struct LinkHealth {
    settings: LinkSettings,
    /// Queue in which all threads record the outcomes of their calls.
    pub observations: Arc<ObservationQueue>,
    own_name: NodeName,
    peers: Vec<NodeName>,
    peer_zones: BTreeMap<NodeName, String>,
    tracker: Mutex<LinkTracker>,
    peer_views: Mutex<PeerViews>,
    refused_heartbeats: Mutex<RefusedHeartbeats>,
    published: ArcSwap<PublishedHealth>,
    /// Wall-clock time at which this process started, in microseconds since the Unix epoch.
    process_started_at: u64,
    /// Sequence number of the next view.
    next_sequence: AtomicU64,
    /// Whether a rejected view has been logged. Only the first one is logged; all are counted.
    rejection_logged: AtomicBool,
}

impl LinkHealth {
    /// Creates the state of a process that started at the wall-clock time `wall`. All links are unknown.
    pub fn new(settings: &Settings, link_settings: LinkSettings, wall: WallTime) -> LinkHealth {
        let own_name = NodeName(settings.node.clone());
        let peer_zones: BTreeMap<NodeName, String> = settings
            .members
            .iter()
            .map(|member| (NodeName(member.node.clone()), member.location.clone()))
            .collect();
        let members = settings.members.iter();
        let peers: Vec<NodeName> = members.map(|m| NodeName(m.node.clone())).collect();
        let site = &settings.settings;
        let window = site.workers.heartbeat_interval().scaled(2.0) + WORKER_FAILOVER_TIME;
        let refused_heartbeats = RefusedHeartbeats::new(site.quota.max_machines(), window);
        let peer_views = PeerViews::new(own_name.clone(), &peers, view_lifetimes(site));
        LinkHealth {
            tracker: Mutex::new(LinkTracker::new(link_settings.clone(), &peers)),
            peer_views: Mutex::new(peer_views),
            refused_heartbeats: Mutex::new(refused_heartbeats),
            published: ArcSwap::from_pointee(PublishedHealth::unknown(own_name.clone())),
            observations: Arc::default(),
            process_started_at: wall.0,
            next_sequence: AtomicU64::new(0),
            rejection_logged: AtomicBool::new(false),
            settings: link_settings,
            own_name,
            peers,
            peer_zones,
        }
    }

    /// Records that a worker's heartbeat was refused because this controller doesn't lead.
    pub fn record_refused_heartbeat(&self, worker: &str, now: Moment) {
        lock(&self.refused_heartbeats).record(worker, now);
    }

    /// Whether any peer answers without exchanging views, so that the best-connected controller can't be known.
    pub fn any_peer_without_views(&self) -> bool {
        lock(&self.peer_views).any_unsupported()
    }

    fn published(&self) -> Arc<PublishedHealth> {
        self.published.load_full()
    }

    fn state(&self, link: &Link) -> LinkState {
        lock(&self.tracker).state(link)
    }

    fn reaches(&self, peer: &NodeName) -> bool {
        self.state(&Link::Peer(peer.clone())) == LinkState::Up
    }

    fn refused_workers(&self, now: Moment) -> u32 {
        lock(&self.refused_heartbeats).count(now)
    }

    fn log_rejected_view(&self, sender: &str, error: ViewError) {
        if error != ViewError::Stale && !self.rejection_logged.swap(true, Ordering::Relaxed) {
            log::warn!(peer = sender, reason:% = error; "link view rejected");
        }
    }

    /// A new view of this controller's links, addressed to one peer.
    fn view_for(&self, peer: &NodeName) -> LinkView {
        let published = self.published();
        LinkView {
            from: self.own_name.clone(),
            to: peer.clone(),
            process: self.process_started_at,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            term: published.report.term,
            leads: published.report.leads,
            state_reads: published.state_reads,
            state_writes: published.state_writes,
            reachability: published.report.reachability,
        }
    }
}

impl PublishedHealth {
    /// The state before the first update: all links are unknown.
    fn unknown(node: NodeName) -> PublishedHealth {
        let report = LinkReport {
            node,
            term: 0,
            leader: None,
            leads: false,
            reachability: Reachability::default(),
            permissions: Permissions::ALL,
            links: Vec::new(),
            peers: Vec::new(),
            rejected_views: 0,
            dropped_observations: 0,
        };
        PublishedHealth {
            report,
            state_reads: LinkState::Unknown,
            state_writes: LinkState::Unknown,
        }
    }
}

fn view_lifetimes(site: &Site) -> ViewLifetimes {
    let direct = site
        .workers
        .heartbeat_interval()
        .scaled(DIRECT_VIEW_INTERVALS);
    ViewLifetimes {
        direct: direct.max(MIN_DIRECT_VIEW_LIFETIME),
        stored: STORED_VIEW_LIFETIME,
    }
}

/// Locks a mutex, even if it is poisoned: no change under these locks can be left half done by a panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
