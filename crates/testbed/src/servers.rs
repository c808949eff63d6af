//! Stand-ins for what the controllers talk to: the state service, the cloud and its workers.
//!
//! Written from the published protocol, as small as the tests allow.

use crate::checker::{Checker, Place};
use crate::cloud::page_of;
use crate::keys::{Answer, Keys, Watch};
use crate::machines::foreman_of;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::Client;
use aspenreel::http::server::{Handler, Limits, Request, Response, serve};
use aspenreel::workers::wire::{Cause, Order, Report, TaskReport, TaskStatus, Verb};
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub fn listen(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = Limits {
        connections: 400,
        threads: 100,
        buffered: 1 << 24,
    };
    std::thread::spawn(move || serve(listener, handler, Arc::default(), limits, Arc::default()));
    addr
}

fn answer(status: u16, value: Result<Value, ciborium::value::Error>) -> Response {
    Response::new(status, encode(&value.unwrap()))
}

/// The state service.
pub struct State {
    pub keys: Mutex<Keys>,
    changed: Condvar,
    /// Refuses everything, as in an outage.
    pub down: Mutex<bool>,
    since: Instant,
}

impl State {
    pub fn start() -> (Arc<State>, SocketAddr) {
        let state = Arc::new(State {
            keys: Mutex::default(),
            changed: Condvar::new(),
            down: Mutex::new(false),
            since: Instant::now(),
        });
        let addr = listen(state.clone());
        (state, addr)
    }

    pub fn data(&self, key: &str) -> Option<Value> {
        self.keys.lock().unwrap().data(key)
    }

    /// Puts a record there, as if a controller had written it.
    pub fn write(&self, key: &str, data: Value) {
        let body = cbor!({"guards" => [], "apply" => [{"write" => key, "data" => data}]});
        let (status, _) = self.keys.lock().unwrap().multi(&encode(&body.unwrap()));
        assert_eq!(status, 200);
        self.changed.notify_all();
    }

    /// The end of an outage.
    pub fn recovers(&self) {
        self.keys.lock().unwrap().refresh(self.since.elapsed());
        *self.down.lock().unwrap() = false;
    }

    fn changes(&self, watch: &Watch) -> Answer {
        let deadline = Instant::now() + watch.hold;
        let mut k = self.keys.lock().unwrap();
        loop {
            k.expire(self.since.elapsed());
            if let Some(answer) = k.changes(watch) {
                return answer;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return k.no_changes();
            }
            let next_end = k.next_end().unwrap_or(Duration::MAX);
            let wait = left.min(next_end.saturating_sub(self.since.elapsed()));
            k = self.changed.wait_timeout(k, wait).unwrap().0;
        }
    }
}

/// A node's own way to the state service, which may refuse it alone.
pub struct Door {
    state: Arc<State>,
    pub refuses: Mutex<bool>,
}

impl Door {
    pub fn to(state: &Arc<State>) -> (Arc<Door>, SocketAddr) {
        let door = Arc::new(Door {
            state: state.clone(),
            refuses: Mutex::new(false),
        });
        let addr = listen(door.clone());
        (door, addr)
    }
}

impl Handler for Door {
    fn handle(&self, r: Request) -> Response {
        let refuses = *self.refuses.lock().unwrap();
        match refuses {
            true => Response::new(503, Vec::new()),
            false => self.state.handle(r),
        }
    }
}

impl Handler for State {
    fn handle(&self, r: Request) -> Response {
        if *self.down.lock().unwrap() {
            return Response::new(503, Vec::new());
        }
        let (status, body) = if r.path.starts_with("/changes") {
            self.changes(&Watch::of(&r.path))
        } else {
            let mut keys = self.keys.lock().unwrap();
            let answer = keys.call(&r.method, &r.path, &r.body, self.since.elapsed());
            self.changed.notify_all();
            answer
        };
        Response::new(status, body)
    }
}

