//! Several controllers, and all that they talk to, in one process on simulated time.

use crate::checker::{Checker, JobPlan};
use crate::cloud_state::CloudState;
use crate::delayed_commands::DelayedCommands;
use crate::directions::Cuts;
use crate::fake_store::FakeStore;
use crate::scheduler::{DeterministicScheduler, Time, lock, secs};
use crate::setup::{CANCEL_S, Setup};
use crate::state::{NodeState, SimulationState};
use crate::transcript::{Channel, Transcript};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// One cluster on simulated time.
pub struct Simulation {
    /// What runs its threads and events.
    pub scheduler: Arc<DeterministicScheduler>,
    /// What it is made of.
    pub setup: Setup,
    pub(crate) state: Mutex<SimulationState>,
}

impl Simulation {
    /// A cluster whose controllers start now; the seed decides everything that is drawn.
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
        for n in 0..simulation.setup.nodes {
            simulation.start_node(n);
        }
        simulation.check_time_limits_periodically();
        simulation
    }

    /// The world's state. Never held while a controller's code runs.
    pub fn state(&self) -> MutexGuard<'_, SimulationState> {
        lock(&self.state)
    }

    /// The simulated time.
    pub fn now(&self) -> Time {
        self.scheduler.now()
    }

    /// The simulated time, as a duration.
    pub fn since_start(&self) -> Duration {
        Duration::from_micros(self.now())
    }

    /// Part of a test's plan: nothing is over before it.
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

    /// Does this work then.
    pub fn at_time(
        self: &Arc<Self>,
        at: Time,
        work: impl FnOnce(&Arc<Simulation>) + Send + 'static,
    ) {
        let simulation = self.clone();
        self.scheduler.at(at, move || work(&simulation));
    }

    /// Does this work after so long.
    pub fn after(
        self: &Arc<Self>,
        span: Time,
        work: impl FnOnce(&Arc<Simulation>) + Send + 'static,
    ) {
        self.at_time(self.now() + span, work);
    }

    /// A time in this range, drawn.
    pub fn random(&self, range: std::ops::Range<Time>) -> Time {
        self.state().rng.u64(range)
    }

    /// Adds a message to the transcript.
    pub fn note_message(&self, channel: Channel, parts: &[&[u8]]) {
        let now = self.now();
        self.state().transcript.add(now, channel, parts);
    }

    /// One way through the network.
    pub fn latency(&self) -> Time {
        let mut state = self.state();
        let span = match state.rng.u32(0..50) {
            0 => state.rng.u64(2_000..40_000),
            _ => state.rng.u64(200..1_500),
        };
        span * state.latency_factor
    }

    /// Looks at the rules now and then.
    pub(crate) fn check_time_limits_periodically(self: &Arc<Self>) {
        let now = self.now();
        self.state().checker.check_time_limits(now);
        self.after(secs(0.5), |sim| sim.check_time_limits_periodically());
    }

    /// A user submits this job at that second.
    pub fn submit(self: &Arc<Self>, at: f64, plan: JobPlan) {
        self.at(at, move |sim| sim.user_submits(plan));
    }

    /// Runs up to this second.
    pub fn run(&self, seconds: f64) -> &Self {
        self.scheduler.run_until(secs(seconds));
        self
    }
}
