//! One controller process: the data that its threads share ([`Controller`]) and the state protected by its lock
//! ([`ControllerState`]).
//!
//! The loops of the threads and the request handlers are methods of [`Controller`], each in a file of its own in the
//! module of its feature. `process` starts the threads; `routes` and `peer_requests` map requests to handlers.

#![warn(missing_docs)]

mod final_states;
mod peer_requests;
mod process;
mod request_log;
mod routes;
mod term_access;
mod timer_loop;

pub use final_states::FinalStates;
pub use process::{ControllerThread, StartError};

use crate::cli::ServeOptions;
use crate::http::server::ServerMetrics;
use crate::jobs::{StatusBatches, StatusMetrics};
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
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time for which a leader that has stepped down, because it received heartbeats from too few workers or in favor of
/// a better-connected peer, lets other controllers be elected first. If none is elected, it becomes leader again, and
/// doesn't step down for the same reason until the pause is over.
const CANDIDACY_PAUSE: Micros = Micros::from_secs(40);

/// Fraction of the cloud's request rate that the controllers use.
const CLOUD_RATE_SHARE: f64 = 0.9;

/// Lower bound of the burst allowed for submissions, in writes.
const MIN_SUBMISSION_BURST: f64 = 4.0;

/// State protected by the lock of a controller. No thread waits for the network while it holds the lock.
#[derive(Debug, Default)]
pub struct ControllerState {
    /// Leader lease, while this controller is the leader.
    pub leader_lease: Option<LeaderLease>,
    /// Scheduler state, present only while this controller is the leader and has read the stored state.
    pub scheduler: Option<SchedulerState>,
    /// Leader according to the last read of the store.
    pub known_leader: Option<LeaderRecord>,
    /// Time at which the store last confirmed `known_leader`.
    pub leader_confirmed_at: Moment,
    /// Cached final states of jobs.
    pub final_states: FinalStates,
    /// True once this leader has stopped acting and is about to end its lease.
    pub step_down_requested: bool,
    /// Time until which this controller lets other controllers campaign first.
    pub candidacy_paused_until: Moment,
    /// Times of recently refused heartbeats, which are evidence that workers reach this controller.
    pub refused_heartbeats: VecDeque<Moment>,
    /// Store revision up to which the leader knows all accepted jobs, and from which the job watch continues.
    pub jobs_revision: u64,
    /// Highest term that this controller knows of.
    pub newest_term: u64,
    /// Decides on handovers, while this controller is the leader and monitors its links.
    pub handover_planner: Option<HandoverPlanner>,
    /// Handover because of which this leader is stepping down.
    pub handover: Option<HandoverRecord>,
}

impl ControllerState {
    /// Leader lease and scheduler state, if this controller may act as the leader at `now`.
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

    /// Requests that this leader steps down, and lets other controllers campaign first for `CANDIDACY_PAUSE`.
    pub fn step_down_and_pause_candidacy(&mut self, now: Moment) {
        self.step_down_requested = true;
        self.candidacy_paused_until = now + CANDIDACY_PAUSE;
    }
}

/// One controller: its clients, the data that its threads share, and the events by which they wake each other.
pub struct Controller {
    /// Contents of the settings file.
    pub settings: Settings,
    /// Command-line flags.
    pub options: ServeOptions,
    /// Duration of the leader lease.
    pub leader_lease_duration: Micros,
    /// Operating-system interface: clocks, sleeping and network calls.
    pub os: Arc<dyn Os>,
    /// Client of the key-value store.
    pub store: Store,
    /// HTTP client of the cloud API.
    pub cloud: Arc<dyn HttpClient>,
    /// State behind the lock; use [`Controller::state`] to lock it.
    pub state: Mutex<ControllerState>,
    /// Notified when records are due to be written, and when they have been written.
    pub state_changed: Arc<dyn EventCount>,
    /// Notified when commands are due to be sent to workers.
    pub commands_due: Arc<dyn EventCount>,
    /// Clients for calls to workers.
    pub workers: WorkerClientPool,
    /// Clients for requests to the other controllers, by controller name.
    pub peers: BTreeMap<String, PeerClient>,
    /// Rate limit of writes for submissions.
    pub submission_bucket: Mutex<TokenBucket>,
    /// Rate limit of requests to the cloud.
    pub cloud_bucket: Mutex<TokenBucket>,
    /// Machine types that the cloud offers; `None` until they have been read.
    pub catalog: Mutex<Option<Arc<Vec<MachineType>>>>,
    /// Connections from users and workers.
    pub server_metrics: Arc<ServerMetrics>,
    /// Status lookups that wait for the leader's answer.
    pub status_batches: StatusBatches,
    /// Answers to status requests.
    pub status_metrics: StatusMetrics,
    /// True while neither the store nor any peer answers this controller.
    pub isolated: AtomicBool,
    /// Feature level as last read or written; use [`Controller::feature_level`].
    pub feature_level: Mutex<FeatureLevel>,
    /// Health of this controller's links; `None` if they are not monitored.
    pub link_health: Option<Arc<LinkHealth>>,
}

impl Controller {
    /// Creates a controller without starting its threads.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if settings and flags contradict each other.
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
        // Equal shares, although the leader sends most requests: all shares together must not exceed the limit.
        let store = Store::new(
            settings.endpoints.state,
            limits.rps / controllers,
            os.clone(),
        );
        // The part of the write rate outside the leader's write budget is for submissions, in equal shares for all
        // controllers.
        let unbudgeted = limits.write_rps * (1.0 - options.write_budget as f64 / 100.0);
        let submission_rate = unbudgeted / controllers;
        let submission_burst = submission_rate.max(MIN_SUBMISSION_BURST);
        let cloud_rate = settings.settings.cloud.rps;
        Ok(Controller {
            store: store.with_observations(observations),
            cloud: os.http_client(settings.endpoints.cloud),
            state: Mutex::new(ControllerState {
                final_states: FinalStates::new(settings.settings.quota.max_retained_entries()),
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
            server_metrics: Arc::default(),
            status_batches: StatusBatches::new(&*os),
            status_metrics: StatusMetrics::default(),
            isolated: AtomicBool::new(false),
            feature_level: Mutex::default(),
            link_health,
            leader_lease_duration,
            os,
            settings,
            options,
        })
    }

    /// Locks the state and returns the guard. A poisoned lock is used as it is.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Current time of the monotonic clock.
    pub fn now(&self) -> Moment {
        self.os.now()
    }

    /// Machine types that the cloud offers; `None` until they have been read.
    pub fn catalog(&self) -> Option<Arc<Vec<MachineType>>> {
        self.catalog
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Sleeps for a random time between `low_ms` and `high_ms` milliseconds.
    pub(crate) fn pause(&self, low_ms: u64, high_ms: u64) {
        random_pause(&*self.os, low_ms, high_ms);
    }

    /// Sleeps for a random time before a failed request is retried.
    pub(crate) fn pause_before_retry(&self) {
        self.pause(200, 500);
    }

    /// Releases the lock and waits for a change of state, up to `timeout`.
    pub fn wait_for_change(&self, state: MutexGuard<'_, ControllerState>, timeout: Duration) {
        let observed = self.state_changed.prepare_wait();
        drop(state);
        self.state_changed.wait(observed, timeout);
    }

    /// Scheduler configuration from settings and flags.
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
            max_gone_machines: site.quota.max_retained_entries(),
            value_bytes: site.state.strictest().value_bytes(),
            job_bytes: site.quota.job_bytes(),
            max_machines: site.quota.max_machines(),
        }
    }
}

/// Creates a client for each of the other controllers, by controller name.
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