/// The rules, watched from what workers do.
pub struct History {
    pub checker: Checker,
    since: Instant,
}

impl History {
    pub fn new(checker: Checker) -> History {
        History {
            checker,
            since: Instant::now(),
        }
    }

    /// Now, as the checker counts time.
    pub fn now(&self) -> u64 {
        self.since.elapsed().as_micros() as u64
    }
}

/// The ways by which one worker is reached, one for each controller; its own address where there are none.
pub type WorkerWays = Box<dyn Fn(SocketAddr) -> Vec<SocketAddr> + Send + Sync>;

/// What all workers share: who runs what, and what went wrong.
#[derive(Default)]
pub struct Ground {
    /// Where the rules are watched, if they are.
    pub history: Mutex<Option<History>>,
    /// How long a task runs, in milliseconds; 0: 150.
    pub task_ms: AtomicU64,
    pub running: Mutex<HashMap<String, String>>,
    pub started: Mutex<HashSet<String>>,
    pub broken: Mutex<Vec<String>>,
    /// Jobs whose tasks run until they are stopped.
    pub endless: Mutex<HashSet<String>>,
}

struct Task {
    report: TaskReport,
    ends: Option<Instant>,
}

struct Inner {
    tasks: Vec<Task>,
    token: u64,
    session: u64,
    tick: u64,
    /// When the last report that was answered was sent, or the session began.
    lease_from: Instant,
}

/// As the tests' settings say.
const LEASE: Duration = Duration::from_secs(4);

struct Worker {
    name: String,
    /// Its own address, or one way to it for each controller.
    addresses: Mutex<Vec<SocketAddr>>,
    /// The controller that it reports to.
    at: AtomicUsize,
    inner: Mutex<Inner>,
    ground: Arc<Ground>,
}

impl Ground {
    fn task_time(&self) -> Duration {
        match self.task_ms.load(Ordering::Relaxed) {
            0 => Duration::from_millis(150),
            ms => Duration::from_millis(ms),
        }
    }

    fn note(&self, work: impl FnOnce(&mut Checker, u64)) {
        if let Some(history) = &mut *self.history.lock().unwrap() {
            let now = history.now();
            work(&mut history.checker, now);
        }
    }

    fn note_start(&self, piece: &str, machine: &str) {
        let (job, task) = parts(piece);
        let place = Place {
            machine: machine.into(),
            zone: "east".into(),
            spot: true,
        };
        self.note(|checker, now| checker.starts(job, task, &place, now));
    }

    fn note_end(&self, piece: &str, machine: &str, done: bool) {
        let (job, task) = parts(piece);
        self.note(|checker, _| checker.leaves(job, task, machine, done));
    }
}

fn parts(piece: &str) -> (&str, u32) {
    let (job, task) = piece.rsplit_once('/').unwrap();
    (job, task.parse().unwrap())
}

impl Worker {
    fn execute(&self, orders: &[Order]) {
        let mut inner = self.inner.lock().unwrap();
        for o in orders {
            let at = inner
                .tasks
                .iter()
                .position(|t| t.report.piece == o.piece && t.report.attempt == o.attempt);
            match (o.verb, at) {
                (Verb::Run, None) => {
                    let twice = self
                        .ground
                        .running
                        .lock()
                        .unwrap()
                        .insert(o.piece.clone(), self.name.clone());
                    if let Some(other) = twice {
                        let text = format!("{} on {other} and {}", o.piece, self.name);
                        self.ground.broken.lock().unwrap().push(text);
                    }
                    self.ground.note_start(&o.piece, &self.name);
                    self.ground.started.lock().unwrap().insert(o.piece.clone());
                    let job = o.piece.split('/').next().unwrap();
                    let endless = self.ground.endless.lock().unwrap().contains(job);
                    inner.tasks.push(Task {
                        report: TaskReport {
                            piece: o.piece.clone(),
                            attempt: o.attempt,
                            status: TaskStatus::Running,
                            cause: None,
                            stored: None,
                        },
                        ends: (!endless).then(|| Instant::now() + self.ground.task_time()),
                    });
                }
                (Verb::Stop, Some(i)) => self.exit(&mut inner.tasks[i], Cause::Stopped),
                (Verb::Clear, Some(i)) => {
                    inner.tasks.remove(i);
                }
                _ => {}
            }
        }
    }

