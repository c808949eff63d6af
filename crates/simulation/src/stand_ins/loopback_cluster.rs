//! Real controllers behind relays that cut one direction at a time.
//!
//! The checker of the simulation watches the rules from what users are told and what workers do.

use crate::checker::{Answer, Checker, Question};
use crate::directions::{Direction, Endpoint};
use crate::stand_ins::cloud_server::CloudServer;
use crate::stand_ins::deployment::{CANCEL_S, Deployment};
use crate::stand_ins::ports::Addresses;
use crate::stand_ins::processes::Nodes;
use crate::stand_ins::processes::leader;
use crate::stand_ins::relay::{Relay, Traffic};
use crate::stand_ins::store_server::StoreServer;
use crate::stand_ins::worker::History;
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
    /// The store.
    pub store: Arc<StoreServer>,
    /// The cloud, with its workers.
    pub cloud: Arc<CloudServer>,
    /// The controllers' processes.
    pub nodes: Nodes,
    to_store: Vec<Relay>,
    to_peers: BTreeMap<(usize, usize), Relay>,
    heartbeats: Vec<Relay>,
    to_workers: Arc<Mutex<WorkerRelays>>,
}

impl LoopbackCluster {
    /// Starts everything; `spawn` starts the process of a controller.
    pub fn start(
        tag: &str,
        deployment: &Deployment,
        spawn: impl Fn(&Path) -> Child,
    ) -> LoopbackCluster {
        let (store, store_addr) = StoreServer::start();
        let (cloud, cloud_addr) = CloudServer::start();
        let addresses = Addresses::free();
        let to_store: Vec<Relay> = (0..NODES).map(|_| Relay::to(store_addr)).collect();
        let heartbeats: Vec<Relay> = addresses.public.iter().map(|a| Relay::to(*a)).collect();
        let mut to_peers = BTreeMap::new();
        for from in 0..NODES {
            for to in (0..NODES).filter(|to| *to != from) {
                to_peers.insert((from, to), Relay::to(addresses.peers[to]));
            }
        }
        let to_workers: Arc<Mutex<WorkerRelays>> = Arc::default();
        let relays = to_workers.clone();
        *cloud.worker_routes.lock().unwrap() =
            Some(Box::new(move |addr| relays.lock().unwrap().add(addr)));
        let named = |n: usize| (format!("n-{n}"), heartbeats[n].addr);
        *cloud.controllers.lock().unwrap() = (0..NODES).map(named).collect();
        let checker = Checker::new(&[("a", deployment.team_cpus)], CANCEL_S);
        *cloud.environment.history.lock().unwrap() = Some(History::new(checker));
        cloud.environment.task_ms.store(TASK_MS, Ordering::Relaxed);
        let stores = [0, 1, 2].map(|n| to_store[n].addr);
        let peer_address = |from, to| to_peers[&(from, to)].addr;
        let nodes = Nodes::start(
            deployment,
            addresses,
            peer_address,
            stores,
            cloud_addr,
            tag,
            spawn,
        );
        for n in 0..NODES {
            nodes.poll_until(n, "GET", "/up", &[], |s, _| s == 200);
        }
        LoopbackCluster {
            store,
            cloud,
            nodes,
            to_store,
            to_peers,
            heartbeats,
            to_workers,
        }
    }

    /// Sets what happens to what goes one way.
    pub fn set_traffic(&self, direction: Direction, traffic: Traffic) {
        match (direction.from, direction.to) {
            (Endpoint::Node(n), Endpoint::Store) => self.to_store[n].set_there(traffic),
            (Endpoint::Store, Endpoint::Node(n)) => self.to_store[n].set_back(traffic),
            (Endpoint::Workers, Endpoint::Node(n)) => {
                self.heartbeats[n].set_there(traffic);
                let mut workers = self.to_workers.lock().unwrap();
                workers.back[n] = traffic;
                workers.relays[n].iter().for_each(|r| r.set_back(traffic));
            }
            (Endpoint::Node(n), Endpoint::Workers) => {
                self.heartbeats[n].set_back(traffic);
                let mut workers = self.to_workers.lock().unwrap();
                workers.there[n] = traffic;
                workers.relays[n].iter().for_each(|r| r.set_there(traffic));
            }
            (Endpoint::Node(a), Endpoint::Node(b)) => {
                self.to_peers[&(a, b)].set_there(traffic);
                self.to_peers[&(b, a)].set_back(traffic);
            }
            _ => panic!("no such way: {direction:?}"),
        }
    }

    /// Commands that go straight from this controller to workers are held back for so long, in order on each
    /// connection, and delivered once. Heartbeats and their answers are not touched.
    pub fn set_command_traffic(&self, node: usize, traffic: Traffic) {
        let mut workers = self.to_workers.lock().unwrap();
        workers.there[node] = traffic;
        workers.relays[node]
            .iter()
            .for_each(|r| r.set_there(traffic));
    }

    /// The controller that the key-value store names as leader, if there is one now.
    pub fn current_leader(&self) -> Option<usize> {
        leader(&self.store)
    }

    /// The controller that leads, as soon as one does.
    pub fn wait_for_leader(&self) -> usize {
        let deadline = Instant::now() + Duration::from_secs(120);
        loop {
            if let Some(leader) = leader(&self.store) {
                return leader;
            }
            assert!(Instant::now() < deadline, "nobody leads");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Does something with the checker, at the time that it counts.
    pub fn with_checker(&self, work: impl FnOnce(&mut Checker, u64)) {
        let mut history = self.cloud.environment.history.lock().unwrap();
        let history = history.as_mut().unwrap();
        let now = history.now();
        work(&mut history.checker, now);
    }

    /// Now, as the checker counts time.
    pub fn now(&self) -> u64 {
        self.cloud
            .environment
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
        self.with_checker(|checker, got| {
            if matches!(status, 200 | 201 | 404 | 400 | 422) {
                let state = answer
                    .filter(|_| matches!(status, 200 | 201))
                    .map(|a| a.status);
                let answer = Answer {
                    question,
                    node,
                    sent,
                    got,
                    status,
                    state,
                };
                checker.answered(id, &answer);
            } else {
                checker.unanswered(id, question, sent, got);
            }
        });
    }
}

impl WorkerRelays {
    /// Relays to a new worker, one for each controller.
    fn add(&mut self, worker: SocketAddr) -> Vec<SocketAddr> {
        let mut routes = Vec::new();
        for node in 0..NODES {
            let relay = Relay::to(worker);
            relay.set_there(self.there[node]);
            relay.set_back(self.back[node]);
            routes.push(relay.addr);
            self.relays[node].push(relay);
        }
        routes
    }
}
