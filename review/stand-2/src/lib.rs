//! Stand-ins for the review cases: the state service, a cloud with workers, users, and controller processes that are
//! started with the command of the deploy file. They follow the pages on the protocols and on the deployment.

pub mod store;

use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::{CallError, Client, ResponseError};
use aspenreel::http::server::{Handler, Request, Response, ServerLimits, serve};
use ciborium::{Value, cbor};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use store::{Limits, Store};

/// Time that a worker waits for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// The result of a report that got no answer.
fn no_answer(peer: SocketAddr) -> CallError {
    CallError::OutcomeUnknown {
        peer,
        source: ResponseError::TimedOut,
    }
}

/// Exit code of a run that could not be carried out.
pub const CANNOT_RUN: i32 = 2;

/// The file `record.txt`, with the time since the start of the run in each line.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the record at the path in the variable `RECORD`.
    pub fn create() -> Arc<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        Arc::new(Record {
            file: Mutex::new(File::create(path).unwrap()),
            started: Instant::now(),
        })
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }

    /// Adds a line, and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.seconds());
    }
}

/// True unless the case runs without its disruption (`TROUBLE=0`).
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Serves requests on a free loopback port, and returns its address.
pub fn listen(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = ServerLimits {
        max_connections: 2000,
        max_pool_threads: 200,
        max_buffered_bytes: 1 << 26,
    };
    thread::spawn(move || serve(listener, handler, Arc::default(), limits, Arc::default()));
    addr
}

/// A machine type of the cloud.
#[derive(Clone)]
pub struct Build {
    pub label: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub startup_s: f64,
    pub yards: Vec<&'static str>,
    /// Number of machines that the cloud has.
    pub capacity: usize,
}

/// One attempt on a worker.
#[derive(Clone, Serialize, Deserialize)]
pub struct Piece {
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    #[serde(skip)]
    pub ends_at: Option<Instant>,
}

#[derive(Deserialize)]
struct Order {
    verb: String,
    piece: String,
    #[serde(rename = "try")]
    attempt: u64,
}

#[derive(Deserialize)]
struct Reply {
    #[serde(default)]
    baton: u64,
    #[serde(default)]
    orders: Vec<Order>,
}

#[derive(Deserialize)]
struct Commands {
    baton: u64,
    shift: u64,
    #[serde(default)]
    orders: Vec<Order>,
}

#[derive(Deserialize)]
struct NotLeader {
    #[serde(default)]
    foreman: Option<String>,
}

struct WorkerState {
    pieces: Vec<Piece>,
    baton: u64,
    shift: u64,
    tick: u64,
    lease_start: Instant,
    gone: bool,
    changed: bool,
}

/// A job as the workers know it, uploaded by its user.
#[derive(Clone, Copy)]
pub struct Work {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    /// Run time of a task; `None`: it runs until it is stopped.
    pub run: Option<Duration>,
}

/// What all workers share.
pub struct Fleet {
    pub record: Arc<Record>,
    pub jobs: Mutex<HashMap<String, Work>>,
    /// Controllers by name, as the workers reach them.
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    pub report: Duration,
    pub lease: Duration,
    /// Number of tasks that run, by job.
    pub running: Mutex<BTreeMap<String, i64>>,
    /// First moment at which a task of a job ran, in seconds of the record.
    pub first_start: Mutex<BTreeMap<String, f64>>,
    /// Last moment at which a task of a job started, in seconds of the record.
    pub last_start: Mutex<BTreeMap<String, f64>>,
    /// Number of completed tasks, by job.
    pub completed: Mutex<BTreeMap<String, u64>>,
    /// Machines on which each task runs.
    pub places: Mutex<HashMap<String, Vec<String>>>,
    /// Starts of tasks that ran on another machine.
    pub ran_twice: Mutex<Vec<String>>,
    /// Whether each start and end of a task is recorded.
    pub verbose: AtomicBool,
}

fn job_of(piece: &str) -> &str {
    piece.rsplit_once('/').map_or(piece, |(job, _)| job)
}

/// The network of one machine. Packets of open connections are held back while it is cut, and delivered later.
#[derive(Default)]
struct Link {
    /// Whether direct commands are held back.
    commands_cut: bool,
    /// Whether reports are held back.
    reports_cut: bool,
    /// Number of direct commands that are held back.
    held_commands: usize,
    /// Controller that the report which is held back is addressed to, and when it was sent.
    held_report: Option<(usize, Instant)>,
}

/// The worker of one machine.
pub struct Worker {
    pub name: String,
    build: Build,
    yard: &'static str,
    loaners: bool,
    addr: Mutex<String>,
    fleet: Arc<Fleet>,
    state: Mutex<WorkerState>,
    link: Mutex<Link>,
}

