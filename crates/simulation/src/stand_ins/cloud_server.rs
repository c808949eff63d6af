//! The cloud for real processes, written from the published protocol, as small as the tests allow.

use crate::cloud_state::parse_page_query;
use crate::stand_ins::http_listener::listen;
use crate::stand_ins::worker::{Worker, WorkerEnvironment, WorkerRoutes};
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::server::{Handler, Request, Response};
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

fn answer(status: u16, value: Result<Value, ciborium::value::Error>) -> Response {
    Response::new(status, encode(&value.unwrap()))
}

/// The cloud: machines are up at once.
pub struct CloudServer {
    /// What its workers share.
    pub environment: Arc<WorkerEnvironment>,
    machines: Mutex<BTreeMap<String, Arc<Worker>>>,
    /// Machines made so far.
    made: AtomicU64,
    provisioning_requests: Mutex<HashMap<String, Vec<String>>>,
    /// The controllers that new workers report to: names and addresses.
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    /// Machines on the list beside those that were requested. They never send heartbeats.
    pub extra_listed: AtomicU64,
    /// Machines that one provisioning request gets at most; 0: 3.
    pub max_machines_per_request: AtomicU64,
    /// Whole lists that were told, to their last page.
    pub lists_served: AtomicU64,
    /// How controllers reach new workers.
    pub worker_routes: Mutex<Option<WorkerRoutes>>,
}

impl CloudServer {
    /// A cloud, and its address.
    pub fn start() -> (Arc<CloudServer>, SocketAddr) {
        let cloud = Arc::new(CloudServer {
            environment: Arc::default(),
            machines: Mutex::default(),
            made: AtomicU64::new(0),
            provisioning_requests: Mutex::default(),
            controllers: Mutex::default(),
            extra_listed: AtomicU64::new(0),
            max_machines_per_request: AtomicU64::new(0),
            lists_served: AtomicU64::new(0),
            worker_routes: Mutex::default(),
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

    fn max_machines_per_request(&self) -> usize {
        match self.max_machines_per_request.load(Ordering::Relaxed) {
            0 => 3,
            most => most as usize,
        }
    }

    /// One page of the list.
    fn listed(&self, path: &str) -> Result<Value, ciborium::value::Error> {
        let (since, most) = parse_page_query(path);
        let mut names: Vec<String> = self.machines.lock().unwrap().keys().cloned().collect();
        let others = self.extra_listed.load(Ordering::Relaxed);
        names.extend((0..others).map(|n| format!("o-{n:06}")));
        let mut names: Vec<String> = names.into_iter().filter(|name| *name > since).collect();
        let more = names.len() > most;
        names.truncate(most);
        if !more {
            self.lists_served.fetch_add(1, Ordering::Relaxed);
        }
        let listed_machine = |name: &String| {
            let status = "running";
            cbor!({"ref" => name, "build" => "small", "yard" => "east", "loaners" => true,
                "status" => status, "heldS" => 9.0})
        };
        let listed_machines: Result<Vec<Value>, _> = names.iter().map(listed_machine).collect();
        cbor!({"hosts" => listed_machines?, "more" => more})
    }

    /// By the time the answer is given, returned machines and everything on them are gone.
    fn take_back(&self, body: &[u8]) {
        #[derive(Deserialize)]
        struct Return {
            #[serde(rename = "hosts")]
            machines: Vec<String>,
        }
        let returned: Return = decode(body).unwrap();
        let mut present = self.machines.lock().unwrap();
        for name in returned.machines {
            if let Some(worker) = present.remove(&name) {
                worker.remove();
            }
        }
    }

    fn boot(&self) -> String {
        let mut machines = self.machines.lock().unwrap();
        let number = self.made.fetch_add(1, Ordering::Relaxed);
        let name = format!("n-{number:06}");
        let worker = Worker::new(&name, &self.environment);
        machines.insert(name.clone(), worker.clone());
        let own = listen(worker.clone());
        let routes = self.worker_routes.lock().unwrap();
        worker.set_addresses(routes.as_ref().map_or(vec![own], |routes| routes(own)));
        drop(routes);
        let controllers = self.controllers.lock().unwrap().clone();
        std::thread::spawn(move || worker.work(controllers));
        name
    }
}

impl Handler for CloudServer {
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
                struct ProvisioningCall {
                    #[serde(rename = "hire")]
                    request: String,
                    count: usize,
                }
                let call: ProvisioningCall = decode(&r.body).unwrap();
                let known = self
                    .provisioning_requests
                    .lock()
                    .unwrap()
                    .get(&call.request)
                    .cloned();
                let names = known.unwrap_or_else(|| {
                    let names: Vec<String> = (0..call.count.min(self.max_machines_per_request()))
                        .map(|_| self.boot())
                        .collect();
                    let mut provisioning_requests = self.provisioning_requests.lock().unwrap();
                    provisioning_requests.insert(call.request.clone(), names.clone());
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
