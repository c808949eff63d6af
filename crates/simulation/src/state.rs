//! Mutable state of a simulation: services, machines, users, controllers, and the faults in effect.

use crate::checker::{Checker, JobPlan};
use crate::cloud_state::CloudState;
use crate::delayed_commands::DelayedCommands;
use crate::directions::{Cuts, Endpoint};
use crate::fake_store::FakeStore;
use crate::machine::Machine;
use crate::repeated_commands::RepeatedCommands;
use crate::scheduler::Time;
use crate::transcript::Transcript;
use crate::user_job::UserJob;
use crate::worker_protocol::split_task_id;
use aspenreel::controller::Controller;
use aspenreel::workers::wire::Heartbeat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Simulated controller. Each `_until` field is the time at which a fault of this controller ends.
#[derive(Default)]
pub struct NodeState {
    /// Number of the running process; `None` while the controller is down.
    pub process: Option<u64>,
    /// Controller object of the running process.
    pub controller: Option<Arc<Controller>>,
    /// End of a fault in which the store refuses the controller's requests.
    pub refused_until: Time,
    /// End of a cut between the controller and the store.
    pub store_cut_until: Time,
    /// End of a cut between the controller and the other controllers.
    pub peers_cut_until: Time,
    /// End of a cut between the controller and all workers.
    pub workers_cut_until: Time,
}

/// Fault in which some transactions get no answer.
#[derive(Clone, Copy)]
pub struct UnansweredWrites {
    /// Share of the transactions that are affected.
    pub share: f64,
    /// True if these transactions are executed at once, false if after a random delay.
    pub at_once: bool,
    /// Time at which the fault ends.
    pub until: Time,
}

/// Fault in which some heartbeats are duplicated.
#[derive(Clone, Copy)]
pub struct DuplicatedHeartbeats {
    /// Share of the heartbeats that are affected.
    pub share: f64,
    /// True if the copies arrive when the next leader is elected, false if after a random delay.
    pub for_next_leader: bool,
    /// Time at which the fault ends.
    pub until: Time,
}

/// Mutable state of a simulation.
pub struct SimulationState {
    /// Key-value store.
    pub store: FakeStore,
    /// True while the store refuses all requests.
    pub store_is_down: bool,
    /// Key that is deleted from the store before each request, so that no request finds it; no key if empty.
    pub hidden_key: String,
    /// Simulated threads that wait for changes in the key-value store, each with the number of its sleep.
    pub watchers: Vec<(u64, u64)>,
    /// Additional delay of the key-value store's answers.
    pub store_delay: Time,
    /// Factor by which the latency of all messages is multiplied.
    pub latency_factor: Time,
    /// Fault in which transactions get no answer.
    pub unanswered_writes: Option<UnansweredWrites>,
    /// Fault in which heartbeats are duplicated.
    pub duplicated_heartbeats: Option<DuplicatedHeartbeats>,
    /// Copies of heartbeats that arrive when the next leader is elected.
    pub heartbeats_for_next_leader: Vec<Heartbeat>,
    /// Fault in which direct commands are delayed.
    pub(crate) delayed_commands: DelayedCommands,
    /// Fault in which direct commands are repeated.
    pub(crate) repeated_commands: RepeatedCommands,
    /// Controllers, by number.
    pub nodes: Vec<NodeState>,
    /// Zones that are cut off from all others, with the end of each cut.
    pub zone_cuts: BTreeMap<String, Time>,
    /// Cuts of single directions of links.
    pub cuts: Cuts,
    /// All machines that were ever created, by name.
    pub machines: BTreeMap<String, Machine>,
    /// Cloud.
    pub cloud: CloudState,
    /// Users, by job id.
    pub users: BTreeMap<String, UserJob>,
    /// Checker of the protocol's rules.
    pub checker: Checker,
    /// Source of all random draws, which are made in the order of simulated time.
    pub rng: fastrand::Rng,
    /// Number of controller processes started so far.
    pub processes: u64,
    /// Time, term and node of each leader so far, from the leader records in the store.
    pub terms: Vec<(Time, u64, usize)>,
    /// For each start command that a machine received for the first time: the time, and the term in which the start
    /// was decided.
    pub starts_by_term: Vec<(Time, u64)>,
    /// End of the last fault or test step that was recorded.
    pub faults_until: Time,
    /// Digest of all messages so far.
    pub transcript: Transcript,
}

impl SimulationState {
    /// Job that a task belongs to.
    pub(crate) fn plan(&self, task_id: &str) -> Option<&JobPlan> {
        Some(&self.users.get(split_task_id(task_id).0)?.plan)
    }

    /// Machine whose worker has this address.
    pub(crate) fn machine_at(&mut self, addr: SocketAddr) -> Option<&mut Machine> {
        self.machines.values_mut().find(|m| m.addr == addr)
    }
}

impl SimulationState {
    /// True if messages from one endpoint to the other are lost now.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint, now: Time) -> bool {
        self.cuts.blocks(from, to, now)
    }
}
