//! Real controllers that watch their links, behind relays that cut one direction at a time.
//!
//! While links are cut users submit, ask and cancel, and workers run tasks; the checker of the model watches
//! the rules from what users are told and what workers do. Each test plays one round of each cut; more, with
//! other moments: `LINKS_ROUNDS=20 cargo test --test service half_cut_links` (`docs/half-cut-links.md`).

use crate::nodes::{Addresses, Nodes, job, leader, spawn_watching};
use aspenreel_testbed::checker::{Checker, JobPlan, Question, Told};
use aspenreel_testbed::cuts::{End, Way};
use aspenreel_testbed::relay::{Relay, Traffic};
use aspenreel_testbed::servers::{Cloud, History, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// As the settings of the tests say.
const TEAM_CPUS: f64 = 32.0;
const CANCEL_S: f64 = 8.0;
/// Longer than the workers' lease, and than the leader's.
const CUT: Duration = Duration::from_millis(4600);
const TASK_MS: u64 = 900;

/// Relays to the workers, by controller, and what happens on the ways to those to come.
#[derive(Default)]
struct WorkerRelays {
    relays: [Vec<Relay>; NODES],
    there: [Traffic; NODES],
    back: [Traffic; NODES],
}

struct Cluster {
    state: Arc<State>,
    cloud: Arc<Cloud>,
    nodes: Nodes,
    to_state: Vec<Relay>,
    to_peers: BTreeMap<(usize, usize), Relay>,
    heartbeats: Vec<Relay>,
    to_workers: Arc<Mutex<WorkerRelays>>,
}

impl Cluster {
    fn start(tag: &str) -> Cluster {
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
        let checker = Checker::new(&[("a", TEAM_CPUS)], CANCEL_S);
        *cloud.ground.history.lock().unwrap() = Some(History::new(checker));
        cloud.ground.task_ms.store(TASK_MS, Ordering::Relaxed);
        let states = [0, 1, 2].map(|n| to_state[n].addr);
        let peer_way = |from, to| to_peers[&(from, to)].addr;
        let nodes = Nodes::start_at(addresses, peer_way, states, cloud_addr, tag, spawn_watching);
        for n in 0..NODES {
            nodes.until(n, "GET", "/up", &[], |s, _| s == 200);
        }
        Cluster {
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
    fn set(&self, way: Way, traffic: Traffic) {
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

    fn leader(&self) -> usize {
        let deadline = Instant::now() + Duration::from_secs(120);
        loop {
            if let Some(leader) = leader(&self.state) {
                return leader;
            }
            assert!(Instant::now() < deadline, "nobody leads");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn check(&self, work: impl FnOnce(&mut Checker, u64)) {
        let mut history = self.cloud.ground.history.lock().unwrap();
        let history = history.as_mut().unwrap();
        let now = history.now();
        work(&mut history.checker, now);
    }

    fn now(&self) -> u64 {
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
    fn ask(&self, id: &str, question: Question, node: usize, body: &[u8]) {
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

/// Users of one cluster: they come with jobs, ask, and cancel some.
struct Users<'a> {
    cluster: &'a Cluster,
    rng: fastrand::Rng,
    next: u32,
    open: Vec<JobPlan>,
}

impl Users<'_> {
    fn node(&mut self) -> usize {
        self.rng.usize(0..NODES)
    }

    fn submit(&mut self) {
        self.next += 1;
        let tasks = self.rng.u32(1..=3);
        let plan = JobPlan::new(self.next, tasks, 1.0, TASK_MS as f64 / 1000.0);
        self.cluster.check(|checker, _| checker.submitted(&plan));
        self.open.push(plan);
    }

    /// One question about one open job: a submission until it is accepted, then its state, or a
    /// cancellation.
    fn ask_one(&mut self) {
        let Some(at) = (!self.open.is_empty()).then(|| self.rng.usize(0..self.open.len())) else {
            return;
        };
        let plan = self.open[at].clone();
        let node = self.node();
        let mut accepted = false;
        let mut wants_cancel = false;
        self.cluster.check(|checker, _| {
            accepted = checker.is_accepted(&plan.id);
            // Every fourth job is called off, sooner or later.
            wants_cancel = plan.id.ends_with(['0', '4', '8']);
        });
        let question = match accepted {
            false => Question::Submit,
            true if wants_cancel && self.rng.u32(0..4) == 0 => Question::Cancel,
            true => Question::Status,
        };
        if question == Question::Cancel {
            self.cluster
                .check(|checker, _| checker.asks_cancel(&plan.id));
        }
        let body = job(&plan.id, plan.tasks, plan.cpus);
        self.cluster.ask(&plan.id, question, node, &body);
        let cluster = self.cluster;
        self.open.retain(|plan| {
            let mut ended = false;
            cluster.check(|checker, _| ended = checker.ended(&plan.id).is_some());
            !ended
        });
    }

    fn busy_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            if self.open.len() < 8 {
                self.submit();
            }
            self.ask_one();
            self.cluster.check(Checker::look);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Asks until every job has ended: none may be lost.
    fn until_all_ended(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(240);
        while !self.open.is_empty() {
            self.ask_one();
            let left = &self.open;
            assert!(Instant::now() < deadline, "never ended: {left:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// What is done to some ways of the leader for a while.
enum Trouble {
    Steady(Traffic),
    /// The ways are blocked for the first half of each period.
    Flapping(Duration),
}

/// Plays a trouble on each choice of ways, with users and workers at work, and checks the history.
fn play(tag: &str, choices: &[&[usize]], trouble: &Trouble) {
    let rounds: u32 = match std::env::var("LINKS_ROUNDS") {
        Ok(rounds) => rounds.parse().unwrap(),
        Err(_) => 1,
    };
    let cluster = Cluster::start(tag);
    let mut users = Users {
        cluster: &cluster,
        rng: fastrand::Rng::with_seed(1),
        next: 0,
        open: Vec::new(),
    };
    users.busy_for(Duration::from_millis(2500));
    for _ in 0..rounds {
        for choice in choices {
            let all = Way::all_of(cluster.leader(), NODES);
            let ways: Vec<Way> = choice.iter().map(|n| all[*n]).collect();
            let set = |traffic| ways.iter().for_each(|way| cluster.set(*way, traffic));
            match trouble {
                Trouble::Steady(traffic) => {
                    set(*traffic);
                    users.busy_for(CUT);
                    set(Traffic::Passes);
                }
                Trouble::Flapping(period) => {
                    let ends = Instant::now() + 2 * CUT;
                    while Instant::now() < ends {
                        set(Traffic::Blocked);
                        users.busy_for(*period / 2);
                        set(Traffic::Passes);
                        users.busy_for(*period / 2);
                    }
                }
            }
            let moment = users.rng.u64(200..900);
            users.busy_for(Duration::from_millis(moment));
        }
    }
    users.until_all_ended();
    cluster.check(|checker, now| {
        checker.look(now);
        assert_eq!(checker.broken, Vec::<String>::new());
        assert!(checker.told_done > 5, "hardly anything ran");
    });
    let twice = cluster.cloud.ground.broken.lock().unwrap();
    assert_eq!(*twice, Vec::<String>::new());
}

const STATE: [&[usize]; 3] = [&[0], &[1], &[0, 1]];
const WORKERS: [&[usize]; 3] = [&[2], &[3], &[2, 3]];
const PEERS: [&[usize]; 3] = [&[4], &[5], &[4, 5, 6, 7]];

#[test]
fn each_direction_to_the_state_service_is_blocked() {
    play("cut-state", &STATE, &Trouble::Steady(Traffic::Blocked));
}

#[test]
fn each_direction_to_workers_is_blocked() {
    play("cut-workers", &WORKERS, &Trouble::Steady(Traffic::Blocked));
}

#[test]
fn each_direction_to_peers_is_blocked() {
    play("cut-peers", &PEERS, &Trouble::Steady(Traffic::Blocked));
}

#[test]
fn links_are_reset_or_slow() {
    let choices: [&[usize]; 3] = [&[0], &[2], &[4]];
    play("reset", &choices, &Trouble::Steady(Traffic::Reset));
    let slow = Traffic::Delayed(Duration::from_millis(300));
    play("slow", &choices, &Trouble::Steady(slow));
}

#[test]
fn links_flap() {
    let choices: [&[usize]; 2] = [&[0, 1], &[2, 3]];
    let period = Duration::from_millis(1400);
    play("flaps", &choices, &Trouble::Flapping(period));
}
