//! Simulation of several controllers and the services that they talk to, in one process on simulated time.

use crate::checker::{Checker, JobPlan};
use crate::cloud_state::CloudState;
use crate::delayed_commands::DelayedCommands;
use crate::directions::Cuts;
use crate::fake_store::FakeStore;
use crate::repeated_commands::RepeatedCommands;
use crate::scheduler::{DeterministicScheduler, Time, lock, secs};
use crate::setup::{CANCEL_S, Setup};
use crate::state::{NodeState, SimulationState};
use crate::transcript::{Channel, Transcript};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Cluster on simulated time.
pub struct Simulation {
    /// Scheduler of the simulation's threads and events.
    pub scheduler: Arc<DeterministicScheduler>,
    /// Configuration of the cluster.
    pub setup: Setup,
    pub(crate) state: Mutex<SimulationState>,
}

impl Simulation {
    /// Creates a cluster and starts its machines and controllers. All random draws depend on the seed alone.
    pub fn new(seed: u64, setup: Setup) -> Arc<Simulation> {
        let limits = setup.teams.clone();
        let simulation = Arc::new(Simulation {
            scheduler: Arc::new(DeterministicScheduler::default()),
            state: Mutex::new(SimulationState {
                store: FakeStore::default(),
                store_is_down: false,
                hidden_key: String::new(),
                watchers: Vec::new(),
                store_delay: 0,
                latency_factor: 1,
                unanswered_writes: None,
                duplicated_heartbeats: None,
                heartbeats_for_next_leader: Vec::new(),
                delayed_commands: DelayedCommands::default(),
                repeated_commands: RepeatedCommands::default(),
                nodes: (0..setup.nodes).map(|_| NodeState::default()).collect(),
                zone_cuts: BTreeMap::new(),
                cuts: Cuts::default(),
                machines: BTreeMap::new(),
                cloud: CloudState::default(),
                users: BTreeMap::new(),
                checker: Checker::new(&limits, CANCEL_S),
                rng: fastrand::Rng::with_seed(seed),
                processes: 0,
                terms: Vec::new(),
                starts_by_term: Vec::new(),
                faults_until: 0,
                transcript: Transcript::default(),
            }),
            setup,
        });
        crate::log::init(&simulation.scheduler);
        for (type_name, zone, spot, count) in simulation.setup.machines.clone() {
            for _ in 0..count {
                simulation.add_machine(type_name, zone, spot, 0);
            }
        }
        for node in 0..simulation.setup.nodes {
            simulation.start_node(node);
        }
        simulation.check_time_limits_periodically();
        simulation
    }

    /// Locks the state of the simulation. The lock must not be held while a controller's code runs.
    pub fn state(&self) -> MutexGuard<'_, SimulationState> {
        lock(&self.state)
    }

    /// Current simulated time.
    pub fn now(&self) -> Time {
        self.scheduler.now()
    }

    /// Simulated time since the start, as a duration.
    pub fn since_start(&self) -> Duration {
        Duration::from_micros(self.now())
    }

    /// Schedules a step of a test at this second. The simulation doesn't finish before its last step.
    pub fn at(
        self: &Arc<Self>,
        seconds: f64,
        work: impl FnOnce(&Arc<Simulation>) + Send + 'static,
    ) {
        {
            let mut state = self.state();
            state.faults_until = state.faults_until.max(secs(seconds));
        }
        self.at_time(secs(seconds), work);
    }

    /// Schedules `work` at a point in simulated time.
    pub fn at_time(
        self: &Arc<Self>,
        at: Time,
        work: impl FnOnce(&Arc<Simulation>) + Send + 'static,
    ) {
        let simulation = self.clone();
        self.scheduler.at(at, move || work(&simulation));
    }

    /// Schedules `work` after a span of simulated time.
    pub fn after(
        self: &Arc<Self>,
        span: Time,
        work: impl FnOnce(&Arc<Simulation>) + Send + 'static,
    ) {
        self.at_time(self.now() + span, work);
    }

    /// Draws a random time from this range.
    pub fn random(&self, range: std::ops::Range<Time>) -> Time {
        self.state().rng.u64(range)
    }

    /// Adds a message to the transcript.
    pub fn note_message(&self, channel: Channel, parts: &[&[u8]]) {
        let now = self.now();
        self.state().transcript.add(now, channel, parts);
    }

    /// Draws the latency of one message: 0.2 to 1.5 ms, and for one message in 50, 2 to 40 ms. It is multiplied by
    /// the state's `latency_factor`.
    pub fn latency(&self) -> Time {
        let mut state = self.state();
        let span = match state.rng.u32(0..50) {
            0 => state.rng.u64(2_000..40_000),
            _ => state.rng.u64(200..1_500),
        };
        span * state.latency_factor
    }

    /// Checks the rules that have time limits now, and schedules the next check after half a second.
    pub(crate) fn check_time_limits_periodically(self: &Arc<Self>) {
        let now = self.now();
        self.state().checker.check_time_limits(now);
        self.after(secs(0.5), |sim| sim.check_time_limits_periodically());
    }

    /// Schedules the submission of a job by a user at this second.
    pub fn submit(self: &Arc<Self>, at: f64, plan: JobPlan) {
        self.at(at, move |sim| sim.user_submits(plan));
    }

    /// Runs the simulation up to this second.
    pub fn run(&self, seconds: f64) -> &Self {
        self.scheduler.run_until(secs(seconds));
        self
    }
}
