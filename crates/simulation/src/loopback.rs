//! Real controllers behind relays that cut one direction at a time.
//!
//! The checker of the model watches the rules from what users are told and what workers do.

use crate::checker::{Checker, Question, Told};
use crate::cuts::{End, Way};
use crate::processes::{Addresses, CANCEL_S, Nodes, Site, leader};
use crate::relay::{Relay, Traffic};
use crate::servers::{Cloud, State};
use crate::worker::History;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Controllers of one cluster.
pub const NODES: usize = 3;
/// How long a task runs.
pub const TASK_MS: u64 = 900;

/// Relays to the workers, by controller, and what happens on the ways to those to come.
#[derive(Default)]
struct WorkerRelays {
    relays: [Vec<Relay>; NODES],
    there: [Traffic; NODES],
    back: [Traffic; NODES],
}

/// Three processes, the stand-ins that they talk to, and a relay on each way between them.
pub struct LoopbackCluster {
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub nodes: Nodes,
    to_state: Vec<Relay>,
    to_peers: BTreeMap<(usize, usize), Relay>,
    heartbeats: Vec<Relay>,
    to_workers: Arc<Mutex<WorkerRelays>>,
}

impl LoopbackCluster {
    /// Starts everything; `spawn` starts the process of a controller.
    pub fn start(tag: &str, site: &Site, spawn: impl Fn(&Path) -> Child) -> LoopbackCluster {
        let (state, state_addr) = State::start();
        let (cloud, cloud_addr) = Cloud::start();
        let addresses = Addresses::free();
        let to_state: Vec<Relay> = (0..NODES).map(|_| Relay::to(state_addr)).collect();
        let heartbeats: Vec<Relay> = addresses.public.iter().map(|a| Relay::to(*a)).collect();
        let mut to_peers = BTreeMap::new();
        for from in 0..NODES {
            for to in (0..NODES).filter(|to| *to != from) {
                to_peers.insert((from, to), Relay::to(addresses.peers[to]));
            }
        }
        let to_workers: Arc<Mutex<WorkerRelays>> = Arc::default();
        let relays = to_workers.clone();
        *cloud.worker_ways.lock().unwrap() =
            Some(Box::new(move |addr| relays.lock().unwrap().add(addr)));
        let named = |n: usize| (format!("n-{n}"), heartbeats[n].addr);
        *cloud.controllers.lock().unwrap() = (0..NODES).map(named).collect();
        let checker = Checker::new(&[("a", site.team_cpus)], CANCEL_S);
        *cloud.ground.history.lock().unwrap() = Some(History::new(checker));
        cloud.ground.task_ms.store(TASK_MS, Ordering::Relaxed);
        let states = [0, 1, 2].map(|n| to_state[n].addr);
        let peer_way = |from, to| to_peers[&(from, to)].addr;
        let nodes = Nodes::start_at(site, addresses, peer_way, states, cloud_addr, tag, spawn);
        for n in 0..NODES {
            nodes.until(n, "GET", "/up", &[], |s, _| s == 200);
        }
        LoopbackCluster {
            state,
            cloud,
            nodes,
            to_state,
            to_peers,
            heartbeats,
            to_workers,
        }
    }

    /// Sets what happens to what goes one way.
    pub fn set(&self, way: Way, traffic: Traffic) {
        match (way.from, way.to) {
            (End::Node(n), End::State) => self.to_state[n].set_there(traffic),
            (End::State, End::Node(n)) => self.to_state[n].set_back(traffic),
            (End::Workers, End::Node(n)) => {
                self.heartbeats[n].set_there(traffic);
                let mut workers = self.to_workers.lock().unwrap();
                workers.back[n] = traffic;
                workers.relays[n].iter().for_each(|r| r.set_back(traffic));
            }
            (End::Node(n), End::Workers) => {
                self.heartbeats[n].set_back(traffic);
                let mut workers = self.to_workers.lock().unwrap();
                workers.there[n] = traffic;
                workers.relays[n].iter().for_each(|r| r.set_there(traffic));
            }
            (End::Node(a), End::Node(b)) => {
                self.to_peers[&(a, b)].set_there(traffic);
                self.to_peers[&(b, a)].set_back(traffic);
            }
            _ => panic!("no such way: {way:?}"),
        }
    }

    /// Orders that go straight from this controller to workers are held back for so long, in order on each
    /// connection, and delivered once. Heartbeats and their answers are not touched.
    pub fn hold_commands(&self, node: usize, traffic: Traffic) {
        let mut workers = self.to_workers.lock().unwrap();
        workers.there[node] = traffic;
        workers.relays[node]
            .iter()
            .for_each(|r| r.set_there(traffic));
    }

    /// The controller that the state service names as leader, if there is one now.
    pub fn leader_if_any(&self) -> Option<usize> {
        leader(&self.state)
    }

    /// The controller that leads, as soon as one does.
    pub fn leader(&self) -> usize {
        let deadline = Instant::now() + Duration::from_secs(120);
        loop {
            if let Some(leader) = leader(&self.state) {
                return leader;
            }
            assert!(Instant::now() < deadline, "nobody leads");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn check(&self, work: impl FnOnce(&mut Checker, u64)) {
        let mut history = self.cloud.ground.history.lock().unwrap();
        let history = history.as_mut().unwrap();
        let now = history.now();
        work(&mut history.checker, now);
    }

    pub fn now(&self) -> u64 {
        self.cloud
            .ground
            .history
            .lock()
            .unwrap()
            .as_ref()
            .unwrap()
            .now()
    }

    /// Asks one node as a user would, and tells the checker what came.
    pub fn ask(&self, id: &str, question: Question, node: usize, body: &[u8]) {
        let (method, path) = match question {
            Question::Submit | Question::BadSubmit => ("POST", "/work".to_string()),
            Question::Status => ("GET", format!("/work/{id}")),
            Question::Cancel => ("POST", format!("/work/{id}/withdraw")),
        };
        let sent = self.now();
        let (status, answer) = self.nodes.call(node, method, &path, body);
        self.check(|checker, got| {
            if matches!(status, 200 | 201 | 404 | 400 | 422) {
                let state = answer
                    .filter(|_| matches!(status, 200 | 201))
                    .map(|a| a.status);
                let told = Told {
                    question,
                    node,
                    sent,
                    got,
                    status,
                    state,
                };
                checker.told(id, &told);
            } else {
                checker.in_vain(id, question, sent, got);
            }
        });
    }
}

impl WorkerRelays {
    /// Relays to a new worker, one for each controller.
    fn add(&mut self, worker: SocketAddr) -> Vec<SocketAddr> {
        let mut ways = Vec::new();
        for node in 0..NODES {
            let relay = Relay::to(worker);
            relay.set_there(self.there[node]);
            relay.set_back(self.back[node]);
            ways.push(relay.addr);
            self.relays[node].push(relay);
        }
        ways
    }
}
