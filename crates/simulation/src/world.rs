//! Several controllers, and all that they talk to, in one process on simulated time.

use crate::checker::{Checker, JobPlan};
use crate::cloud::Cloud;
use crate::cuts::Cuts;
use crate::held::HeldCommands;
use crate::keys::Keys;
use crate::machines::Machine;
use crate::net::SimOs;
use crate::sched::{Sched, Time, lock, secs};
use crate::transcript::{Channel, Transcript};
use crate::users::UserJob;
use aspenreel::cli::{Cli, Command};
use aspenreel::controller::Controller;
use aspenreel::http::cbor::encode;
use aspenreel::leadership::LeaderRecord;
use aspenreel::settings::Settings;
use aspenreel::store::{from_value, to_value};
use aspenreel::workers::fencing::CommandCounters;
use aspenreel::workers::wire::Heartbeat;
use ciborium::cbor;
use clap::Parser;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub const LEASE_S: f64 = 16.0;
pub const CANCEL_S: f64 = 41.0;
pub const REPORT_S: f64 = 3.0;
pub const CLOUD_RPS: f64 = 5.0;

/// What a model is made of.
#[derive(Clone)]
pub struct Setup {
    pub nodes: usize,
    /// (type, zone, spot, how many) that are up at the start.
    pub machines: Vec<(&'static str, &'static str, bool, usize)>,
    /// Team and its limit in CPUs; half of it is guaranteed.
    pub teams: Vec<(&'static str, f64)>,
    /// Machines that the cloud has at most, of each kind and zone.
    pub capacity: usize,
    pub boot_s: f64,
    pub fetch_s: f64,
    pub write_rps: f64,
    pub leader_lease_ms: u64,
    /// Limits of the state service to come, as the settings tell them.
    pub next: &'static str,
    /// Further flags of the controllers with these numbers.
    pub flags: fn(usize) -> &'static [&'static str],
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            nodes: 3,
            machines: vec![("small", "east", true, 4), ("small", "west", true, 4)],
            teams: vec![("a", 48.0), ("b", 24.0)],
            capacity: 8,
            boot_s: 8.0,
            fetch_s: 1.5,
            write_rps: 60.0,
            leader_lease_ms: 8000,
            next: "value_kb = 2.0, txn_ops = 4",
            flags: |_| &[],
        }
    }
}

#[derive(Default)]
pub struct NodeState {
    /// Which of its processes runs, if one does.
    pub process: Option<u64>,
    pub node: Option<Arc<Controller>>,
    pub refused_until: Time,
    pub state_cut_until: Time,
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
pub struct LateReports {
    pub share: f64,
    pub for_next: bool,
    pub until: Time,
}

pub struct State {
    pub keys: Keys,
    pub state_out: bool,
    /// A key that is never there, if not empty.
    pub hidden: String,
    /// Tasks that wait for changes in the state service.
    pub watchers: Vec<(u64, u64)>,
    /// Added to the state service's answers.
    pub state_slow: Time,
    /// How many times longer every way takes.
    pub slow_links: Time,
    pub late_writes: Option<LateWrites>,
    pub late_reports: Option<LateReports>,
    pub kept_reports: Vec<Heartbeat>,
    /// Direct commands that the network holds back.
    pub(crate) held_commands: HeldCommands,
    pub nodes: Vec<NodeState>,
    pub zone_cuts: BTreeMap<String, Time>,
    /// Cuts of single directions.
    pub cuts: Cuts,
    pub machines: BTreeMap<String, Machine>,
    pub cloud: Cloud,
    pub users: BTreeMap<String, UserJob>,
    pub checker: Checker,
    pub rng: fastrand::Rng,
    pub processes: u64,
    /// Leaders so far, as the state service's records tell.
    pub terms: Vec<(Time, u64, usize)>,
    /// When machines first saw orders to start, and the term that they were given in.
    pub starts_by_term: Vec<(Time, u64)>,
    /// When the last trouble is over, as far as it was said.
    pub trouble_until: Time,
    /// All messages so far.
    pub transcript: Transcript,
}

pub struct World {
    pub sched: Arc<Sched>,
    pub setup: Setup,
    state: Mutex<State>,
}

impl World {
    pub fn new(seed: u64, setup: Setup) -> Arc<World> {
        let limits = setup.teams.clone();
        let world = Arc::new(World {
            sched: Arc::new(Sched::default()),
            state: Mutex::new(State {
                keys: Keys::default(),
                state_out: false,
                hidden: String::new(),
                watchers: Vec::new(),
                state_slow: 0,
                slow_links: 1,
                late_writes: None,
                late_reports: None,
                kept_reports: Vec::new(),
                held_commands: HeldCommands::default(),
                nodes: (0..setup.nodes).map(|_| NodeState::default()).collect(),
                zone_cuts: BTreeMap::new(),
                cuts: Cuts::default(),
                machines: BTreeMap::new(),
                cloud: Cloud::default(),
                users: BTreeMap::new(),
                checker: Checker::new(&limits, CANCEL_S),
                rng: fastrand::Rng::with_seed(seed),
                processes: 0,
                terms: Vec::new(),
                starts_by_term: Vec::new(),
                trouble_until: 0,
                transcript: Transcript::default(),
            }),
            setup,
        });
        crate::log::follow(&world.sched);
        for (type_name, zone, spot, count) in world.setup.machines.clone() {
            for _ in 0..count {
                world.boot(type_name, zone, spot, 0);
            }
        }
        for n in 0..world.setup.nodes {
            world.start_node(n);
        }
        world.look_around();
        world
    }

