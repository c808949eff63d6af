//! Real controllers on loopback, connected by relays that can cut each direction of a link by itself.
//!
//! The checker of the simulation checks the service rules against the responses to users and the tasks on workers.

use crate::checker::{Answer, Checker, RequestKind};
use crate::directions::{Direction, Endpoint};
use crate::stand_ins::cloud_server::CloudServer;
use crate::stand_ins::deployment::{CANCEL_S, Deployment, SMALL_TEAM, SMALL_TEAM_CPUS};
use crate::stand_ins::ports::Addresses;
use crate::stand_ins::processes::Nodes;
use crate::stand_ins::processes::leader;
use crate::stand_ins::relay::{Relay, Traffic};
use crate::stand_ins::store_server::StoreServer;
use crate::stand_ins::worker::TimedChecker;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of controllers in the cluster.
pub const NODES: usize = 3;
/// Run time of a task, in milliseconds.
pub const TASK_MS: u64 = 900;

/// Relays from each controller to the workers, and the traffic that is set on the relays of new workers.
#[derive(Default)]
struct WorkerRelays {
    relays: [Vec<Relay>; NODES],
    to_workers: [Traffic; NODES],
    from_workers: [Traffic; NODES],
}

/// Three controllers, the stand-ins that they talk to, and a relay on each link between them.
pub struct LoopbackCluster {
    /// The key-value store.
    pub store: Arc<StoreServer>,
    /// The cloud and its workers.
    pub cloud: Arc<CloudServer>,
    /// The controller processes.
    pub nodes: Nodes,
    /// Relays from each controller to the store.
    to_store: Vec<Relay>,
    /// Relays between controllers, by sender and receiver of the requests.
    to_peers: BTreeMap<(usize, usize), Relay>,
    /// Relays from the workers to each controller.
    heartbeat_relays: Vec<Relay>,
    to_workers: Arc<Mutex<WorkerRelays>>,
}

