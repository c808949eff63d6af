//! Stand-ins for what the controllers talk to: the state service, the cloud and its workers.
//!
//! Written from the published protocol, as small as the tests allow.

use crate::cloud::page_of;
use crate::keys::{Answer, Keys, Watch};
use crate::worker::{Ground, Worker, WorkerWays};
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::server::{Handler, Request, Response, ServerLimits, serve};
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub fn listen(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = ServerLimits {
        max_connections: 400,
        max_pool_threads: 100,
        max_buffered_bytes: 1 << 24,
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

/// The cloud: machines are up at once.
pub struct Cloud {
    pub ground: Arc<Ground>,
    machines: Mutex<BTreeMap<String, Arc<Worker>>>,
    /// Machines made so far.
    made: AtomicU64,
    hires: Mutex<HashMap<String, Vec<String>>>,
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    /// Machines on the list beside those that were rented. They never check in.
    pub others_listed: AtomicU64,
    /// Machines that one rental gets at most; 0: 3.
    pub most_a_rental: AtomicU64,
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
            made: AtomicU64::new(0),
            hires: Mutex::default(),
            controllers: Mutex::default(),
            others_listed: AtomicU64::new(0),
            most_a_rental: AtomicU64::new(0),
            lists_told: AtomicU64::new(0),
            worker_ways: Mutex::default(),
        });
        let addr = listen(cloud.clone());
        (cloud, addr)
    }

    /// Machines that are up from the start.
    pub fn start_machines(&self, count: u32) {
        for _ in 0..count {
            self.boot();
        }
    }

    /// Machines made so far.
    pub fn made(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }

    fn most_a_rental(&self) -> usize {
        match self.most_a_rental.load(Ordering::Relaxed) {
            0 => 3,
            most => most as usize,
        }
    }

    /// One page of the list.
    fn listed(&self, path: &str) -> Result<Value, ciborium::value::Error> {
        let (since, most) = page_of(path);
        let mut names: Vec<String> = self.machines.lock().unwrap().keys().cloned().collect();
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

    /// By the time the answer is given, returned machines and everything on them are gone.
    fn take_back(&self, body: &[u8]) {
        #[derive(Deserialize)]
        struct Return {
            hosts: Vec<String>,
        }
        let returned: Return = decode(body).unwrap();
        let mut machines = self.machines.lock().unwrap();
        for host in returned.hosts {
            if let Some(worker) = machines.remove(&host) {
                worker.remove();
            }
        }
    }

    fn boot(&self) -> String {
        let mut machines = self.machines.lock().unwrap();
        let number = self.made.fetch_add(1, Ordering::Relaxed);
        let name = format!("n-{number:06}");
        let worker = Worker::new(&name, &self.ground);
        machines.insert(name.clone(), worker.clone());
        let own = listen(worker.clone());
        let ways = self.worker_ways.lock().unwrap();
        worker.set_addresses(ways.as_ref().map_or(vec![own], |ways| ways(own)));
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
                    let names: Vec<String> = (0..rent.count.min(self.most_a_rental()))
                        .map(|_| self.boot())
                        .collect();
                    let mut hires = self.hires.lock().unwrap();
                    hires.insert(rent.hire.clone(), names.clone());
                    names
                });
                answer(200, cbor!({"hosts" => names}))
            }
            "/rentals" => answer(200, self.listed(&r.path)),
            "/rentals/return" => {
                self.take_back(&r.body);
                answer(200, cbor!({}))
            }
            _ => Response::new(200, encode(&cbor!({}).unwrap())),
        }
    }
}
