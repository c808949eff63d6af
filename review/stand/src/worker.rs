//! A worker, written from the protocol page, and the state that all workers of a run share.

use crate::record::Record;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::{Client, ClientResponse};
use aspenreel::http::server::{Handler, Request, Response};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const REPORT_S: f64 = 3.0;
pub const LEASE_S: f64 = 21.0;
pub const CANCEL_S: f64 = 46.0;
/// Time that a worker waits for the answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a failing task ends, in seconds.
const FAILS_AFTER_S: f64 = 1.0;
/// Time for which a worker fetches an image that it doesn't have.
const FETCH: Duration = Duration::from_millis(500);

/// Which attempts of a job's tasks fail.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fails {
    Never,
    /// Each task fails on the machine on which it is first.
    OnFirstMachine,
    /// Every attempt fails: the job was submitted with a mistake.
    Always,
}

/// What a worker knows of a job: its user uploaded the description.
#[derive(Clone)]
pub struct JobInfo {
    pub cpus: f64,
    pub image: String,
    /// Run time of each task, in seconds.
    pub run_s: f64,
    /// Attempts that end with `error`.
    pub fails: Fails,
}

/// What the workers of a run share: jobs, finished tasks, and where each task is.
pub struct World {
    pub record: Arc<Record>,
    pub jobs: Mutex<BTreeMap<String, JobInfo>>,
    finished: Mutex<BTreeSet<String>>,
    /// Machine on which each task was first.
    first_machine: Mutex<BTreeMap<String, String>>,
    /// Machines on which each task is at present.
    places: Mutex<BTreeMap<String, BTreeSet<String>>>,
    /// Every start of a task: time, task, machine.
    pub starts: Mutex<Vec<(f64, String, String)>>,
    /// Every end of a task: time, task, machine.
    pub ends: Mutex<Vec<(f64, String, String)>>,
    /// Starts of a task on one machine while it was on another one.
    pub ran_twice: Mutex<Vec<String>>,
}

impl World {
    pub fn new(record: Arc<Record>) -> Arc<World> {
        Arc::new(World {
            record,
            jobs: Mutex::default(),
            finished: Mutex::default(),
            first_machine: Mutex::default(),
            places: Mutex::default(),
            starts: Mutex::default(),
            ends: Mutex::default(),
            ran_twice: Mutex::default(),
        })
    }

    fn started(&self, task: &str, attempt: u64, machine: &str) {
        let now = self.record.now();
        self.record.note(&format!(
            "machine {machine}: task {task} starts, try {attempt}"
        ));
        let mut places = self.places.lock().unwrap();
        let on = places.entry(task.to_string()).or_default();
        if let Some(other) = on.iter().find(|other| *other != machine) {
            let text = format!("{now:.3} task {task} starts on {machine} while it is on {other}");
            self.record.note(&format!("RULE BROKEN ran_twice: {text}"));
            self.ran_twice.lock().unwrap().push(text);
        }
        on.insert(machine.to_string());
        let start = (now, task.to_string(), machine.to_string());
        self.starts.lock().unwrap().push(start);
    }

    fn ended(&self, task: &str, attempt: u64, machine: &str, why: &str) {
        self.record.note(&format!(
            "machine {machine}: task {task} ends, try {attempt}, {why}"
        ));
        if let Some(on) = self.places.lock().unwrap().get_mut(task) {
            on.remove(machine);
        }
        let end = (self.record.now(), task.to_string(), machine.to_string());
        self.ends.lock().unwrap().push(end);
    }

    /// True if a task of this job fails on this machine.
    fn fails(&self, task: &str, job: &JobInfo, machine: &str) -> bool {
        let mut first = self.first_machine.lock().unwrap();
        let first = first.entry(task.to_string()).or_insert(machine.to_string());
        match job.fails {
            Fails::Never => false,
            Fails::OnFirstMachine => first == machine,
            Fails::Always => true,
        }
    }

    /// Number of tasks of a job that have completed.
    pub fn done_tasks(&self, job: &str) -> usize {
        let finished = self.finished.lock().unwrap();
        finished.iter().filter(|task| job_of(task) == job).count()
    }

