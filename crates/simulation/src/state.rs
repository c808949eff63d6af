//! What changes in a simulation: the services, machines, users and controllers, and the faults in force.

use crate::checker::{Checker, JobPlan};
use crate::cloud_state::CloudState;
use crate::delayed_commands::DelayedCommands;
use crate::directions::{Cuts, Endpoint};
use crate::fake_store::FakeStore;
use crate::machine::Machine;
use crate::scheduler::Time;
use crate::transcript::Transcript;
use crate::user_job::UserJob;
use crate::worker_protocol::split_task_id;
use aspenreel::controller::Controller;
use aspenreel::workers::wire::Heartbeat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One controller, as the simulation sees it. Faults last until the time of their field.
#[derive(Default)]
pub struct NodeState {
    /// Which of its processes runs, if one does.
    pub process: Option<u64>,
    /// The running process's controller.
    pub node: Option<Arc<Controller>>,
    /// The store refuses its requests.
    pub refused_until: Time,
    /// It and the store lose each other.
    pub store_cut_until: Time,
    /// It and the other controllers lose each other.
    pub peers_cut_until: Time,
    /// It and the workers lose each other.
    pub workers_cut_until: Time,
}

/// Transactions without an answer: the share, whether they are carried out at once, until when.
#[derive(Clone, Copy)]
pub struct UnansweredWrites {
    /// The share of transactions.
    pub share: f64,
    /// They are carried out at once, and not later.
    pub at_once: bool,
    /// When it is over.
    pub until: Time,
}

/// Copies of reports: the share, whether they are kept for the next leader, until when.
#[derive(Clone, Copy)]
pub struct DuplicatedHeartbeats {
    /// The share of heartbeats.
    pub share: f64,
    /// Copies are kept until the next leader begins.
    pub for_next_leader: bool,
    /// When it is over.
    pub until: Time,
}

/// Everything that changes in a simulation.
pub struct SimulationState {
    /// The key-value store.
    pub store: FakeStore,
    /// The store refuses everybody.
    pub store_is_down: bool,
    /// A key that is never there, if not empty.
    pub hidden_key: String,
    /// Tasks that wait for changes in the key-value store.
    pub watchers: Vec<(u64, u64)>,
    /// Added to the key-value store's answers.
    pub store_delay: Time,
    /// How many times longer every way takes.
    pub latency_factor: Time,
    /// Transactions that get no answer.
    pub unanswered_writes: Option<UnansweredWrites>,
    /// Heartbeats that are copied.
    pub duplicated_heartbeats: Option<DuplicatedHeartbeats>,
    /// Copies of heartbeats for the next leader.
    pub heartbeats_for_next_leader: Vec<Heartbeat>,
    /// Direct commands that the network holds back.
    pub(crate) delayed_commands: DelayedCommands,
    /// The controllers.
    pub nodes: Vec<NodeState>,
    /// Zones that the others do not reach, and until when.
    pub zone_cuts: BTreeMap<String, Time>,
    /// Cuts of single directions.
    pub cuts: Cuts,
    /// All machines that there ever were, by name.
    pub machines: BTreeMap<String, Machine>,
    /// The cloud.
    pub cloud: CloudState,
    /// Users, by job.
    pub users: BTreeMap<String, UserJob>,
    /// The checker of the rules.
    pub checker: Checker,
    /// Draws everything that chance decides, in the order of simulated time.
    pub rng: fastrand::Rng,
    /// Processes of controllers so far.
    pub processes: u64,
    /// Leaders so far, as the key-value store's records tell.
    pub terms: Vec<(Time, u64, usize)>,
    /// When machines first saw commands to start, and the term that they were given in.
    pub starts_by_term: Vec<(Time, u64)>,
    /// When the last fault is over, as far as it was said.
    pub faults_until: Time,
    /// All messages so far.
    pub transcript: Transcript,
}

impl SimulationState {
    pub(crate) fn plan(&self, task_id: &str) -> Option<&JobPlan> {
        Some(&self.users.get(split_task_id(task_id).0)?.plan)
    }

    pub(crate) fn machine_at(&mut self, addr: SocketAddr) -> Option<&mut Machine> {
        self.machines.values_mut().find(|m| m.addr == addr)
    }
}

impl SimulationState {
    /// Nothing gets through from one end to the other now.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint, now: Time) -> bool {
        self.cuts.blocks(from, to, now)
    }
}