impl Worker {
    /// Cuts the machine off: reports and direct commands are held back.
    pub fn cut(&self) {
        let mut link = self.link.lock().unwrap();
        (link.commands_cut, link.reports_cut) = (true, true);
        self.fleet
            .record
            .line(&format!("network of {} is cut", self.name));
    }

    /// Restores the network. What was held back is delivered, direct commands first.
    pub fn restore(&self) {
        self.fleet
            .record
            .line(&format!("network of {} is back", self.name));
        self.link.lock().unwrap().commands_cut = false;
        while self.link.lock().unwrap().held_commands > 0 {
            thread::sleep(Duration::from_millis(1));
        }
        self.link.lock().unwrap().reports_cut = false;
    }

    /// Number of direct commands that are held back.
    pub fn held_commands(&self) -> usize {
        self.link.lock().unwrap().held_commands
    }

    /// Controller that the report which is held back is addressed to, and its age.
    pub fn held_report(&self) -> Option<(usize, Duration)> {
        let link = self.link.lock().unwrap();
        link.held_report.map(|(node, sent)| (node, sent.elapsed()))
    }

    /// Holds a direct command back while the network is cut.
    fn hold_command(&self, request: &Request) {
        {
            let mut link = self.link.lock().unwrap();
            if !link.commands_cut {
                return;
            }
            link.held_commands += 1;
            let text = format!(
                "{} {} to {} is held back",
                request.method, request.path, self.name
            );
            self.fleet.record.line(&text);
        }
        while self.link.lock().unwrap().commands_cut {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Counts a direct command that was held back as delivered.
    fn command_delivered(&self) {
        let mut link = self.link.lock().unwrap();
        link.held_commands = link.held_commands.saturating_sub(1);
    }

    /// Time since the last answered report was sent.
    pub fn lease_age(&self) -> Duration {
        self.state.lock().unwrap().lease_start.elapsed()
    }

    /// Number of attempts in the worker's report.
    pub fn pieces(&self) -> usize {
        self.state.lock().unwrap().pieces.len()
    }

    /// Session of the worker.
    pub fn shift(&self) -> u64 {
        self.state.lock().unwrap().shift
    }

    /// Holds a report back while the network is cut. False if the worker gives it up.
    fn pass_report(&self, node: usize, sent: Instant) -> bool {
        loop {
            {
                let mut link = self.link.lock().unwrap();
                if !link.reports_cut {
                    link.held_report = None;
                    return true;
                }
                if link.held_report.is_none() {
                    let text = format!("report of {} to reelhand-{node} is held back", self.name);
                    self.fleet.record.line(&text);
                }
                link.held_report = Some((node, sent));
                if sent.elapsed() >= REPORT_TIMEOUT {
                    link.held_report = None;
                    return false;
                }
            }
            thread::sleep(Duration::from_millis(5));
            let mut state = self.state.lock().unwrap();
            if state.gone {
                return false;
            }
            self.advance(&mut state);
        }
    }

    fn started(&self, piece: &str) {
        let mut places = self.fleet.places.lock().unwrap();
        let on = places.entry(piece.to_string()).or_default();
        if let Some(other) = on.first() {
            let text = format!("{piece} starts on {} while it is on {other}", self.name);
            self.fleet.record.line(&text);
            self.fleet.ran_twice.lock().unwrap().push(text);
        }
        on.push(self.name.clone());
        drop(places);
        let job = job_of(piece).to_string();
        let mut first = self.fleet.first_start.lock().unwrap();
        first
            .entry(job.clone())
            .or_insert_with(|| self.fleet.record.seconds());
        drop(first);
        let now = self.fleet.record.seconds();
        self.fleet
            .last_start
            .lock()
            .unwrap()
            .insert(job.clone(), now);
        *self.fleet.running.lock().unwrap().entry(job).or_insert(0) += 1;
        if self.fleet.verbose.load(Ordering::Relaxed) {
            self.fleet
                .record
                .line(&format!("run {piece} on {}", self.name));
        }
    }

    fn exit(&self, piece: &mut Piece, cause: &str) {
        if piece.status == "exited" {
            return;
        }
        piece.status = "exited".into();
        piece.cause = Some(cause.into());
        if let Some(on) = self.fleet.places.lock().unwrap().get_mut(&piece.piece) {
            on.retain(|machine| *machine != self.name);
        }
        let job = job_of(&piece.piece).to_string();
        if cause == "done" {
            *self
                .fleet
                .completed
                .lock()
                .unwrap()
                .entry(job.clone())
                .or_insert(0) += 1;
        }
        *self.fleet.running.lock().unwrap().entry(job).or_insert(0) -= 1;
        if self.fleet.verbose.load(Ordering::Relaxed) {
            self.fleet
                .record
                .line(&format!("exit {} on {}: {cause}", piece.piece, self.name));
        }
    }

    /// CPUs, GPUs and memory that running tasks leave free.
    fn free(&self, state: &WorkerState) -> (f64, f64, f64) {
        let jobs = self.fleet.jobs.lock().unwrap();
        let held = state.pieces.iter().filter(|p| p.status != "exited");
        let used = held.filter_map(|p| jobs.get(job_of(&p.piece)));
        let build = &self.build;
        used.fold(
            (build.cpus, build.gpus, build.ram_gb),
            |(cpus, gpus, ram), work| (cpus - work.cpus, gpus - work.gpus, ram - work.ram_gb),
        )
    }

    fn execute(&self, state: &mut WorkerState, orders: &[Order]) {
        for order in orders {
            let known = state
                .pieces
                .iter()
                .position(|p| p.piece == order.piece && p.attempt == order.attempt);
            match (order.verb.as_str(), known) {
                ("run", None) => {
                    let work = self
                        .fleet
                        .jobs
                        .lock()
                        .unwrap()
                        .get(job_of(&order.piece))
                        .copied();
                    let busy = state
                        .pieces
                        .iter()
                        .any(|p| p.piece == order.piece && p.status != "exited");
                    let (cpus, gpus, ram) = self.free(state);
                    let is_short = |w: Work| {
                        w.cpus > cpus + 1e-6 || w.gpus > gpus + 1e-6 || w.ram_gb > ram + 1e-6
                    };
                    let refusal = match work {
                        None => Some("no_such"),
                        Some(_) if busy => Some("busy"),
                        Some(w) if is_short(w) => Some("full"),
                        Some(_) => None,
                    };
                    let ends_at = work.and_then(|w| w.run).map(|run| Instant::now() + run);
                    state.pieces.push(Piece {
                        piece: order.piece.clone(),
                        attempt: order.attempt,
                        status: if refusal.is_some() {
                            "exited"
                        } else {
                            "running"
                        }
                        .into(),
                        cause: refusal.map(String::from),
                        ends_at,
                    });
                    match refusal {
                        None => self.started(&order.piece),
                        Some(why) => self
                            .fleet
                            .record
                            .line(&format!("refused {} on {}: {why}", order.piece, self.name)),
                    }
                    state.changed = true;
                }
                ("stop", Some(i)) => {
                    let mut piece = state.pieces[i].clone();
                    self.exit(&mut piece, "stopped");
                    state.pieces[i] = piece;
                    state.changed = true;
                }
                ("clear", Some(i)) if state.pieces[i].status == "exited" => {
                    state.pieces.remove(i);
                    state.changed = true;
                }
                _ => {}
            }
        }
    }

    /// Ends tasks whose run time is over, and the session if its lease is over.
    fn advance(&self, state: &mut WorkerState) {
        let now = Instant::now();
        let mut pieces = std::mem::take(&mut state.pieces);
        for piece in &mut pieces {
            if piece.status == "running" && piece.ends_at.is_some_and(|end| end <= now) {
                self.exit(piece, "done");
                state.changed = true;
            }
        }
        if state.lease_start.elapsed() > self.fleet.lease {
            for piece in &mut pieces {
                self.exit(piece, "stopped");
            }
            pieces.clear();
            state.shift += 1;
            state.lease_start = now;
            state.changed = true;
            let text = format!("lease of {} expired, session {}", self.name, state.shift);
            self.fleet.record.line(&text);
        }
        state.pieces = pieces;
    }

    fn report(&self, state: &mut WorkerState) -> Vec<u8> {
        state.tick += 1;
        encode(
            &cbor!({
                "host" => self.name, "addr" => *self.addr.lock().unwrap(), "build" => self.build.label,
                "yard" => self.yard, "loaners" => self.loaners, "shift" => state.shift,
                "tick" => state.tick, "baton" => state.baton, "recallS" => null,
                "pieces" => state.pieces
            })
            .unwrap(),
        )
    }

    fn remove(&self) {
        let mut state = self.state.lock().unwrap();
        state.gone = true;
        let mut pieces = std::mem::take(&mut state.pieces);
        for piece in &mut pieces {
            self.exit(piece, "stopped");
        }
    }

    fn run(self: Arc<Self>) {
        let controllers = self.fleet.controllers.lock().unwrap().clone();
        let mut current = 0;
        let mut client = Client::new(controllers[0].1);
        loop {
            let (body, shift, sent) = {
                let mut state = self.state.lock().unwrap();
                if state.gone {
                    return;
                }
                self.advance(&mut state);
                state.changed = false;
                let sent = Instant::now();
                (self.report(&mut state), state.shift, sent)
            };
            let mut next = current;
            let mut pause = Duration::ZERO;
            let is_sent = self.pass_report(current, sent);
            let left = REPORT_TIMEOUT.saturating_sub(sent.elapsed());
            let answer = match is_sent {
                true => client.call("POST", "/checkin", &body, left),
                false => Err(no_answer(controllers[current].1)),
            };
            match answer {
                Ok(response) if response.status == 200 => {
                    let mut state = self.state.lock().unwrap();
                    if let Ok(reply) = decode::<Reply>(&response.body)
                        && reply.baton >= state.baton
                        && shift == state.shift
                        && !state.gone
                    {
                        state.baton = reply.baton;
                        state.lease_start = sent;
                        self.execute(&mut state, &reply.orders);
                    }
                }
                Ok(response) if response.status == 421 => {
                    let named = decode::<NotLeader>(&response.body)
                        .ok()
                        .and_then(|r| r.foreman);
                    let index = named.and_then(|n| controllers.iter().position(|c| c.0 == n));
                    match index.filter(|i| *i != current) {
                        Some(index) => next = index,
                        None => {
                            next = (current + 1) % controllers.len();
                            pause = Duration::from_secs(1);
                        }
                    }
                }
                other => {
                    if let Ok(response) = other {
                        let text = format!(
                            "report of {} ({} bytes) answered {}",
                            self.name,
                            body.len(),
                            response.status
                        );
                        self.fleet.record.line(&text);
                    }
                    next = (current + 1) % controllers.len();
                    pause = Duration::from_secs(1);
                }
            }
            if next != current {
                current = next;
                client = Client::new(controllers[current].1);
                thread::sleep(pause.max(Duration::from_millis(20)));
                continue;
            }
            // A change is reported at once, though never more often than every half second.
            let until = sent + self.fleet.report;
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(20));
                let mut state = self.state.lock().unwrap();
                self.advance(&mut state);
                if state.changed && sent.elapsed() >= Duration::from_millis(500) {
                    break;
                }
            }
        }
    }
}

