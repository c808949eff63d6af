//! One controller process: what its threads share, and which threads there are.

mod routes;
mod terminal_states;

pub use terminal_states::TerminalStates;

use crate::cli::ServeOptions;
use crate::http::server::{ServerLimits, serve};
use crate::jobs::LocalStatus;
use crate::leadership::level::Level;
use crate::leadership::peer::{PeerClient, PeerReply, PeerRequest, serve_peers};
use crate::leadership::{LeaderLease, LeaderRecord};
use crate::link_health::LinkHealth;
use crate::os::{EventCount, HttpClient, Os, System};
use crate::provisioning::MachineType;
use crate::scheduler::{SchedulerConfig, SchedulerState};
use crate::settings::{Settings, SettingsError};
use crate::state_store::Store;
use crate::state_store::bucket::TokenBucket;
use crate::time::{Micros, Moment};
use crate::workers::edge::WorkerClients;
use aspenreel_link_health::handover::{HandoverPlanner, HandoverRecord};
use aspenreel_link_health::link::{Link, NodeName};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const TIMER_INTERVAL: Micros = Micros::from_millis(250);
/// A timer that fires this late tells that the process has used up its share of the processor: no
/// other measure of a share that the system enforces from outside is at hand everywhere.
const LATE: Micros = Micros::from_millis(25);
/// How often a process that falls behind most of the time says so.
const PACE_EVERY: Micros = Micros::from_secs(60);
const SUMMARY_EVERY: Micros = Micros::from_secs(10);

/// How long a node that stood down for want of workers lets others go first. If nobody does, it
/// goes on, and doesn't stand down for the same reason again until then.
const ABSTAIN: Micros = Micros::from_secs(40);

/// What the main lock guards. Nobody waits for the network while holding it.
#[derive(Debug, Default)]
pub struct ControllerState {
    pub lead: Option<LeaderLease>,
    /// There only while leading, once the state was read.
    pub scheduler: Option<SchedulerState>,
    pub known_leader: Option<LeaderRecord>,
    /// When the state service last vouched for it.
    pub leader_seen: Moment,
    pub terminal_states: TerminalStates,
    /// The lead is to be given up.
    pub step_down: bool,
    /// Stood down for want of workers: others go first until then.
    pub abstain_until: Moment,
    /// Heartbeats that were refused lately, as a sign of who workers can reach.
    pub refused_heartbeats: VecDeque<Moment>,
    /// Where the watch on jobs goes on.
    pub jobs_revision: u64,
    /// The newest term that this node has heard of.
    pub newest_term: u64,
    /// Considers handovers while this node leads and watches its links.
    pub handover_planner: Option<HandoverPlanner>,
    /// The lead is to be given up for a better-placed peer.
    pub handover: Option<HandoverRecord>,
}

impl ControllerState {
    /// The cluster, if this node is entitled to act at `now`.
    pub fn acting(&mut self, now: Moment) -> Option<(&LeaderLease, &mut SchedulerState)> {
        match (&self.lead, &mut self.scheduler) {
            (Some(lead), Some(scheduler)) if now < lead.valid_until && !self.step_down => {
                Some((lead, scheduler))
            }
            _ => None,
        }
    }
}

/// What one thread does.
pub type Duty = Box<dyn FnOnce() + Send>;

pub struct Controller {
    pub settings: Settings,
    pub options: ServeOptions,
    /// How long the leader's lease lives.
    pub lease_life: Micros,
    pub os: Arc<dyn Os>,
    pub store: Store,
    pub cloud: Arc<dyn HttpClient>,
    pub state: Mutex<ControllerState>,
    /// Signalled when records are due and when they were written.
    pub changed: Arc<dyn EventCount>,
    /// Signalled when orders may go straight to workers.
    pub direct_due: Arc<dyn EventCount>,
    pub workers: WorkerClients,
    pub peers: BTreeMap<String, PeerClient>,
    pub submit_tokens: Mutex<TokenBucket>,
    pub cloud_tokens: Mutex<TokenBucket>,
    pub catalog: Mutex<Option<Arc<Vec<MachineType>>>>,
    /// Connections of users and workers that are open.
    pub open_connections: Arc<AtomicUsize>,
    /// Neither the state service nor any peer answers.
    pub isolated: AtomicBool,
    /// The record format that all controllers are known to know, as last read.
    pub level: Mutex<Level>,
    /// What is believed of the links, where they are watched.
    pub link_health: Option<Arc<LinkHealth>>,
}