impl LoopbackCluster {
    /// Starts the stand-ins, the relays and the controllers, and waits until the controllers are up. `spawn` starts
    /// a controller process from its settings file.
    pub fn start(
        tag: &str,
        deployment: &Deployment,
        spawn: impl Fn(&Path) -> Child,
    ) -> LoopbackCluster {
        let (store, store_addr) = StoreServer::start();
        let (cloud, cloud_addr) = CloudServer::start();
        let addresses = Addresses::free();
        let to_store: Vec<Relay> = (0..NODES).map(|_| Relay::to(store_addr)).collect();
        let heartbeat_relays: Vec<Relay> = addresses.public.iter().map(|a| Relay::to(*a)).collect();
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
        let named = |n: usize| (format!("n-{n}"), heartbeat_relays[n].addr);
        *cloud.controllers.lock().unwrap() = (0..NODES).map(named).collect();
        let checker = Checker::new(
            &[("a", deployment.team_cpus), (SMALL_TEAM, SMALL_TEAM_CPUS)],
            CANCEL_S,
        );
        *cloud.environment.timed_checker.lock().unwrap() = Some(TimedChecker::new(checker));
        cloud
            .environment
            .task_duration_ms
            .store(TASK_MS, Ordering::Relaxed);
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
            heartbeat_relays,
            to_workers,
        }
    }

    /// Sets the traffic in one direction of a link.
    pub fn set_traffic(&self, direction: Direction, traffic: Traffic) {
        match (direction.from, direction.to) {
            (Endpoint::Node(n), Endpoint::Store) => self.to_store[n].set_to_target(traffic),
            (Endpoint::Store, Endpoint::Node(n)) => self.to_store[n].set_from_target(traffic),
            (Endpoint::Workers, Endpoint::Node(n)) => {
                self.heartbeat_relays[n].set_to_target(traffic);
                let mut workers = self.to_workers.lock().unwrap();
                workers.from_workers[n] = traffic;
                workers.relays[n]
                    .iter()
                    .for_each(|r| r.set_from_target(traffic));
            }
            (Endpoint::Node(n), Endpoint::Workers) => {
                self.heartbeat_relays[n].set_from_target(traffic);
                let mut workers = self.to_workers.lock().unwrap();
                workers.to_workers[n] = traffic;
                workers.relays[n]
                    .iter()
                    .for_each(|r| r.set_to_target(traffic));
            }
            (Endpoint::Node(a), Endpoint::Node(b)) => {
                self.to_peers[&(a, b)].set_to_target(traffic);
                self.to_peers[&(b, a)].set_from_target(traffic);
            }
            _ => panic!("the cluster has no link for {direction:?}"),
        }
    }

    /// Sets the traffic of the commands that this controller sends to the workers' own addresses. With
    /// `Traffic::Late` they are held back, in order on each connection, and delivered once. Heartbeats and their
    /// responses are not affected.
    pub fn set_command_traffic(&self, node: usize, traffic: Traffic) {
        let mut workers = self.to_workers.lock().unwrap();
        workers.to_workers[node] = traffic;
        workers.relays[node]
            .iter()
            .for_each(|r| r.set_to_target(traffic));
    }

    /// Returns the controller that the key-value store currently names as leader.
    pub fn current_leader(&self) -> Option<usize> {
        leader(&self.store)
    }

    /// Waits until the key-value store names a leader, and returns it; panics after 120 s.
    pub fn wait_for_leader(&self) -> usize {
        let deadline = Instant::now() + Duration::from_secs(120);
        loop {
            if let Some(leader) = leader(&self.store) {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader within 120 s");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Calls `work` with the checker and the time since the start of the run, in microseconds.
    pub fn with_checker(&self, work: impl FnOnce(&mut Checker, u64)) {
        let mut timed_checker = self.cloud.environment.timed_checker.lock().unwrap();
        let timed_checker = timed_checker.as_mut().unwrap();
        let now = timed_checker.now();
        work(&mut timed_checker.checker, now);
    }

    /// Returns the time since the start of the run, in microseconds.
    pub fn now(&self) -> u64 {
        self.cloud
            .environment
            .timed_checker
            .lock()
            .unwrap()
            .as_ref()
            .unwrap()
            .now()
    }

    /// Sends a user's request to one controller, and passes the response or its absence to the checker.
    pub fn send_request(&self, id: &str, kind: RequestKind, node: usize, body: &[u8]) {
        let (method, path) = match kind {
            RequestKind::Submit | RequestKind::MalformedSubmit => ("POST", "/work".to_string()),
            RequestKind::Status => ("GET", format!("/work/{id}")),
            RequestKind::Cancel => ("POST", format!("/work/{id}/withdraw")),
        };
        let sent = self.now();
        let timeout = answer_timeout(kind);
        let (status, answer) = self.nodes.call_within(timeout, node, method, &path, body);
        self.with_checker(|checker, got| {
            if matches!(status, 200 | 201 | 404 | 400 | 422) {
                let state = answer
                    .filter(|_| matches!(status, 200 | 201))
                    .map(|a| a.status);
                let answer = Answer {
                    kind,
                    node,
                    sent,
                    got,
                    status,
                    state,
                };
                checker.answered(id, &answer);
            } else {
                checker.unanswered(id, kind, sent, got);
            }
        });
    }
}

/// Time for which a user waits for an answer.
fn answer_timeout(kind: RequestKind) -> Duration {
    match kind {
        RequestKind::Status => Duration::from_secs(2),
        _ => Duration::from_secs(5),
    }
}

impl WorkerRelays {
    /// Starts a relay to a new worker for each controller, and returns their addresses.
    fn add(&mut self, worker: SocketAddr) -> Vec<SocketAddr> {
        let mut routes = Vec::new();
        for node in 0..NODES {
            let relay = Relay::to(worker);
            relay.set_to_target(self.to_workers[node]);
            relay.set_from_target(self.from_workers[node]);
            routes.push(relay.addr);
            self.relays[node].push(relay);
        }
        routes
    }
}