impl Handler for Worker {
    fn handle(&self, request: Request) -> Response {
        self.hold_command(&request);
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if request.method == "GET" {
            return Response::new(200, self.report(&mut state));
        }
        let Ok(commands) = decode::<Commands>(&request.body) else {
            return Response::new(400, Vec::new());
        };
        if state.gone || commands.baton < state.baton || commands.shift != state.shift {
            let body = self.report(&mut state);
            drop(state);
            self.command_delivered();
            return Response::new(409, body);
        }
        state.baton = commands.baton;
        self.execute(&mut state, &commands.orders);
        let body = self.report(&mut state);
        drop(state);
        self.command_delivered();
        Response::new(200, body)
    }
}

struct Rented {
    worker: Arc<Worker>,
    since: Instant,
}

/// The cloud.
pub struct Cloud {
    pub builds: Vec<Build>,
    pub fleet: Arc<Fleet>,
    pub machines: Mutex<BTreeMap<String, Arc<Worker>>>,
    rented: Mutex<BTreeMap<String, Rented>>,
    hires: Mutex<HashMap<String, Vec<String>>>,
    created: AtomicU64,
}

#[derive(Deserialize)]
struct Hire {
    hire: String,
    build: String,
    yard: String,
    loaners: bool,
    count: usize,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<String>,
}