impl Controller {
    pub fn new(
        settings: Settings,
        options: ServeOptions,
        os: Arc<dyn Os>,
    ) -> Result<Controller, SettingsError> {
        let asked = options.leader_lease_ms.map(Micros::from_millis);
        let lease_life = settings.leader_lease(asked)?;
        let link_settings = options.links.settings()?;
        let link_health =
            link_settings.map(|links| Arc::new(LinkHealth::new(&settings, links, os.wall())));
        let observations = link_health
            .as_ref()
            .map(|health| health.observations.clone());
        let now = os.now();
        let nodes = settings.members.len() as f64 + 1.0;
        let site = &settings.settings;
        let limits = site.state.strictest();
        // What the leader's budget leaves is for submissions, shared among the nodes.
        let submit = limits.write_rps * (1.0 - options.write_budget as f64 / 100.0) / nodes;
        let peers = settings
            .members
            .iter()
            .map(|member| {
                let link = Link::Peer(NodeName(member.node.clone()));
                let client = PeerClient::new(os.clone(), member.peer_addr);
                let client = client.with_observations(link, observations.clone());
                (member.node.clone(), client)
            })
            .collect();
        Ok(Controller {
            // The leader reads and writes most; the shares still stay below the limit together.
            store: Store::new(settings.endpoints.state, limits.rps / nodes, os.clone())
                .with_observations(observations),
            cloud: os.http_client(settings.endpoints.cloud),
            state: Mutex::new(ControllerState {
                terminal_states: TerminalStates::new(site.quota.max_remembered()),
                ..ControllerState::default()
            }),
            changed: os.event_count(),
            direct_due: os.event_count(),
            workers: WorkerClients::default(),
            peers,
            submit_tokens: Mutex::new(TokenBucket::new(submit, submit.max(4.0), now)),
            cloud_tokens: Mutex::new(TokenBucket::new(site.cloud.rps * 0.9, site.cloud.rps, now)),
            catalog: Mutex::new(None),
            open_connections: Arc::default(),
            isolated: AtomicBool::new(false),
            level: Mutex::default(),
            link_health,
            lease_life,
            os,
            settings,
            options,
        })
    }

    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn now(&self) -> Moment {
        self.os.now()
    }

