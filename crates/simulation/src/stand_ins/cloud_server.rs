//! The cloud API for real controllers, written from the published protocol and reduced to what the tests need.

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

/// HTTP server of a fake cloud, whose machines are up immediately after their creation.
pub struct CloudServer {
    /// State and options that all workers share.
    pub environment: Arc<WorkerEnvironment>,
    machines: Mutex<BTreeMap<String, Arc<Worker>>>,
    /// Number of machines created so far.
    created: AtomicU64,
    /// Names of the machines of each provisioning request, by the request's name: a repeated request gets the same.
    provisioning_requests: Mutex<HashMap<String, Vec<String>>>,
    /// Names and addresses of the controllers that new workers report to.
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    /// Number of machines on the list in addition to those that were created. They never send heartbeats.
    pub extra_listed: AtomicU64,
    /// Maximum number of machines that one provisioning request gets; 0 stands for 3.
    pub max_machines_per_request: AtomicU64,
    /// Number of machine lists that were served up to their last page.
    pub lists_served: AtomicU64,
    /// Addresses by which controllers reach new workers; `None`: the workers' own addresses.
    pub worker_routes: Mutex<Option<WorkerRoutes>>,
}

impl CloudServer {
    /// Starts a cloud without machines, and returns it with its address.
    pub fn start() -> (Arc<CloudServer>, SocketAddr) {
        let cloud = Arc::new(CloudServer {
            environment: Arc::default(),
            machines: Mutex::default(),
            created: AtomicU64::new(0),
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

    /// Creates machines that no provisioning request asked for.
    pub fn start_machines(&self, count: u32) {
        for _ in 0..count {
            self.create_machine();
        }
    }

    /// Returns the number of machines created so far.
    pub fn machines_created(&self) -> u64 {
        self.created.load(Ordering::Relaxed)
    }

    fn max_machines_per_request(&self) -> usize {
        match self.max_machines_per_request.load(Ordering::Relaxed) {
            0 => 3,
            count => count as usize,
        }
    }

    /// Returns one page of the machine list.
    fn list_page(&self, path: &str) -> Result<Value, ciborium::value::Error> {
        let (since, page_size) = parse_page_query(path);
        let mut names: Vec<String> = self.machines.lock().unwrap().keys().cloned().collect();
        let others = self.extra_listed.load(Ordering::Relaxed);
        names.extend((0..others).map(|n| format!("o-{n:06}")));
        let mut names: Vec<String> = names.into_iter().filter(|name| *name > since).collect();
        let more = names.len() > page_size;
        names.truncate(page_size);
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

    /// Removes returned machines. They and everything on them are gone before the response is sent.
    fn remove_returned(&self, body: &[u8]) {
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

    /// Creates a machine, starts its worker, and returns the machine's name.
    fn create_machine(&self) -> String {
        let mut machines = self.machines.lock().unwrap();
        let number = self.created.fetch_add(1, Ordering::Relaxed);
        let name = format!("n-{number:06}");
        let worker = Worker::new(&name, &self.environment);
        machines.insert(name.clone(), worker.clone());
        let addr = listen(worker.clone());
        let routes = self.worker_routes.lock().unwrap();
        worker.set_addresses(routes.as_ref().map_or(vec![addr], |routes| routes(addr)));
        drop(routes);
        let controllers = self.controllers.lock().unwrap().clone();
        std::thread::spawn(move || worker.run(controllers));
        name
    }
}

impl Handler for CloudServer {
    fn handle(&self, request: Request) -> Response {
        match request.path.split('?').next().unwrap() {
            "/catalog" => answer(
                200,
                cbor!({"builds" => [{"label" => "small", "cpus" => 8, "ramGb" => 32.0,
                    "cacheGb" => 50, "fetchGbPerS" => 1, "rate" => 0.4, "lowPrice" => 0.1,
                    "startupS" => 1, "yards" => ["east"]}]}),
            ),
            "/rentals" if request.method == "POST" => {
                #[derive(Deserialize)]
                struct ProvisioningCall {
                    #[serde(rename = "hire")]
                    request: String,
                    count: usize,
                }
                let call: ProvisioningCall = decode(&request.body).unwrap();
                let known = self
                    .provisioning_requests
                    .lock()
                    .unwrap()
                    .get(&call.request)
                    .cloned();
                let names = known.unwrap_or_else(|| {
                    let names: Vec<String> = (0..call.count.min(self.max_machines_per_request()))
                        .map(|_| self.create_machine())
                        .collect();
                    let mut provisioning_requests = self.provisioning_requests.lock().unwrap();
                    provisioning_requests.insert(call.request.clone(), names.clone());
                    names
                });
                answer(200, cbor!({"hosts" => names}))
            }
            "/rentals" => answer(200, self.list_page(&request.path)),
            "/rentals/return" => {
                self.remove_returned(&request.body);
                answer(200, cbor!({}))
            }
            _ => Response::new(200, encode(&cbor!({}).unwrap())),
        }
    }
}