impl Cloud {
    fn start(builds: Vec<Build>, fleet: Arc<Fleet>) -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            builds,
            fleet,
            machines: Mutex::default(),
            rented: Mutex::default(),
            hires: Mutex::default(),
            created: AtomicU64::new(0),
        });
        let addr = listen(Arc::new(CloudApi(cloud.clone())));
        (cloud, addr)
    }

    /// Number of machines that are rented now.
    pub fn machine_count(&self) -> usize {
        self.rented.lock().unwrap().len()
    }

    /// Rents a machine. It comes up after the start-up time of its type, or at once if `up`.
    pub fn create(
        self: &Arc<Self>,
        build: &Build,
        yard: &'static str,
        loaners: bool,
        up: bool,
    ) -> String {
        let number = self.created.fetch_add(1, Ordering::Relaxed) + 1;
        let name = format!("n-{number:06}");
        let worker = Arc::new(Worker {
            name: name.clone(),
            build: build.clone(),
            yard,
            loaners,
            addr: Mutex::default(),
            fleet: self.fleet.clone(),
            state: Mutex::new(WorkerState {
                pieces: Vec::new(),
                baton: 0,
                shift: 1,
                tick: 0,
                lease_start: Instant::now(),
                gone: false,
                changed: false,
            }),
            link: Mutex::default(),
        });
        let addr = listen(worker.clone());
        *worker.addr.lock().unwrap() = addr.to_string();
        let rented = Rented {
            worker: worker.clone(),
            since: Instant::now(),
        };
        self.rented.lock().unwrap().insert(name.clone(), rented);
        let boot = if up { 0.0 } else { build.startup_s };
        let cloud = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(boot));
            worker.state.lock().unwrap().lease_start = Instant::now();
            cloud
                .machines
                .lock()
                .unwrap()
                .insert(worker.name.clone(), worker.clone());
            cloud
                .fleet
                .record
                .line(&format!("machine {} up", worker.name));
            worker.run();
        });
        name
    }
}