    /// The world's state. Never held while a controller's code runs.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub fn now(&self) -> Time {
        self.sched.now()
    }

    pub fn since_start(&self) -> Duration {
        Duration::from_micros(self.now())
    }

    /// Part of a test's plan: nothing is over before it.
    pub fn at(self: &Arc<Self>, seconds: f64, work: impl FnOnce(&Arc<World>) + Send + 'static) {
        {
            let mut state = self.state();
            state.trouble_until = state.trouble_until.max(secs(seconds));
        }
        self.at_time(secs(seconds), work);
    }

    pub fn at_time(self: &Arc<Self>, at: Time, work: impl FnOnce(&Arc<World>) + Send + 'static) {
        let world = self.clone();
        self.sched.at(at, move || work(&world));
    }

    pub fn after(self: &Arc<Self>, span: Time, work: impl FnOnce(&Arc<World>) + Send + 'static) {
        self.at_time(self.now() + span, work);
    }

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
        span * state.slow_links
    }

    pub fn zone_of_node(&self, n: usize) -> &'static str {
        ["east", "west"][n % 2]
    }

    fn settings_of(&self, n: usize) -> Settings {
        let members: String = (0..self.setup.nodes)
            .filter(|m| *m != n)
            .map(|m| {
                format!(
                    "[[members]]\nnode = \"n-{m}\"\nlocation = \"{}\"\npeer_addr = \"10.0.0.{m}:8081\"\n",
                    self.zone_of_node(m)
                )
            })
            .collect();
        let teams: Vec<String> = self
            .setup
            .teams
            .iter()
            .map(|(name, limit)| {
                format!(
                    "{{ name = \"{name}\", cpus = {}, cpus_max = {limit} }}",
                    limit / 2.0
                )
            })
            .collect();
        Settings::parse(&format!(
            "node = \"n-{n}\"\nlocation = \"{}\"\npublic_addr = \"10.0.0.{n}:8080\"\n\
             peer_listen = \"10.0.0.{n}:8081\"\n{members}\
             [endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n\
             [settings]\nzones = [\"east\", \"west\"]\nskew_ms = 5.0\nteams = [{}]\n\
             workers = {{ report_s = {REPORT_S}, lease_s = {LEASE_S}, cancel_s = {CANCEL_S} }}\n\
             state = {{ rps = 150.0, write_rps = {}, value_kb = 8.0, txn_ops = 12, \
             next = {{ {} }} }}\n\
             cloud = {{ rps = {CLOUD_RPS:?}, list_lag_s = 3.0 }}\nquota = {{ sockets = 200 }}\n",
            self.zone_of_node(n),
            teams.join(", "),
            self.setup.write_rps,
            self.setup.next,
        ))
        .unwrap()
    }

    pub fn start_node(self: &Arc<Self>, n: usize) {
        let (process, seed, drift, skew) = {
            let mut state = self.state();
            state.processes += 1;
            let seed = state.rng.u64(..);
            let drift = (state.rng.f64() - 0.5) * 0.001;
            let skew = state.rng.i64(-5_000..5_000);
            (state.processes, seed, drift, skew)
        };
        let hold = self.setup.leader_lease_ms.to_string();
        let mut words = vec![
            "aspenreel",
            "serve",
            "--config",
            "-",
            "--leader-lease-ms",
            &hold,
        ];
        words.extend((self.setup.flags)(n));
        let Command::Serve(options) = Cli::parse_from(words).command else {
            unreachable!("the words say serve");
        };
        let os = Arc::new(SimOs::new(self, n, process, drift, skew));
        let node = Arc::new(Controller::new(self.settings_of(n), options, os).unwrap());
        for (i, thread) in node.threads().into_iter().enumerate() {
            self.sched.spawn(process, seed ^ i as u64, thread.body);
        }
        let mut state = self.state();
        state.nodes[n].process = Some(process);
        state.nodes[n].node = Some(node);
    }

    /// Kills a node's process; it is started again after so long.
    pub fn crash(self: &Arc<Self>, n: usize, back_after: f64) {
        let process = {
            let mut state = self.state();
            state.nodes[n].node = None;
            state.nodes[n].process.take()
        };
        if let Some(process) = process {
            self.sched.kill(process);
            self.trouble(back_after);
            self.after(secs(back_after), move |w| w.start_node(n));
        }
    }

    pub fn freeze(self: &Arc<Self>, n: usize, span: f64) {
        if let Some(process) = self.state().nodes[n].process {
            self.sched.freeze(process, self.now() + secs(span));
        }
        self.trouble(span);
    }

    /// Notes that some trouble lasts for so long.
    pub fn trouble(&self, span: f64) {
        let mut state = self.state();
        state.trouble_until = state.trouble_until.max(self.now() + secs(span));
    }

    /// The node that the state service names as leader.
    pub fn leader(&self) -> Option<usize> {
        let data = self.state().keys.data("leader")?;
        let record: LeaderRecord = from_value(&data)?;
        record.node.strip_prefix("n-")?.parse().ok()
    }

    /// The node that leads, or any that is up.
    pub fn leader_or_any(&self) -> usize {
        self.leader().unwrap_or(0)
    }

    pub fn outage(self: &Arc<Self>, span: f64) {
        self.state().state_out = true;
        self.trouble(span);
        self.after(secs(span), |w| {
            let now = w.since_start();
            {
                let mut state = w.state();
                state.state_out = false;
                state.keys.refresh(now);
            }
            w.state_changed();
        });
    }

    /// The state service refuses this node alone.
    pub fn refuse(self: &Arc<Self>, n: usize, span: f64) {
        let until = self.now() + secs(span);
        self.state().nodes[n].refused_until = until;
        self.trouble(span);
        self.at_time(until, |w| w.state_changed());
    }

    /// A node loses the state service (nothing answers) and, if told so, the other nodes.
    pub fn cut_state(self: &Arc<Self>, n: usize, span: f64, peers: bool) {
        let until = self.now() + secs(span);
        self.state().nodes[n].state_cut_until = until;
        if peers {
            self.state().nodes[n].peers_cut_until = until;
        }
        self.trouble(span);
        self.at_time(until, |w| w.state_changed());
    }

    pub fn cut_workers(self: &Arc<Self>, n: usize, span: f64) {
        self.state().nodes[n].workers_cut_until = self.now() + secs(span);
        self.trouble(span);
    }

    pub fn cut_zone(self: &Arc<Self>, zone: &str, span: f64) {
        let until = self.now() + secs(span);
        self.state().zone_cuts.insert(zone.into(), until);
        self.trouble(span);
    }

    pub fn late_writes(&self, share: f64, at_once: bool, span: f64) {
        let until = self.now() + secs(span);
        self.state().late_writes = Some(LateWrites {
            share,
            at_once,
            until,
        });
        self.trouble(span + 12.0);
    }

    pub fn late_reports(&self, share: f64, for_next: bool, span: f64) {
        let until = self.now() + secs(span);
        self.state().late_reports = Some(LateReports {
            share,
            for_next,
            until,
        });
        self.trouble(span + 1.5 * LEASE_S);
    }

    /// Whether two zones reach each other.
    pub fn joined(&self, a: &str, b: &str) -> bool {
        let now = self.now();
        let state = self.state();
        let cut = |zone: &str| state.zone_cuts.get(zone).is_some_and(|t| *t > now);
        a == b || !(cut(a) || cut(b))
    }

    /// Something changed in the state service: watches, holds and new leaders.
    pub fn state_changed(self: &Arc<Self>) {
        let now = self.now();
        let (watchers, next_end, next_leader) = {
            let mut state = self.state();
            if !state.state_out {
                state.keys.expire(Duration::from_micros(now));
            }
            let watchers = std::mem::take(&mut state.watchers);
            let data = state.keys.data("leader");
            let record: Option<LeaderRecord> = data.and_then(|d| from_value(&d));
            let mut kept = Vec::new();
            if let Some(record) = record
                && state.terms.last().is_none_or(|t| t.1 != record.term)
            {
                let n = record.node.strip_prefix("n-").unwrap().parse().unwrap();
                state.terms.push((now, record.term, n));
                kept = std::mem::take(&mut state.kept_reports);
            }
            (watchers, state.keys.next_end(), kept)
        };
        for (i, sleeper) in watchers.into_iter().enumerate() {
            self.sched.wake(sleeper, now + 100 + 50 * i as Time);
        }
        if let Some(end) = next_end {
            // It may end up to 100 ms late.
            let late = self.random(0..100_000);
            self.at_time(end.as_micros() as Time + late, |w| {
                let now = w.since_start();
                let over = {
                    let mut state = w.state();
                    !state.state_out && state.keys.expire(now)
                };
                if over {
                    w.state_changed();
                }
            });
        }
        // Old reports reach every controller as a new leader begins.
        for report in next_leader {
            for n in 0..self.setup.nodes {
                let (w, report) = (self.clone(), report.clone());
                let at = now + self.random(0..3_000_000);
                self.sched.at(at, move || w.copy_arrives(n, &report));
            }
        }
    }

    /// Looks at the rules now and then.
    fn look_around(self: &Arc<Self>) {
        let now = self.now();
        self.state().checker.look(now);
        self.after(secs(0.5), |w| w.look_around());
    }

    /// Puts a record into the state service, as if a controller had written it.
    pub fn write_record(self: &Arc<Self>, key: &str, value: &impl serde::Serialize) {
        let change = cbor!({"write" => key, "data" => to_value(value)}).unwrap();
        let none: [u64; 0] = [];
        let body = encode(&cbor!({"guards" => none, "apply" => [change]}).unwrap());
        let now = self.since_start();
        let (status, _) = self.state().keys.call("POST", "/multi", &body, now);
        assert_eq!(status, 200);
        self.state_changed();
    }

    pub fn slow_state(self: &Arc<Self>, time: f64, span: f64) {
        self.state().state_slow = secs(time);
        self.trouble(span);
        self.after(secs(span), |w| w.state().state_slow = 0);
    }

    pub fn submit(self: &Arc<Self>, at: f64, plan: JobPlan) {
        self.at(at, move |w| w.user_submits(plan));
    }

    /// Plays up to this second.
    pub fn play(&self, seconds: f64) -> &Self {
        self.sched.run_until(secs(seconds));
        self
    }

    /// Plays until the troubles are over and all accepted jobs have ended; then ends everything.
    /// Whoever could run and waits for long, or never ends, breaks a rule as well.
    pub fn finish(self: &Arc<Self>) -> Summary {
        let calm = self.state().trouble_until.max(self.now());
        let mut waits: BTreeMap<String, Time> = BTreeMap::new();
        let end = calm + secs(360.0);
        while self.now() < end {
            self.sched.run_until(self.now() + secs(2.0));
            let now = self.now();
            if now > calm {
                let waiting = self.could_run();
                waits.retain(|id, _| waiting.contains(id));
                for id in waiting {
                    let since = *waits.entry(id.clone()).or_insert(now);
                    if now - since > secs(90.0) {
                        let text = format!("{:.3} room: {id} waits for 90 s", now as f64 / 1e6);
                        self.state().checker.broken.push(text);
                        waits.remove(&id);
                    }
                }
            }
            let state = self.state();
            if now > calm && state.checker.open().is_empty() && state.checker.missing().is_empty() {
                break;
            }
        }
        let mut state = self.state();
        let violations = aspenreel::invariants::violation_count();
        if violations > 0 {
            // Counted for the whole process: whichever models run beside this one, one of them did it.
            let text =
                format!("controllers saw {violations} invariants violated (MODEL_LOG=error)");
            state.checker.broken.push(text);
        }
        let missing: Vec<String> = state
            .checker
            .missing()
            .iter()
            .map(|p| p.id.clone())
            .collect();
        if !missing.is_empty() {
            let text = format!("replicas missing: {}", missing.join(", "));
            state.checker.broken.push(text);
        }
        let open: Vec<String> = state.checker.open().iter().map(|p| p.id.clone()).collect();
        if !open.is_empty() {
            let text = format!("never ended: {}", open.join(", "));
            state.checker.broken.push(text);
        }
        let summary = Summary {
            broken: state.checker.broken.clone(),
            late_starts: state.checker.late_starts.clone(),
            starts: state.checker.starts,
            cancelled: state.checker.told_cancelled,
            done: state.checker.told_done,
            leaders: state.terms.len(),
            terms: state.terms.clone(),
            starts_by_term: Starts(state.starts_by_term.clone()),
            questions_in_vain: state.checker.questions_in_vain,
            turnaround_s: state.checker.turnaround_s(),
            seconds: self.now() / 1_000_000,
            commands: command_counters(&state.nodes),
            transcript: state.transcript.summary(),
        };
        drop(state);
        self.sched.end();
        let nodes = std::mem::take(&mut self.state().nodes);
        drop(nodes);
        summary
    }

    /// Jobs with waiting tasks for which some machine that serves has room, below their team's limit.
    fn could_run(&self) -> Vec<String> {
        let state = self.state();
        let fits = |p: &&JobPlan| {
            let c = &state.checker;
            c.used(&p.team) + p.cpus <= c.limit(&p.team)
                && !p.one_zone
                && !p.spread
                && state.machines.values().any(|m| m.could_take(p))
        };
        let waiting = state.checker.waiting();
        waiting
            .into_iter()
            .filter(fits)
            .map(|p| p.id.clone())
            .collect()
    }
}