    pub fn catalog(&self) -> Option<Arc<Vec<MachineType>>> {
        self.catalog
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

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

    /// Releases the main lock until something changed, or for so long.
    pub fn await_change(&self, state: MutexGuard<'_, ControllerState>, most: Duration) {
        let observed = self.changed.prepare_wait();
        drop(state);
        self.changed.wait(observed, most);
    }

    /// What each thread of a process does, for as long as it lives.
    pub fn duties(self: &Arc<Self>) -> Vec<(&'static str, Duty)> {
        let duty = |run: fn(&Controller)| {
            let node = self.clone();
            Box::new(move || run(&node)) as Duty
        };
        let mut duties = vec![
            ("catalog", duty(Controller::catalog_loop)),
            ("lead", duty(Controller::lead_loop)),
            ("rounds", duty(Controller::rounds_loop)),
            ("jobs", duty(Controller::jobs_loop)),
            ("fleet", duty(Controller::cloud_sync_loop)),
            ("tick", duty(Controller::timer_loop)),
            ("company", duty(Controller::peer_probe_loop)),
            ("level", duty(Controller::level_loop)),
        ];
        if self.link_health.is_some() {
            duties.push(("links", duty(Controller::link_state_loop)));
            duties.push(("link-exchange", duty(Controller::view_exchange_loop)));
        }
        for _ in 0..self.settings.settings.quota.direct_threads() {
            duties.push(("direct", duty(Controller::direct_loop)));
        }
        duties
    }

    /// Starts every thread and answers users and workers until the process is killed.
    pub fn run(self: Arc<Self>, system: Arc<System>) -> std::io::Result<()> {
        let public = TcpListener::bind(self.settings.public_addr)?;
        let peers = TcpListener::bind(self.settings.peer_listen)?;
        log::info!(
            "{} serves {} and peers on {}",
            self.settings.node,
            self.settings.public_addr,
            self.settings.peer_listen
        );
        let spawn = |name: &str, duty: Duty| {
            std::thread::Builder::new()
                .name(name.to_string())
                .stack_size(512 * 1024)
                .spawn(duty)
                .map(drop)
        };
        for (name, duty) in self.duties() {
            spawn(name, duty)?;
        }
        let quota = self.settings.settings.quota.clone();
        let node = self.clone();
        let most = quota.peer_connections();
        let answer = Arc::new(move |r| node.answer_peer(r));
        spawn("peers", Box::new(move || serve_peers(peers, most, answer)))?;
        let limits = ServerLimits {
            max_connections: quota.connections(),
            max_pool_threads: quota.pool_threads(),
            max_buffered_bytes: quota.buffered(),
        };
        let open_connections = self.open_connections.clone();
        serve(public, self, system, limits, open_connections)
    }

    fn timer_loop(&self) {
        // Silence counts only while this node answers: during an outage it turns workers away.
        let mut acting_since: Option<Moment> = None;
        let mut told = Moment(0);
        // Ticks and late ones of the last while, for a word to the operator.
        let (mut timers, mut late, mut counted) = (0u32, 0u32, self.now());
        loop {
            let due = self.now() + TIMER_INTERVAL;
            self.os.sleep(TIMER_INTERVAL.duration());
            let overloaded = self.now() - due > LATE;
            timers += 1;
            late += u32::from(overloaded);
            if self.now() - counted > PACE_EVERY {
                if late * 2 > timers {
                    log::warn!("short of processor: {late} of {timers} timers fired late");
                }
                (timers, late, counted) = (0, 0, self.now());
            }
            let mut state = self.state();
            let now = self.now();
            if state.acting(now).is_none() {
                acting_since = None;
            } else {
                acting_since.get_or_insert(now);
            }
            if let Some((_, scheduler)) = state.acting(now) {
                scheduler.overload.note(overloaded, now);
                scheduler.on_timer(now);
                if log::log_enabled!(log::Level::Debug) && now - told > SUMMARY_EVERY {
                    told = now;
                    log::debug!("{}", scheduler.capacity_summary(now));
                    log::debug!("{}", scheduler.command_summary());
                }
                self.wake(scheduler);
                let unheard = acting_since.is_some_and(|since| scheduler.unheard(since, now));
                if unheard && self.stands_down_unasked() && state.abstain_until <= now {
                    log::info!("most workers are silent: standing down");
                    state.step_down = true;
                    state.abstain_until = now + ABSTAIN;
                }
            }
        }
    }

    /// A leader that hears few workers stands down whoever else hears them, unless it can tell.
    fn stands_down_unasked(&self) -> bool {
        let link_health = self.link_health.as_ref();
        link_health.is_none_or(|health| health.any_peer_without_views())
    }

    pub fn answer_peer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Status { id } => {
                let mut state = self.state();
                let now = self.now();
                if let Some(view) = state.terminal_states.get(&id) {
                    return PeerReply::Job(view);
                }
                match state.acting(now) {
                    Some((_, scheduler)) => match scheduler.job_status(&id) {
                        LocalStatus::View(view) => PeerReply::Job(view),
                        LocalStatus::FinalWriteInFlight | LocalStatus::Nothing => {
                            PeerReply::Unknown
                        }
                    },
                    None => PeerReply::NotLeading,
                }
            }
            PeerRequest::Ping => PeerReply::Unknown,
            PeerRequest::Cancel { id } => self.cancel_here(&id),
            PeerRequest::Read { id } => self.read_for_peer(&id),
            PeerRequest::Accept { body } => self.accept_for_peer(&body),
            PeerRequest::Links { view } => self.answer_view(&view),
            PeerRequest::LinkReport => self.answer_link_report(),
        }
    }
}