/// The cloud as a server.
struct CloudApi(Arc<Cloud>);

impl Handler for CloudApi {
    fn handle(&self, request: Request) -> Response {
        let cloud = &self.0;
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        match (request.method.as_str(), path) {
            ("GET", "/catalog") => {
                let builds: Vec<Value> = cloud
                    .builds
                    .iter()
                    .map(|b| {
                        cbor!({"label" => b.label, "cpus" => b.cpus, "gpus" => b.gpus, "ramGb" => b.ram_gb,
                            "cacheGb" => 60.0, "fetchGbPerS" => 1.0, "rate" => 2.35, "lowPrice" => 0.51,
                            "startupS" => b.startup_s, "yards" => b.yards})
                        .unwrap()
                    })
                    .collect();
                Response::new(200, encode(&cbor!({"builds" => builds}).unwrap()))
            }
            ("POST", "/rentals") => {
                let Ok(hire) = decode::<Hire>(&request.body) else {
                    return Response::new(400, Vec::new());
                };
                let mut hires = cloud.hires.lock().unwrap();
                if let Some(names) = hires.get(&hire.hire) {
                    return Response::new(200, encode(&cbor!({"hosts" => names}).unwrap()));
                }
                let Some(build) = cloud.builds.iter().find(|b| b.label == hire.build) else {
                    return Response::new(400, Vec::new());
                };
                let Some(yard) = build.yards.iter().find(|y| **y == hire.yard) else {
                    return Response::new(400, Vec::new());
                };
                let used = cloud
                    .rented
                    .lock()
                    .unwrap()
                    .values()
                    .filter(|r| r.worker.build.label == build.label)
                    .count();
                let count = hire.count.min(build.capacity.saturating_sub(used));
                let text = format!(
                    "rental {} of {} x {} granted {count}",
                    hire.hire, hire.count, hire.build
                );
                cloud.fleet.record.line(&text);
                if count == 0 {
                    let body = encode(&cbor!({"error" => "no capacity"}).unwrap());
                    return Response::new(503, body);
                }
                let names: Vec<String> = (0..count)
                    .map(|_| cloud.create(build, yard, hire.loaners, false))
                    .collect();
                hires.insert(hire.hire, names.clone());
                Response::new(200, encode(&cbor!({"hosts" => names}).unwrap()))
            }
            ("POST", "/rentals/return") => {
                let Ok(hosts) = decode::<Hosts>(&request.body) else {
                    return Response::new(400, Vec::new());
                };
                for name in &hosts.hosts {
                    if let Some(rented) = cloud.rented.lock().unwrap().remove(name) {
                        rented.worker.remove();
                        cloud.fleet.record.line(&format!("machine {name} returned"));
                    }
                    cloud.machines.lock().unwrap().remove(name);
                }
                Response::new(200, encode(&cbor!({"hosts" => hosts.hosts}).unwrap()))
            }
            ("GET", "/rentals") => {
                let param = |name: &str| {
                    query
                        .split('&')
                        .filter_map(|p| p.split_once('='))
                        .find(|(k, _)| *k == name)
                        .map(|(_, v)| v)
                };
                let since = param("since").unwrap_or("").to_string();
                let most: usize = param("most").and_then(|m| m.parse().ok()).unwrap_or(500);
                let up = cloud.machines.lock().unwrap();
                let rented = cloud.rented.lock().unwrap();
                let rows: Vec<Value> = rented
                    .iter()
                    .filter(|(name, _)| **name > since)
                    .map(|(name, r)| {
                        let status = if up.contains_key(name) { "running" } else { "starting" };
                        cbor!({"ref" => name, "addr" => *r.worker.addr.lock().unwrap(),
                            "build" => r.worker.build.label, "yard" => r.worker.yard, "loaners" => r.worker.loaners,
                            "status" => status, "heldS" => r.since.elapsed().as_secs_f64()})
                        .unwrap()
                    })
                    .collect();
                let more = rows.len() > most;
                let rows: Vec<Value> = rows.into_iter().take(most).collect();
                Response::new(
                    200,
                    encode(&cbor!({"hosts" => rows, "more" => more}).unwrap()),
                )
            }
            _ => Response::new(404, Vec::new()),
        }
    }
}

/// Three controllers with the stand-ins that they talk to.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub fleet: Arc<Fleet>,
    pub public: Vec<SocketAddr>,
    configs: Vec<PathBuf>,
    children: Vec<Option<Child>>,
    folder: PathBuf,
}