fn command_counters(nodes: &[NodeState]) -> CommandCounters {
    let counters = |node: &Arc<Controller>| Some(node.state().scheduler.as_ref()?.fencing.counters);
    let running = nodes.iter().filter_map(|n| n.node.as_ref());
    running.filter_map(counters).next().unwrap_or_default()
}

/// Starts that machines saw: when, and in which term they were decided.
#[derive(Clone)]
pub struct Starts(pub Vec<(Time, u64)>);

impl std::fmt::Debug for Starts {
    /// There may be thousands: their number is enough for a line.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} starts", self.0.len())
    }
}

/// How a model ended.
#[derive(Debug)]
pub struct Summary {
    pub broken: Vec<String>,
    pub late_starts: Vec<String>,
    pub starts: u32,
    pub cancelled: u32,
    pub done: u32,
    pub leaders: usize,
    /// When each term began, its number and its leader.
    pub terms: Vec<(Time, u64, usize)>,
    /// When machines first saw orders to start, and the term that they were given in.
    pub starts_by_term: Starts,
    /// Users' questions that got no answer in time, or none that tells anything.
    pub questions_in_vain: u32,
    /// From each accepted job's submission until its user knew that it is done.
    pub turnaround_s: Vec<f64>,
    pub seconds: u64,
    /// What the last leader counted of its orders.
    pub commands: CommandCounters,
    /// The digest of all messages.
    pub transcript: String,
}

impl Summary {
    /// No rule was broken.
    #[track_caller]
    pub fn kept(&self, what: &str) -> &Self {
        assert!(self.broken.is_empty(), "{what}: {:#?}", self.broken);
        self
    }
}
