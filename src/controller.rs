//! One controller process: what its threads share ([`Controller`]) and what its lock guards
//! ([`ControllerState`]).
//!
//! What the threads do stands in the slices, each loop and each handler in a file of its own, as methods of
//! [`Controller`]. `process` starts the threads; `routes` and `peer_requests` tell which handler a request belongs
//! to.

#![warn(missing_docs)]

mod peer_requests;
mod process;
mod routes;
mod term_access;
mod terminal_states;
mod timer_loop;

pub use process::{ControllerThread, StartError};
pub use terminal_states::TerminalStates;

use crate::cli::ServeOptions;
use crate::leadership::feature_level::FeatureLevel;
use crate::leadership::{LeaderLease, LeaderRecord};
use crate::link_health::{LinkHealth, ObservationQueue};
use crate::os::{EventCount, HttpClient, Os, random_pause};
use crate::peer::PeerClient;
use crate::provisioning::MachineType;
use crate::scheduler::{SchedulerConfig, SchedulerState};
use crate::settings::{Member, Settings, SettingsError};
use crate::store::Store;
use crate::store::token_bucket::TokenBucket;
use crate::time::{Micros, Moment};
use crate::workers::WorkerClientPool;
use aspenreel_link_health::handover::{HandoverPlanner, HandoverRecord};
use aspenreel_link_health::link::{Link, NodeName};
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// For this long after a leader has stepped down since it heard too few workers, or for a better-placed peer, it
/// lets other controllers be elected. If none is, it leads again, and doesn't step down for the same reason until
/// the pause is over.
const CANDIDACY_PAUSE: Micros = Micros::from_secs(40);

/// The share of the cloud's request rate that controllers use.
const CLOUD_RATE_SHARE: f64 = 0.9;

/// The least burst of submissions, in writes.
const MIN_SUBMISSION_BURST: f64 = 4.0;

/// What the lock of a controller guards. No thread waits for the network while it holds the lock.
#[derive(Debug, Default)]
pub struct ControllerState {
    /// The leadership, while this controller has it.
    pub leader_lease: Option<LeaderLease>,
    /// The leader's state: there only while this controller leads and has read the stored state.
    pub scheduler: Option<SchedulerState>,
    /// The leader as the store last told it.
    pub known_leader: Option<LeaderRecord>,
    /// When the store last confirmed `known_leader`.
    pub leader_confirmed_at: Moment,
    /// Terminal states that this controller remembers.
    pub terminal_states: TerminalStates,
    /// This leader no longer acts and gives up its lease soon.
    pub step_down_requested: bool,
    /// Other controllers campaign first until then.
    pub candidacy_paused_until: Moment,
    /// When heartbeats were refused lately: a sign that workers reach this controller.
    pub refused_heartbeats: VecDeque<Moment>,
    /// The store revision up to which the leader knows all jobs: where their watch goes on.
    pub jobs_revision: u64,
    /// The newest term that this controller knows of.
    pub newest_term: u64,
    /// Decides on handovers while this controller leads and watches its links.
    pub handover_planner: Option<HandoverPlanner>,
    /// The handover for which this leader steps down.
    pub handover: Option<HandoverRecord>,
}

impl ControllerState {
    /// The leadership and the scheduler state, if this controller may act as the leader at `now`.
    pub fn acting_leader(&mut self, now: Moment) -> Option<(&LeaderLease, &mut SchedulerState)> {
        match (&self.leader_lease, &mut self.scheduler) {
            (Some(leader_lease), Some(scheduler))
                if now < leader_lease.valid_until && !self.step_down_requested =>
            {
                Some((leader_lease, scheduler))
            }
            _ => None,
        }
    }

    /// Requests that this leader steps down and lets other controllers campaign first.
    pub fn step_down_and_pause_candidacy(&mut self, now: Moment) {
        self.step_down_requested = true;
        self.candidacy_paused_until = now + CANDIDACY_PAUSE;
    }
}

/// One controller: its clients, what its threads share, and how they wake each other.
pub struct Controller {
    /// The settings file.
    pub settings: Settings,
    /// Flags of the command line.
    pub options: ServeOptions,
    /// The duration of the leader lease.
    pub leader_lease_duration: Micros,
    /// The operating system: clocks, sleeping and calls.
    pub os: Arc<dyn Os>,
    /// The key-value store.
    pub store: Store,
    /// The cloud's API.
    pub cloud: Arc<dyn HttpClient>,
    /// The lock; use [`Controller::state`].
    pub state: Mutex<ControllerState>,
    /// Notified when records have to be written, and when they were.
    pub state_changed: Arc<dyn EventCount>,
    /// Notified when commands have to be sent to workers.
    pub commands_due: Arc<dyn EventCount>,
    /// Clients of workers.
    pub workers: WorkerClientPool,
    /// Clients of the other controllers by name.
    pub peers: BTreeMap<String, PeerClient>,
    /// Limits the writes for submissions.
    pub submission_bucket: Mutex<TokenBucket>,
    /// Limits the requests to the cloud.
    pub cloud_bucket: Mutex<TokenBucket>,
    /// The cloud's machine types, once they are known.
    pub catalog: Mutex<Option<Arc<Vec<MachineType>>>>,
    /// Open connections of users and workers.
    pub open_connections: Arc<AtomicUsize>,
    /// Neither the store nor any peer answers this controller.
    pub isolated: AtomicBool,
    /// The feature level as last read; use [`Controller::feature_level`].
    pub feature_level: Mutex<FeatureLevel>,
    /// What is known of the links, if they are watched.
    pub link_health: Option<Arc<LinkHealth>>,
}