/// What differs between the cases' sites.
pub struct SiteOptions {
    pub builds: Vec<Build>,
    /// TOML of `[settings]` except for the part that all cases share.
    pub settings: String,
    pub limits: Limits,
    pub report_s: f64,
    pub lease_s: f64,
    pub zones: Vec<&'static str>,
}

fn free_port() -> SocketAddr {
    // Below the range of ports that connections get.
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let taken = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + ((u64::from(std::process::id()) * 389 + taken) % 10_000) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// The program and arguments of `run` in the deploy file.
fn deploy_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").unwrap();
    let line = text.lines().find(|l| l.starts_with("run")).unwrap();
    let run = line.split('"').nth(1).unwrap();
    run.split_whitespace().map(String::from).collect()
}

impl Site {
    /// Starts the stand-ins and three controllers, and waits until these are healthy. The working directory must be
    /// the root of the repository.
    pub fn start(options: SiteOptions) -> Site {
        let record = Record::create();
        let store = Store::new(options.limits);
        let store_addr = listen(store.clone());
        let fleet = Arc::new(Fleet {
            record: record.clone(),
            jobs: Mutex::default(),
            controllers: Mutex::default(),
            report: Duration::from_secs_f64(options.report_s),
            lease: Duration::from_secs_f64(options.lease_s),
            running: Mutex::default(),
            first_start: Mutex::default(),
            last_start: Mutex::default(),
            completed: Mutex::default(),
            places: Mutex::default(),
            ran_twice: Mutex::default(),
            verbose: AtomicBool::new(true),
        });
        let (cloud, cloud_addr) = Cloud::start(options.builds, fleet.clone());
        let public: Vec<SocketAddr> = (0..3).map(|_| free_port()).collect();
        let peers: Vec<SocketAddr> = (0..3).map(|_| free_port()).collect();
        *fleet.controllers.lock().unwrap() = public
            .iter()
            .enumerate()
            .map(|(n, a)| (format!("reelhand-{n}"), *a))
            .collect();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let zones = &options.zones;
        let mut configs = Vec::new();
        for n in 0..3 {
            let members: String = (0..3)
                .filter(|m| *m != n)
                .map(|m| {
                    format!(
                        "[[members]]\nnode = \"reelhand-{m}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n\n",
                        zones[m % zones.len()], peers[m]
                    )
                })
                .collect();
            let text = format!(
                "node = \"reelhand-{n}\"\nlocation = \"{}\"\npublic_addr = \"{}\"\npeer_listen = \"{}\"\n\n{members}\
                 [endpoints]\ncloud = \"{cloud_addr}\"\nstate = \"{store_addr}\"\n\n\
                 [settings]\ninitial_size = 1\nzones = {zones:?}\n{}",
                zones[n % zones.len()],
                public[n],
                peers[n],
                options.settings
            );
            let path = folder.join(format!("{n}.toml"));
            std::fs::write(&path, text).unwrap();
            configs.push(path);
        }
        let mut site = Site {
            record,
            store,
            cloud,
            fleet,
            public,
            configs,
            children: vec![None, None, None],
            folder,
        };
        for n in 0..3 {
            site.start_controller(n);
        }
        site.await_healthy();
        site
    }

