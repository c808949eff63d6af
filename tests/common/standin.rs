//! Stand-ins for what the controllers talk to: the state service, the cloud and its workers.
//!
//! Written from the published protocol, as small as the tests allow.

use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::Client;
use aspenreel::http::server::{Handler, Limits, Request, Response, serve};
use aspenreel::workers::wire::{Cause, Order, Report, TaskReport, TaskStatus, Verb};
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
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

fn query(path: &str) -> HashMap<&str, &str> {
    let text = path.split_once('?').map_or("", |(_, q)| q);
    text.split('&').filter_map(|p| p.split_once('=')).collect()
}

#[derive(Default)]
pub struct Keys {
    pub rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<(u64, String, Option<Value>)>,
    holds: HashMap<u64, (Instant, u64)>,
    next_hold: u64,
    epoch: u64,
}

impl Keys {
    fn end_hold(&mut self, permit: u64) -> bool {
        let had = self.holds.remove(&permit).is_some();
        let keys: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, r)| r.2 == Some(permit))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.epoch += 1;
            self.rows.remove(&key);
            self.log.push((self.epoch, key, None));
        }
        had
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(p, _)| *p)
            .collect();
        for permit in over {
            self.end_hold(permit);
        }
    }
}

/// The state service.
#[derive(Default)]
pub struct State {
    pub keys: Mutex<Keys>,
    changed: Condvar,
    /// Refuses everything, as in an outage.
    pub down: Mutex<bool>,
}

#[derive(Deserialize)]
struct Multi {
    guards: Vec<GuardIn>,
    apply: Vec<ChangeIn>,
}

#[derive(Deserialize)]
struct GuardIn {
    key: String,
    stamp: u64,
}

#[derive(Deserialize)]
struct ChangeIn {
    write: Option<String>,
    delete: Option<String>,
    data: Option<Value>,
    permit: Option<u64>,
}

impl State {
    pub fn start() -> (Arc<State>, SocketAddr) {
        let state = Arc::new(State::default());
        let addr = listen(state.clone());
        (state, addr)
    }

    pub fn data(&self, key: &str) -> Option<Value> {
        self.keys.lock().unwrap().rows.get(key).map(|r| r.0.clone())
    }

    fn multi(&self, body: &[u8]) -> Response {
        let multi: Multi = decode(body).unwrap();
        let mut k = self.keys.lock().unwrap();
        for change in &multi.apply {
            if change.permit.is_some_and(|p| !k.holds.contains_key(&p)) {
                return answer(400, cbor!({"error" => "no such lease"}));
            }
        }
        let failed: Vec<&str> = multi
            .guards
            .iter()
            .filter(|g| k.rows.get(&g.key).map_or(0, |r| r.1) != g.stamp)
            .map(|g| g.key.as_str())
            .collect();
        if !failed.is_empty() {
            return answer(409, cbor!({"failed" => failed, "epoch" => k.epoch}));
        }
        k.epoch += 1;
        let epoch = k.epoch;
        for change in multi.apply {
            if let Some(key) = change.write {
                let data = change.data.unwrap_or(Value::Null);
                k.rows
                    .insert(key.clone(), (data.clone(), epoch, change.permit));
                k.log.push((epoch, key, Some(data)));
            } else if let Some(key) = change.delete {
                k.rows.remove(&key);
                k.log.push((epoch, key, None));
            }
        }
        self.changed.notify_all();
        answer(200, cbor!({"epoch" => epoch}))
    }