impl Controller {
    /// A controller of which no thread runs yet.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if settings and flags don't fit together.
    pub fn new(
        settings: Settings,
        options: ServeOptions,
        os: Arc<dyn Os>,
    ) -> Result<Controller, SettingsError> {
        let requested_lease = options.leader_lease_ms.map(Micros::from_millis);
        let leader_lease_duration = settings.leader_lease(requested_lease)?;
        let link_settings = options.links.settings()?;
        let link_health =
            link_settings.map(|links| Arc::new(LinkHealth::new(&settings, links, os.wall())));
        let observations = link_health
            .as_ref()
            .map(|health| health.observations.clone());
        let now = os.now();
        let controllers = settings.members.len() as f64 + 1.0;
        let limits = settings.settings.state.strictest();
        let peers = peer_clients(&settings, &os, observations.as_ref());
        // The leader reads and writes most; the shares still stay below the limit together.
        let store = Store::new(
            settings.endpoints.state,
            limits.rps / controllers,
            os.clone(),
        );
        // What the leader's write budget leaves is for submissions, shared among the controllers.
        let unbudgeted = limits.write_rps * (1.0 - options.write_budget as f64 / 100.0);
        let submission_rate = unbudgeted / controllers;
        let submission_burst = submission_rate.max(MIN_SUBMISSION_BURST);
        let cloud_rate = settings.settings.cloud.rps;
        Ok(Controller {
            store: store.with_observations(observations),
            cloud: os.http_client(settings.endpoints.cloud),
            state: Mutex::new(ControllerState {
                terminal_states: TerminalStates::new(settings.settings.quota.max_remembered()),
                ..ControllerState::default()
            }),
            state_changed: os.event_count(),
            commands_due: os.event_count(),
            workers: WorkerClientPool::default(),
            peers,
            submission_bucket: Mutex::new(TokenBucket::new(submission_rate, submission_burst, now)),
            cloud_bucket: Mutex::new(TokenBucket::new(
                cloud_rate * CLOUD_RATE_SHARE,
                cloud_rate,
                now,
            )),
            catalog: Mutex::new(None),
            open_connections: Arc::default(),
            isolated: AtomicBool::new(false),
            feature_level: Mutex::default(),
            link_health,
            leader_lease_duration,
            os,
            settings,
            options,
        })
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The time of the monotonic clock.
    pub fn now(&self) -> Moment {
        self.os.now()
    }

    /// The cloud's machine types, once they are known.
    pub fn catalog(&self) -> Option<Arc<Vec<MachineType>>> {
        self.catalog
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Sleeps for a random time between these bounds in milliseconds.
    pub(crate) fn pause(&self, low_ms: u64, high_ms: u64) {
        random_pause(&*self.os, low_ms, high_ms);
    }

    /// The pause after a request that failed, before it is repeated.
    pub(crate) fn pause_before_retry(&self) {
        self.pause(200, 500);
    }

    /// Releases the lock and waits until the state has changed, for `timeout` at the longest.
    pub fn wait_for_change(&self, state: MutexGuard<'_, ControllerState>, timeout: Duration) {
        let observed = self.state_changed.prepare_wait();
        drop(state);
        self.state_changed.wait(observed, timeout);
    }

    /// The settings and flags that the scheduler state needs.
    pub fn scheduler_config(&self) -> SchedulerConfig {
        let site = &self.settings.settings;
        SchedulerConfig {
            teams: site.teams.clone(),
            worker_lease: site.workers.lease(),
            cancellation_bound: Micros::from_secs_f64(site.workers.cancel_s),
            heartbeat_interval: site.workers.heartbeat_interval(),
            list_lag: Micros::from_secs_f64(site.cloud.list_lag_s),
            candidate_sample: self.options.candidate_sample as usize,
            max_idle: Micros::from_millis(self.options.max_idle_ms),
            on_demand_max_wait: Micros::from_millis(self.options.on_demand_max_wait_ms),
            headroom: self.options.headroom as f64 / 100.0,
            objectives: site.objectives.clone(),
            max_queue_wait: Micros::from_millis(self.options.max_queue_wait_ms),
            max_gone_machines: site.quota.max_remembered(),
            value_bytes: site.state.strictest().value_bytes(),
            job_bytes: site.quota.job_bytes(),
            max_machines: site.quota.max_machines(),
        }
    }
}

/// Clients of all other controllers, by name.
fn peer_clients(
    settings: &Settings,
    os: &Arc<dyn Os>,
    observations: Option<&Arc<ObservationQueue>>,
) -> BTreeMap<String, PeerClient> {
    let client = |member: &Member| {
        let link = Link::Peer(NodeName(member.node.clone()));
        let client = PeerClient::new(os.clone(), member.peer_addr);
        (
            member.node.clone(),
            client.with_observations(link, observations.cloned()),
        )
    };
    settings.members.iter().map(client).collect()
}
