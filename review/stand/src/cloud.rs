//! The cloud, written from the protocol page: a fixed set of machines, and no capacity for more.

use crate::worker::Worker;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::server::{Handler, Request, Response};
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Cloud {
    pub machines: Mutex<BTreeMap<String, Arc<Worker>>>,
    pub started: Instant,
}

/// Age of the machines at the start of the run, in seconds.
const AGE_S: f64 = 600.0;

#[derive(Deserialize)]
struct Names {
    hosts: Vec<String>,
}

impl Handler for Cloud {
    fn handle(&self, request: Request) -> Response {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        match (request.method.as_str(), path) {
            ("GET", "/catalog") => answer(
                200,
                cbor!({"builds" => [{"label" => "kazan64", "cpus" => 64.0, "gpus" => 0.0,
                    "ramGb" => 128.0, "cacheGb" => 60.0, "fetchGbPerS" => 0.5, "rate" => 2.35,
                    "lowPrice" => 0.51, "startupS" => 20.0, "yards" => ["ege-bolge"]}]}),
            ),
            ("GET", "/rentals") => {
                let since = query
                    .split('&')
                    .find_map(|p| p.strip_prefix("since="))
                    .unwrap_or("");
                let machines = self.machines.lock().unwrap();
                let hosts: Vec<Value> = machines
                    .iter()
                    .filter(|(name, _)| name.as_str() > since)
                    .map(|(name, worker)| {
                        let age = AGE_S + self.started.elapsed().as_secs_f64();
                        cbor!({"ref" => name, "addr" => *worker.addr.lock().unwrap(),
                            "build" => "kazan64", "yard" => "ege-bolge", "loaners" => false,
                            "status" => "running", "heldS" => age})
                        .unwrap()
                    })
                    .collect();
                answer(200, cbor!({"hosts" => hosts, "more" => false}))
            }
            ("POST", "/rentals") => answer(503, cbor!({"error" => "no capacity"})),
            ("POST", "/rentals/return") => {
                let names: Names = decode(&request.body).unwrap();
                let mut machines = self.machines.lock().unwrap();
                for name in &names.hosts {
                    if let Some(worker) = machines.remove(name) {
                        worker.remove();
                    }
                }
                answer(200, cbor!({"hosts" => names.hosts}))
            }
            _ => Response::new(404, Vec::new()),
        }
    }
}

fn answer(status: u16, value: Result<Value, ciborium::value::Error>) -> Response {
    Response::new(status, encode(&value.unwrap()))
}