    pub fn start_controller(&mut self, n: usize) {
        let command = deploy_command();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{n}.log")))
            .unwrap();
        let child = Command::new(&command[0])
            .args(&command[1..])
            .arg(&self.configs[n])
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => {
                self.record
                    .line(&format!("reelhand-{n} started, process {}", child.id()));
                self.children[n] = Some(child);
            }
            Err(error) => {
                self.record
                    .say(&format!("cannot start the service: {error}"));
                self.stop();
                std::process::exit(CANNOT_RUN);
            }
        }
    }

    /// Kills a controller.
    pub fn kill_controller(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("reelhand-{n} killed"));
        }
    }

    pub fn pid(&self, n: usize) -> u32 {
        self.children[n].as_ref().map_or(0, Child::id)
    }

    fn await_healthy(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for n in 0..3 {
            while self.call(n, "GET", "/up", &[]).0 != 200 {
                if Instant::now() > deadline {
                    self.record.say("the controllers did not become healthy");
                    self.stop();
                    std::process::exit(CANNOT_RUN);
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Sends one request, and returns status and body; status 0 without an answer.
    pub fn call(
        &self,
        n: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Option<JobStatus>) {
        let timeout = Duration::from_secs(if method == "GET" { 2 } else { 5 });
        match Client::new(self.public[n]).call(method, path, body, timeout) {
            Ok(response) => (response.status, decode(&response.body).ok()),
            Err(_) => (0, None),
        }
    }

    /// Number of the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let data = self.store.data("leader")?;
        let node = data
            .as_map()?
            .iter()
            .find(|(k, _)| k.as_text() == Some("node"))?
            .1
            .as_text()?
            .to_string();
        node.strip_prefix("reelhand-")?.parse().ok()
    }

    /// Term of the leader, if there is one.
    pub fn term(&self) -> Option<u64> {
        let data = self.store.data("leader")?;
        let entries = data.as_map()?;
        let term = entries.iter().find(|(k, _)| k.as_text() == Some("term"))?;
        u64::try_from(i128::from(term.1.as_integer()?)).ok()
    }

    /// Submits a job as a user does: repeated for 60 s until it is accepted. Returns whether it was.
    pub fn submit(&self, job: &Job, n: usize) -> bool {
        let work = Work {
            cpus: job.cpus,
            gpus: job.gpus,
            ram_gb: job.ram_gb,
            run: job.run,
        };
        self.fleet.jobs.lock().unwrap().insert(job.id.clone(), work);
        let body = job.body();
        let deadline = Instant::now() + Duration::from_secs(60);
        let mut node = n;
        loop {
            let (status, answer) = self.call(node, "POST", "/work", &body);
            let state = answer.map(|a| a.status).unwrap_or_default();
            self.record.line(&format!(
                "submit {} at reelhand-{node}: {status} {state}",
                job.id
            ));
            if matches!(status, 200 | 201) {
                return true;
            }
            if matches!(status, 400 | 422) || Instant::now() > deadline {
                return false;
            }
            node = (node + 1) % 3;
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Asks for a job's state, and records the answer.
    pub fn status(&self, id: &str, n: usize) -> (u16, Option<JobStatus>) {
        let answer = self.call(n, "GET", &format!("/work/{id}"), &[]);
        let text = answer.1.as_ref().map_or(String::new(), |a| {
            format!("{} done={} running={}", a.status, a.done, a.running)
        });
        self.record
            .line(&format!("status {id} at reelhand-{n}: {} {text}", answer.0));
        answer
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&mut self) {
        for n in 0..3 {
            self.kill_controller(n);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// Ends the run with this exit code.
    pub fn finish(mut self, broken: bool, text: &str) -> ! {
        self.record.say(text);
        self.stop();
        std::process::exit(i32::from(broken));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Status of a job in a response.
#[derive(Clone, Debug, Deserialize)]
pub struct JobStatus {
    pub status: String,
    #[serde(default)]
    pub done: u64,
    #[serde(default)]
    pub running: u64,
}

/// A job of a user.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub lane: &'static str,
    pub crew: &'static str,
    pub shape: &'static str,
    pub rank: &'static str,
    pub pieces: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub loaners: bool,
    pub guess_s: f64,
    /// Real run time; `None`: until it is stopped.
    pub run: Option<Duration>,
}

impl Job {
    /// The body of its submission.
    pub fn body(&self) -> Vec<u8> {
        encode(
            &cbor!({
                "ref" => self.id, "lane" => self.lane, "crew" => self.crew, "shape" => self.shape,
                "rank" => self.rank, "pieces" => self.pieces, "cpus" => self.cpus, "gpus" => self.gpus,
                "ramGb" => self.ram_gb, "bundle" => "img-07", "imageGb" => 1.0, "builds" => null,
                "yard" => null, "samePlace" => false, "spread" => false, "loaners" => self.loaners,
                "guessS" => self.guess_s, "bookmarkS" => 0.0, "stashS" => 0.0, "dueS" => null
            })
            .unwrap(),
        )
    }
}

/// A team of a site, with its CPUs guaranteed and at most.
pub type Team = (&'static str, f64, f64);

/// Settings of the small deployment in Izmir, with these teams.
pub fn izmir_settings(teams: &[Team]) -> String {
    let teams: String = teams
        .iter()
        .map(|(name, cpus, cpus_max)| {
            format!(
                "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n\
                 gpus = 0.0\ngpus_max = 0.0\n\n"
            )
        })
        .collect();
    format!(
        r#"skew_ms = 5.0

{teams}
[settings.workers]
report_s = 3.0
lease_s = 21.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 46.0

[settings.state]
rps = 120.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12

[settings.cloud]
rps = 8.0
list_lag_s = 8.0

[settings.quota]
cpu_share = 0.16
memory_mb = 104.0
sockets = 1500
"#
    )
}

/// A site like the one in Izmir, with one machine up at the start.
///
/// `capacity` is the number of machines that the cloud has, 28 as a rule.
pub fn izmir(teams: &[Team], capacity: usize) -> Site {
    let build = Build {
        label: "kazan64",
        cpus: 64.0,
        gpus: 0.0,
        ram_gb: 128.0,
        startup_s: 20.0,
        yards: vec!["ege-bolge"],
        capacity,
    };
    let site = Site::start(SiteOptions {
        builds: vec![build.clone()],
        settings: izmir_settings(teams),
        limits: Limits {
            rps: 120.0,
            write_rps: 20.0,
            value_bytes: 8 * 1024,
            txn_ops: 12,
        },
        report_s: 3.0,
        lease_s: 21.0,
        zones: vec!["ege-bolge"],
    });
    site.cloud.create(&build, "ege-bolge", true, true);
    site
}

/// A job of class `uye-portal`: replicas of a member service.
pub fn portal(number: u32, crew: &'static str, pieces: u32, cpus: f64, ram_gb: f64) -> Job {
    Job {
        id: format!("run-{number:06}"),
        lane: "uye-portal",
        crew,
        shape: "standing",
        rank: "production",
        pieces,
        cpus,
        gpus: 0.0,
        ram_gb,
        loaners: true,
        guess_s: 0.0,
        run: None,
    }
}

/// A job of class `acil-yenileme`: urgent refill orders.
pub fn refill(number: u32, crew: &'static str, pieces: u32, cpus: f64, run_s: f64) -> Job {
    Job {
        id: format!("run-{number:06}"),
        lane: "acil-yenileme",
        crew,
        shape: "array",
        rank: "high",
        pieces,
        cpus,
        gpus: 0.0,
        ram_gb: cpus * 1.15,
        loaners: true,
        guess_s: run_s,
        run: Some(Duration::from_secs_f64(run_s)),
    }
}

impl Site {
    /// Number of the job's tasks that run.
    pub fn running(&self, id: &str) -> i64 {
        self.fleet
            .running
            .lock()
            .unwrap()
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    /// Number of the job's tasks that have completed.
    pub fn completed(&self, id: &str) -> u64 {
        self.fleet
            .completed
            .lock()
            .unwrap()
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    /// When a task of the job last started, in seconds of the record.
    pub fn last_start(&self, id: &str) -> Option<f64> {
        self.fleet.last_start.lock().unwrap().get(id).copied()
    }

    /// Waits until `is_met`, at most this long; returns whether it was.
    pub fn wait(&self, seconds: f64, is_met: impl Fn(&Site) -> bool) -> bool {
        let deadline = Instant::now() + Duration::from_secs_f64(seconds);
        while !is_met(self) {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// What the machine has free that has room for a task of the job; `None` if no machine has room for one.
    pub fn room_for(&self, job: &Job) -> Option<(f64, f64, f64)> {
        let machines = self.cloud.machines.lock().unwrap();
        let mut free = machines
            .values()
            .map(|worker| worker.free(&worker.state.lock().unwrap()));
        free.find(|(cpus, gpus, ram)| {
            *cpus + 1e-6 >= job.cpus && *gpus + 1e-6 >= job.gpus && *ram >= job.ram_gb
        })
    }

    /// CPUs of all running tasks.
    pub fn used_cpus(&self) -> f64 {
        let jobs = self.fleet.jobs.lock().unwrap();
        let running = self.fleet.running.lock().unwrap();
        running
            .iter()
            .map(|(id, count)| jobs[id].cpus * *count as f64)
            .sum()
    }

    /// Ends the run as one that could not be carried out.
    pub fn cannot_run(mut self, text: &str) -> ! {
        self.record.say(text);
        self.stop();
        std::process::exit(CANNOT_RUN);
    }

    /// Watches until the job's waiting tasks have waited for `limit_s` while nothing of it started, although a machine
    /// had room for a task and the team was under its limit all the time, or until nothing of it waits. Returns
    /// whether the limit was reached.
    pub fn waits_in_vain(&self, job: &Job, team_limit: f64, limit_s: f64) -> bool {
        let mut since = self.record.seconds();
        let mut next_status = 0.0;
        loop {
            let now = self.record.seconds();
            if self.completed(&job.id) + self.running(&job.id) as u64 >= u64::from(job.pieces) {
                return false;
            }
            let room = self.room_for(job);
            let under_limit = self.used_cpus() + job.cpus <= team_limit + 1e-6;
            if room.is_none() || !under_limit {
                since = now;
            }
            if let Some(started) = self.last_start(&job.id) {
                since = since.max(started);
            }
            if now >= next_status {
                next_status = now + 5.0;
                let (status, _) = self.status(&job.id, (now as usize / 5) % 3);
                let (cpus, gpus, ram) = room.unwrap_or_default();
                self.record.line(&format!(
                    "{}: {} running, {} done of {}; a machine has room: {}, free {cpus:.1} CPUs {gpus:.0} GPUs \
                     {ram:.0} GB; team uses {:.1} of {team_limit} CPUs; {} machines; waits for {:.0} s; \
                     status {status}",
                    job.id,
                    self.running(&job.id),
                    self.completed(&job.id),
                    job.pieces,
                    room.is_some(),
                    self.used_cpus(),
                    self.cloud.machine_count(),
                    now - since
                ));
            }
            if now - since >= limit_s {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}