    fn exit(&self, task: &mut Task, cause: Cause) {
        if task.report.status != TaskStatus::Exited {
            task.report.status = TaskStatus::Exited;
            task.report.cause = Some(cause);
            let done = cause == Cause::Done;
            self.ground.note_end(&task.report.piece, &self.name, done);
            self.ground
                .running
                .lock()
                .unwrap()
                .remove(&task.report.piece);
        }
    }

    /// Its report, to or from the controller with this number.
    fn report(&self, controller: usize) -> Report {
        let mut inner = self.inner.lock().unwrap();
        for task in &mut inner.tasks {
            if task.ends.is_some_and(|e| e <= Instant::now()) {
                self.exit(task, Cause::Done);
            }
        }
        inner.tick += 1;
        Report {
            machine: self.name.clone(),
            addr: self.addr_for(controller),
            type_name: "small".into(),
            zone: "east".into(),
            spot: true,
            session: inner.session,
            tick: inner.tick,
            token: inner.token,
            recall: None,
            tasks: inner.tasks.iter().map(|t| t.report.clone()).collect(),
        }
    }

    fn addr_for(&self, controller: usize) -> String {
        let addresses = self.addresses.lock().unwrap();
        let addr = addresses.get(controller).or(addresses.first());
        addr.map(SocketAddr::to_string).unwrap_or_default()
    }

    /// Kills everything when nobody answered for too long.
    fn end_lease(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.lease_from.elapsed() > LEASE {
            for task in &mut inner.tasks {
                self.exit(task, Cause::Stopped);
            }
            inner.tasks.clear();
            inner.session += 1;
            inner.lease_from = Instant::now();
        }
    }

    /// Checks in until the test ends, following hints and trying others after failures.
    fn work(self: Arc<Self>, controllers: Vec<(String, SocketAddr)>) {
        let mut at = 0;
        loop {
            std::thread::sleep(Duration::from_millis(100));
            self.end_lease();
            let sent = Instant::now();
            let client = Client::new(controllers[at].1);
            let report = self.report(at);
            self.at.store(at, Ordering::Relaxed);
            let body = encode(&report);
            let result = client.call("POST", "/checkin", &body, Duration::from_secs(2));
            match result {
                Ok((200, body)) => {
                    let orders: aspenreel::workers::wire::Orders = decode(&body).unwrap();
                    let mut inner = self.inner.lock().unwrap();
                    if orders.token < inner.token {
                        continue;
                    }
                    inner.token = orders.token;
                    inner.lease_from = sent;
                    drop(inner);
                    self.execute(&orders.orders);
                }
                Ok((421, body)) => {
                    let named = foreman_of(&body)
                        .and_then(|f| controllers.iter().position(|(n, _)| *n == f));
                    at = named.unwrap_or((at + 1) % controllers.len());
                }
                _ => at = (at + 1) % controllers.len(),
            }
        }
    }
}

impl Handler for Worker {
    fn handle(&self, r: Request) -> Response {
        #[derive(Deserialize)]
        struct Commands {
            baton: u64,
            shift: u64,
            orders: Vec<Order>,
        }
        let commands: Commands = decode(&r.body).unwrap();
        let stale = {
            let inner = self.inner.lock().unwrap();
            commands.baton < inner.token || commands.shift != inner.session
        };
        if !stale {
            self.inner.lock().unwrap().token = commands.baton;
            self.execute(&commands.orders);
        }
        Response::new(
            if stale { 409 } else { 200 },
            encode(&self.report(self.at.load(Ordering::Relaxed))),
        )
    }
}

