//! What changes in a simulation: the services, machines, users and controllers, and the faults in force.

use crate::checker::{Checker, JobPlan};
use crate::cloud_state::CloudState;
use crate::delayed_commands::DelayedCommands;
use crate::directions::{Cuts, Endpoint};
use crate::fake_store::FakeStore;
use crate::machine::{Machine, split_task_id};
use crate::scheduler::Time;
use crate::transcript::Transcript;
use crate::user_job::UserJob;
use aspenreel::controller::Controller;
use aspenreel::workers::wire::Heartbeat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Default)]
pub struct NodeState {
    /// Which of its processes runs, if one does.
    pub process: Option<u64>,
    pub node: Option<Arc<Controller>>,
    pub refused_until: Time,
    pub store_cut_until: Time,
    pub peers_cut_until: Time,
    pub workers_cut_until: Time,
}

/// Transactions without an answer: the share, whether they are carried out at once, until when.
#[derive(Clone, Copy)]
pub struct LateWrites {
    pub share: f64,
    pub at_once: bool,
    pub until: Time,
}

/// Copies of reports: the share, whether they are kept for the next leader, until when.
#[derive(Clone, Copy)]
pub struct LateHeartbeats {
    pub share: f64,
    pub for_next: bool,
    pub until: Time,
}

pub struct SimulationState {
    pub store: FakeStore,
    pub store_is_down: bool,
    /// A key that is never there, if not empty.
    pub hidden: String,
    /// Tasks that wait for changes in the state service.
    pub watchers: Vec<(u64, u64)>,
    /// Added to the state service's answers.
    pub store_delay: Time,
    /// How many times longer every way takes.
    pub slow_links: Time,
    pub late_writes: Option<LateWrites>,
    pub late_heartbeats: Option<LateHeartbeats>,
    pub kept_heartbeats: Vec<Heartbeat>,
    /// Direct commands that the network holds back.
    pub(crate) delayed_commands: DelayedCommands,
    pub nodes: Vec<NodeState>,
    pub zone_cuts: BTreeMap<String, Time>,
    /// Cuts of single directions.
    pub cuts: Cuts,
    pub machines: BTreeMap<String, Machine>,
    pub cloud: CloudState,
    pub users: BTreeMap<String, UserJob>,
    pub checker: Checker,
    pub rng: fastrand::Rng,
    pub processes: u64,
    /// Leaders so far, as the state service's records tell.
    pub terms: Vec<(Time, u64, usize)>,
    /// When machines first saw orders to start, and the term that they were given in.
    pub starts_by_term: Vec<(Time, u64)>,
    /// When the last trouble is over, as far as it was said.
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