    /// Machines on which a task is.
    pub fn machines_of(&self, task: &str) -> Vec<String> {
        let places = self.places.lock().unwrap();
        places
            .get(task)
            .map_or(Vec::new(), |on| on.iter().cloned().collect())
    }
}

#[derive(Clone, Deserialize, Serialize)]
pub struct Command {
    pub verb: String,
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
}

#[derive(Deserialize, Serialize)]
pub struct Commands {
    pub baton: Option<u64>,
    #[serde(default)]
    pub shift: Option<u64>,
    #[serde(default)]
    pub orders: Vec<Command>,
}

#[derive(Deserialize)]
struct Refusal {
    #[serde(default)]
    foreman: Option<String>,
}

#[derive(Clone, Serialize)]
struct Piece {
    piece: String,
    #[serde(rename = "try")]
    attempt: u64,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<&'static str>,
}

#[derive(Serialize)]
struct Report {
    host: String,
    addr: String,
    build: &'static str,
    yard: &'static str,
    loaners: bool,
    shift: u64,
    tick: u64,
    baton: u64,
    #[serde(rename = "recallS")]
    recall_s: Option<f64>,
    pieces: Vec<Piece>,
}

struct Task {
    piece: Piece,
    /// End of the fetch, or of the run.
    next: Instant,
}

struct State {
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    shift: u64,
    tick: u64,
    baton: u64,
    lease_start: Instant,
    changed: bool,
    report_bytes: usize,
}

pub struct Worker {
    pub name: String,
    pub cpus: f64,
    /// Address under which controllers reach the worker.
    pub addr: Mutex<String>,
    state: Mutex<State>,
    world: Arc<World>,
    nodes: Vec<(String, SocketAddr)>,
    gone: AtomicBool,
    /// Time of the last report that was answered with 200 and accepted.
    pub last_answered: Mutex<Option<Instant>>,
}

impl Worker {
    pub fn new(
        name: &str,
        cpus: f64,
        world: &Arc<World>,
        nodes: Vec<(String, SocketAddr)>,
    ) -> Arc<Worker> {
        Arc::new(Worker {
            name: name.to_string(),
            cpus,
            addr: Mutex::default(),
            state: Mutex::new(State {
                tasks: Vec::new(),
                images: BTreeSet::new(),
                shift: 1,
                tick: 0,
                baton: 0,
                lease_start: Instant::now(),
                changed: false,
                report_bytes: 0,
            }),
            world: world.clone(),
            nodes,
            gone: AtomicBool::new(false),
            last_answered: Mutex::default(),
        })
    }