/// The cloud: machines are up at once.
pub struct Cloud {
    pub ground: Arc<Ground>,
    machines: Mutex<Vec<String>>,
    hires: Mutex<HashMap<String, Vec<String>>>,
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    /// Machines on the list beside those that were rented. They never check in.
    pub others_listed: AtomicU64,
    /// Whole lists that were told, to their last page.
    pub lists_told: AtomicU64,
    /// How controllers reach new workers.
    pub worker_ways: Mutex<Option<WorkerWays>>,
}

impl Cloud {
    pub fn start() -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            ground: Arc::default(),
            machines: Mutex::default(),
            hires: Mutex::default(),
            controllers: Mutex::default(),
            others_listed: AtomicU64::new(0),
            lists_told: AtomicU64::new(0),
            worker_ways: Mutex::default(),
        });
        let addr = listen(cloud.clone());
        (cloud, addr)
    }

    /// One page of the list.
    fn listed(&self, path: &str) -> Result<Value, ciborium::value::Error> {
        let (since, most) = page_of(path);
        let mut names = self.machines.lock().unwrap().clone();
        let others = self.others_listed.load(Ordering::Relaxed);
        names.extend((0..others).map(|n| format!("o-{n:06}")));
        let mut names: Vec<String> = names.into_iter().filter(|name| *name > since).collect();
        let more = names.len() > most;
        names.truncate(most);
        if !more {
            self.lists_told.fetch_add(1, Ordering::Relaxed);
        }
        let host = |name: &String| {
            let status = "running";
            cbor!({"ref" => name, "build" => "small", "yard" => "east", "loaners" => true,
                "status" => status, "heldS" => 9.0})
        };
        let hosts: Result<Vec<Value>, _> = names.iter().map(host).collect();
        cbor!({"hosts" => hosts?, "more" => more})
    }

    fn boot(&self) -> String {
        let mut machines = self.machines.lock().unwrap();
        let name = format!("n-{:06}", machines.len());
        machines.push(name.clone());
        let worker = Arc::new(Worker {
            name: name.clone(),
            addresses: Mutex::default(),
            at: AtomicUsize::new(0),
            inner: Mutex::new(Inner {
                tasks: Vec::new(),
                token: 0,
                session: 1,
                tick: 0,
                lease_from: Instant::now(),
            }),
            ground: self.ground.clone(),
        });
        let own = listen(worker.clone());
        let ways = self.worker_ways.lock().unwrap();
        *worker.addresses.lock().unwrap() = ways.as_ref().map_or(vec![own], |ways| ways(own));
        drop(ways);
        let controllers = self.controllers.lock().unwrap().clone();
        std::thread::spawn(move || worker.work(controllers));
        name
    }
}

impl Handler for Cloud {
    fn handle(&self, r: Request) -> Response {
        match r.path.split('?').next().unwrap() {
            "/catalog" => answer(
                200,
                cbor!({"builds" => [{"label" => "small", "cpus" => 8, "ramGb" => 32.0,
                    "cacheGb" => 50, "fetchGbPerS" => 1, "rate" => 0.4, "lowPrice" => 0.1,
                    "startupS" => 1, "yards" => ["east"]}]}),
            ),
            "/rentals" if r.method == "POST" => {
                #[derive(Deserialize)]
                struct Rent {
                    hire: String,
                    count: usize,
                }
                let rent: Rent = decode(&r.body).unwrap();
                let known = self.hires.lock().unwrap().get(&rent.hire).cloned();
                let names = known.unwrap_or_else(|| {
                    let names: Vec<String> = (0..rent.count.min(3)).map(|_| self.boot()).collect();
                    let mut hires = self.hires.lock().unwrap();
                    hires.insert(rent.hire.clone(), names.clone());
                    names
                });
                answer(200, cbor!({"hosts" => names}))
            }
            "/rentals" => answer(200, self.listed(&r.path)),
            _ => Response::new(200, encode(&cbor!({}).unwrap())),
        }
    }
}