    fn changes(&self, path: &str) -> Response {
        let q = query(path);
        let since: u64 = q["since"].parse().unwrap();
        let hold = Duration::from_millis(q["holdMs"].parse().unwrap());
        let deadline = Instant::now() + hold;
        let mut k = self.keys.lock().unwrap();
        loop {
            k.expire();
            let log: Vec<Value> = k
                .log
                .iter()
                .filter(|(e, key, _)| *e > since && key.starts_with(q["starts"]))
                .map(|(e, key, data)| match data {
                    Some(d) => cbor!({"write" => key, "data" => d, "stamp" => e}).unwrap(),
                    None => cbor!({"delete" => key, "stamp" => e}).unwrap(),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !log.is_empty() || left.is_zero() {
                return answer(200, cbor!({"epoch" => k.epoch, "log" => log}));
            }
            // Short waits, so that holds that run out are noticed.
            let wait = left.min(Duration::from_millis(50));
            k = self.changed.wait_timeout(k, wait).unwrap().0;
        }
    }

    fn range(&self, path: &str) -> Response {
        let q = query(path);
        let most: usize = q["most"].parse().unwrap();
        let k = self.keys.lock().unwrap();
        let found: Vec<_> = k
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(q["starts"]))
            .filter(|(key, _)| q.get("since").is_none_or(|s| key.as_str() > *s))
            .take(most + 1)
            .map(|(key, r)| cbor!({"key" => key, "data" => r.0, "stamp" => r.1}).unwrap())
            .collect();
        let more = found.len() > most;
        let rows: Vec<_> = found.into_iter().take(most).collect();
        answer(
            200,
            cbor!({"rows" => rows, "more" => more, "epoch" => k.epoch}),
        )
    }

    fn holds(&self, method: &str, rest: &str, body: &[u8]) -> Response {
        let mut k = self.keys.lock().unwrap();
        if rest.is_empty() {
            #[derive(Deserialize)]
            struct Life {
                #[serde(rename = "lifeMs")]
                life_ms: u64,
            }
            let life: Life = decode(body).unwrap();
            k.next_hold += 1;
            let permit = k.next_hold;
            let end = Instant::now() + Duration::from_millis(life.life_ms);
            k.holds.insert(permit, (end, life.life_ms));
            return answer(200, cbor!({"permit" => permit}));
        }
        let mut parts = rest.trim_start_matches('/').split('/');
        let permit: u64 = parts.next().unwrap().parse().unwrap();
        if method == "DELETE" {
            let had = k.end_hold(permit);
            self.changed.notify_all();
            return Response::new(if had { 200 } else { 404 }, Vec::new());
        }
        match k.holds.get_mut(&permit) {
            Some((end, life)) => {
                *end = Instant::now() + Duration::from_millis(*life);
                Response::new(200, Vec::new())
            }
            None => Response::new(404, Vec::new()),
        }
    }
}

impl Handler for State {
    fn handle(&self, r: Request) -> Response {
        if *self.down.lock().unwrap() {
            return Response::new(503, Vec::new());
        }
        self.keys.lock().unwrap().expire();
        let path = r.path.split('?').next().unwrap();
        match path {
            "/multi" => self.multi(&r.body),
            "/changes" => self.changes(&r.path),
            "/store" => self.range(&r.path),
            _ => {
                if let Some(rest) = path.strip_prefix("/holds") {
                    return self.holds(&r.method, rest, &r.body);
                }
                let key = path.strip_prefix("/store/").unwrap();
                let k = self.keys.lock().unwrap();
                match k.rows.get(key) {
                    Some((data, stamp, permit)) => answer(
                        200,
                        cbor!({"key" => key, "data" => data, "stamp" => stamp, "permit" => permit}),
                    ),
                    None => answer(404, cbor!({"epoch" => k.epoch})),
                }
            }
        }
    }
}

/// What all workers share: who runs what, and what went wrong.
#[derive(Default)]
pub struct Ground {
    running: Mutex<HashMap<String, String>>,
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
    tick: u64,
}

struct Worker {
    name: String,
    addr: Mutex<String>,
    inner: Mutex<Inner>,
    ground: Arc<Ground>,
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
                        ends: (!endless).then(|| Instant::now() + Duration::from_millis(150)),
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
            self.ground
                .running
                .lock()
                .unwrap()
                .remove(&task.report.piece);
        }
    }

    fn report(&self) -> Report {
        let mut inner = self.inner.lock().unwrap();
        for task in &mut inner.tasks {
            if task.ends.is_some_and(|e| e <= Instant::now()) {
                self.exit(task, Cause::Done);
            }
        }
        inner.tick += 1;
        Report {
            machine: self.name.clone(),
            addr: self.addr.lock().unwrap().clone(),
            type_name: "small".into(),
            zone: "east".into(),
            spot: true,
            session: 1,
            tick: inner.tick,
            token: inner.token,
            recall: None,
            tasks: inner.tasks.iter().map(|t| t.report.clone()).collect(),
        }
    }

    /// Checks in until the test ends, following hints and trying others after failures.
    fn work(self: Arc<Self>, controllers: Vec<(String, SocketAddr)>) {
        let mut at = 0;
        loop {
            std::thread::sleep(Duration::from_millis(100));
            let client = Client::new(controllers[at].1);
            let report = self.report();
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
                    drop(inner);
                    self.execute(&orders.orders);
                }
                Ok((421, body)) => {
                    #[derive(Deserialize)]
                    struct Hint {
                        foreman: Option<String>,
                    }
                    let hint: Hint = decode(&body).unwrap();
                    let named = hint
                        .foreman
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
            orders: Vec<Order>,
        }
        let commands: Commands = decode(&r.body).unwrap();
        let stale = commands.baton < self.inner.lock().unwrap().token;
        if !stale {
            self.inner.lock().unwrap().token = commands.baton;
            self.execute(&commands.orders);
        }
        Response::new(if stale { 409 } else { 200 }, encode(&self.report()))
    }
}

/// The cloud: machines are up at once.
pub struct Cloud {
    pub ground: Arc<Ground>,
    machines: Mutex<Vec<String>>,
    hires: Mutex<HashMap<String, Vec<String>>>,
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
}

impl Cloud {
    pub fn start() -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            ground: Arc::default(),
            machines: Mutex::default(),
            hires: Mutex::default(),
            controllers: Mutex::default(),
        });
        let addr = listen(cloud.clone());
        (cloud, addr)
    }

    fn boot(&self) -> String {
        let mut machines = self.machines.lock().unwrap();
        let name = format!("n-{:06}", machines.len());
        machines.push(name.clone());
        let worker = Arc::new(Worker {
            name: name.clone(),
            addr: Mutex::default(),
            inner: Mutex::new(Inner {
                tasks: Vec::new(),
                token: 0,
                tick: 0,
            }),
            ground: self.ground.clone(),
        });
        *worker.addr.lock().unwrap() = listen(worker.clone()).to_string();
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
            "/rentals" => {
                let machines = self.machines.lock().unwrap();
                let hosts: Vec<Value> = machines
                    .iter()
                    .map(|n| {
                        cbor!({"ref" => n, "build" => "small", "yard" => "east", "loaners" => true,
                            "status" => "running", "heldS" => 9.0})
                        .unwrap()
                    })
                    .collect();
                answer(200, cbor!({"hosts" => hosts, "more" => false}))
            }
            _ => Response::new(200, encode(&cbor!({}).unwrap())),
        }
    }
}