    /// The machine was returned: everything on it is gone.
    pub fn remove(&self) {
        self.gone.store(true, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap();
        self.kill_all(&mut state, "machine returned");
    }

    /// True if the worker's reports list this task.
    pub fn lists(&self, task: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.tasks.iter().any(|t| t.piece.piece == task)
    }

    /// Session, number of tasks, and size of the last report.
    pub fn summary(&self) -> (u64, usize, usize) {
        let state = self.state.lock().unwrap();
        (state.shift, state.tasks.len(), state.report_bytes)
    }

    /// CPUs that no task takes; none once the machine is gone.
    pub fn free_cpus(&self) -> f64 {
        if self.gone.load(Ordering::Relaxed) {
            return 0.0;
        }
        let state = self.state.lock().unwrap();
        self.cpus - self.used_cpus(&state)
    }

    fn used_cpus(&self, state: &State) -> f64 {
        let jobs = self.world.jobs.lock().unwrap();
        let present = state.tasks.iter().filter(|t| t.piece.status != "exited");
        present.map(|t| jobs[job_of(&t.piece.piece)].cpus).sum()
    }

    fn kill_all(&self, state: &mut State, why: &str) {
        for task in std::mem::take(&mut state.tasks) {
            if task.piece.status == "running" {
                let piece = &task.piece;
                self.world
                    .ended(&piece.piece, piece.attempt, &self.name, why);
            }
        }
    }

    /// Applies what time alone changes: the end of the lease, of fetches and of runs.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        if now - state.lease_start > Duration::from_secs_f64(LEASE_S) {
            self.kill_all(state, "lease expired");
            state.shift += 1;
            state.lease_start = now;
            state.changed = true;
            let text = format!("machine {}: session {} begins", self.name, state.shift);
            self.world.record.note(&text);
        }
        for index in 0..state.tasks.len() {
            let task = &mut state.tasks[index];
            if task.next > now {
                continue;
            }
            let job = job_of(&task.piece.piece);
            let info = self.world.jobs.lock().unwrap()[job].clone();
            let name = task.piece.piece.clone();
            if task.piece.status == "fetching" {
                state.images.insert(info.image.clone());
                state.changed = true;
                let task = &mut state.tasks[index];
                if self.world.finished.lock().unwrap().contains(&name) {
                    (task.piece.status, task.piece.cause) = ("exited", Some("done"));
                } else {
                    task.piece.status = "running";
                    let fails = self.world.fails(&name, &info, &self.name);
                    let time = if fails { FAILS_AFTER_S } else { info.run_s };
                    task.next = now + Duration::from_secs_f64(time);
                    let attempt = task.piece.attempt;
                    self.world.started(&name, attempt, &self.name);
                }
            } else if task.piece.status == "running" {
                state.changed = true;
                let fails = self.world.fails(&name, &info, &self.name);
                let cause = if fails { "error" } else { "done" };
                let task = &mut state.tasks[index];
                (task.piece.status, task.piece.cause) = ("exited", Some(cause));
                if !fails {
                    self.world.finished.lock().unwrap().insert(name.clone());
                }
                let attempt = task.piece.attempt;
                self.world.ended(&name, attempt, &self.name, cause);
            }
        }
    }

    fn execute(&self, state: &mut State, commands: &[Command], path: &str) {
        for command in commands {
            let Command {
                verb,
                piece,
                attempt,
            } = command;
            let text = format!("machine {}: {path} {verb} {piece} try {attempt}", self.name);
            self.world.record.note(&text);
            let at = state
                .tasks
                .iter()
                .position(|t| t.piece.piece == *piece && t.piece.attempt == *attempt);
            match (verb.as_str(), at) {
                ("run", None) => self.begin(state, piece, *attempt),
                ("stop", Some(at)) if state.tasks[at].piece.status != "exited" => {
                    let was_running = state.tasks[at].piece.status == "running";
                    let task = &mut state.tasks[at].piece;
                    (task.status, task.cause) = ("exited", Some("stopped"));
                    if was_running {
                        self.world.ended(piece, *attempt, &self.name, "stopped");
                    }
                }
                ("clear", Some(at)) if state.tasks[at].piece.status == "exited" => {
                    state.tasks.remove(at);
                }
                _ => continue,
            }
            state.changed = true;
        }
        self.advance(state);
    }

    fn begin(&self, state: &mut State, piece: &str, attempt: u64) {
        let info = self.world.jobs.lock().unwrap().get(job_of(piece)).cloned();
        let used = self.used_cpus(state);
        let is_here = state
            .tasks
            .iter()
            .any(|t| t.piece.piece == piece && t.piece.status != "exited");
        let refused = match &info {
            None => Some("no_such"),
            Some(_) if is_here => Some("busy"),
            Some(info) if used + info.cpus > self.cpus => Some("full"),
            Some(_) => None,
        };
        let fetch = match &info {
            Some(info) if !state.images.contains(&info.image) => FETCH,
            _ => Duration::ZERO,
        };
        state.tasks.push(Task {
            piece: Piece {
                piece: piece.to_string(),
                attempt,
                status: if refused.is_some() {
                    "exited"
                } else {
                    "fetching"
                },
                cause: refused,
            },
            next: Instant::now() + fetch,
        });
    }

    fn report(&self, state: &mut State) -> Vec<u8> {
        state.tick += 1;
        let body = encode(&Report {
            host: self.name.clone(),
            addr: self.addr.lock().unwrap().clone(),
            build: "kazan64",
            yard: "ege-bolge",
            loaners: false,
            shift: state.shift,
            tick: state.tick,
            baton: state.baton,
            recall_s: None,
            pieces: state.tasks.iter().map(|t| t.piece.clone()).collect(),
        });
        state.report_bytes = body.len();
        body
    }

    /// Reports until the machine is gone.
    pub fn run(self: Arc<Self>) {
        let mut node = 0;
        let mut client = Client::new(self.nodes[node].1);
        let mut reported_at = Instant::now();
        let mut interval = Duration::ZERO;
        while !self.gone.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(20));
            let body = {
                let mut state = self.state.lock().unwrap();
                self.advance(&mut state);
                let since = reported_at.elapsed();
                let is_due =
                    since >= interval || (state.changed && since >= Duration::from_millis(500));
                if !is_due {
                    continue;
                }
                state.changed = false;
                (self.report(&mut state), state.shift)
            };
            reported_at = Instant::now();
            interval = Duration::from_secs_f64(REPORT_S * (0.75 + 0.5 * fastrand::f64()));
            let result = client.call("POST", "/checkin", &body.0, ANSWER_TIMEOUT);
            let next = match result {
                Ok(ClientResponse {
                    status: 200,
                    body: answer,
                }) => {
                    self.apply_answer(&answer, body.1, reported_at);
                    None
                }
                Ok(ClientResponse {
                    status: 421,
                    body: answer,
                }) => {
                    let named = decode::<Refusal>(&answer).ok().and_then(|r| r.foreman);
                    let at = named.and_then(|n| self.nodes.iter().position(|(name, _)| *name == n));
                    Some(at.filter(|at| *at != node))
                }
                Ok(ClientResponse { status, .. }) => {
                    if status != 503 {
                        let text = format!("machine {}: report answered with {status}", self.name);
                        self.world.record.note(&text);
                    }
                    Some(None)
                }
                Err(_) => Some(None),
            };
            match next {
                None => {}
                Some(Some(at)) => {
                    node = at;
                    client = Client::new(self.nodes[node].1);
                    interval = Duration::ZERO;
                }
                Some(None) => {
                    node = (node + 1) % self.nodes.len();
                    client = Client::new(self.nodes[node].1);
                    reported_at = Instant::now();
                    interval = Duration::from_secs(1);
                }
            }
        }
    }

    fn apply_answer(&self, answer: &[u8], shift: u64, sent: Instant) {
        let Ok(commands) = decode::<Commands>(answer) else {
            return;
        };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let Some(baton) = commands.baton else { return };
        if baton < state.baton || shift != state.shift || sent.elapsed() > ANSWER_TIMEOUT {
            return;
        }
        if baton > state.baton {
            let text = format!("machine {}: token {baton} accepted", self.name);
            self.world.record.note(&text);
            state.changed = true;
        }
        state.baton = baton;
        state.lease_start = sent;
        *self.last_answered.lock().unwrap() = Some(Instant::now());
        self.execute(&mut state, &commands.orders, "answer:");
    }

    /// Handles a direct command as it arrives at the worker.
    pub fn direct(&self, body: &[u8]) -> Response {
        let Ok(commands) = decode::<Commands>(body) else {
            return Response::new(400, Vec::new());
        };
        let (Some(baton), Some(shift)) = (commands.baton, commands.shift) else {
            return Response::new(400, Vec::new());
        };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if self.gone.load(Ordering::Relaxed) || baton < state.baton || shift != state.shift {
            let text = format!(
                "machine {}: direct command refused, token {baton}",
                self.name
            );
            self.world.record.note(&text);
            return Response::new(409, self.report(&mut state));
        }
        state.baton = baton;
        self.execute(&mut state, &commands.orders, "direct:");
        Response::new(200, self.report(&mut state))
    }
}

impl Handler for Worker {
    fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/commands" => self.direct(&request.body),
            _ => {
                let mut state = self.state.lock().unwrap();
                self.advance(&mut state);
                Response::new(200, self.report(&mut state))
            }
        }
    }
}

/// Job of a task.
pub fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or(piece)
}
