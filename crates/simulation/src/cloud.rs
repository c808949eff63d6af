//! Simulated cloud, according to the published protocol: catalog, provisioning requests, returns and machine lists.

use crate::cloud_state::parse_page_query;
use crate::machine::{LISTED_AFTER_DEATH_S, Machine};
use crate::scheduler::{Time, secs};
use crate::setup::CLOUD_RPS;
use crate::simulation::Simulation;
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::server::Request;
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::sync::Arc;

impl Simulation {
    /// Handles a request to the cloud.
    pub fn cloud_receives(self: &Arc<Self>, request: &Request) -> (u16, Vec<u8>) {
        let now = self.now();
        if self.state().cloud.down_until > now {
            return (503, encode(&cbor!({"error" => "trouble"}).unwrap()));
        }
        if !self.admit_cloud_request(now) {
            return (429, Vec::new());
        }
        let answer = |v: Result<Value, ciborium::value::Error>| (200, encode(&v.unwrap()));
        match request.path.split('?').next().unwrap() {
            "/catalog" => answer(cbor!({"builds" => [
                {"label" => "small", "cpus" => 8, "ramGb" => 32, "cacheGb" => 50,
                 "fetchGbPerS" => 1.0, "rate" => 0.4, "lowPrice" => 0.1,
                 "startupS" => self.setup.boot_s, "yards" => ["east", "west"]}]})),
            "/rentals" if request.method == "POST" => self.request_machines(&request.body),
            "/rentals/return" => {
                #[derive(Deserialize)]
                struct Names {
                    #[serde(rename = "hosts")]
                    machines: Vec<String>,
                }
                let names: Names = decode(&request.body).unwrap();
                for name in &names.machines {
                    self.remove_machine(name, |m, now| m.gone_at = Some(now));
                }
                answer(cbor!({"hosts" => names.machines}))
            }
            _ => answer(self.machine_list_page(&request.path)),
        }
    }

    /// One page of the machine list, as it was 3 to 6 seconds ago.
    pub(crate) fn machine_list_page(&self, path: &str) -> Result<Value, ciborium::value::Error> {
        let lag = self.random(3_000_000..6_000_000);
        let then = self.now().saturating_sub(lag);
        let (after, limit) = parse_page_query(path);
        let state = self.state();
        let is_listed = |m: &&Machine| {
            let is_still_listed = m
                .died_at
                .is_none_or(|t| t + secs(LISTED_AFTER_DEATH_S) > then);
            m.created <= then && m.gone_at.is_none_or(|t| t > then) && is_still_listed
        };
        let mut machines: Vec<Value> = state
            .machines
            .values()
            .filter(|m| m.name > after)
            .filter(is_listed)
            .take(limit + 1)
            .map(|m| {
                let status = if m.up_at <= then {
                    "running"
                } else {
                    "starting"
                };
                cbor!({"ref" => &m.name, "build" => &m.type_name, "yard" => &m.zone,
                    "loaners" => m.spot, "addr" => m.addr.to_string(), "status" => status,
                    "heldS" => (then - m.created) as f64 / 1e6})
                .unwrap()
            })
            .collect();
        let more = machines.len() > limit;
        machines.truncate(limit);
        cbor!({"hosts" => machines, "more" => more})
    }

    /// True if the cloud accepts a request now, which is counted then: at most [`CLOUD_RPS`] per second, with bursts of
    /// up to twice that number.
    pub(crate) fn admit_cloud_request(&self, now: Time) -> bool {
        let mut state = self.state();
        let cloud = &mut state.cloud;
        let recovered = (now - cloud.counted_at) as f64 / 1e6 * CLOUD_RPS;
        cloud.recent_requests = (cloud.recent_requests - recovered).max(0.0);
        cloud.counted_at = now;
        let is_admitted = cloud.recent_requests + 1.0 <= 2.0 * CLOUD_RPS;
        if is_admitted {
            cloud.recent_requests += 1.0;
        }
        is_admitted
    }

    /// Handles a provisioning request. A repeated request gets the same machines again.
    pub(crate) fn request_machines(self: &Arc<Self>, body: &[u8]) -> (u16, Vec<u8>) {
        #[derive(Deserialize)]
        struct ProvisioningCall {
            #[serde(rename = "hire")]
            request: String,
            #[serde(rename = "build")]
            type_name: String,
            #[serde(rename = "yard")]
            zone: String,
            #[serde(rename = "loaners")]
            spot: bool,
            count: usize,
        }
        let call: ProvisioningCall = decode(body).unwrap();
        let known = self
            .state()
            .cloud
            .provisioning_requests
            .get(&call.request)
            .cloned();
        let names = match known {
            Some(names) => names,
            None => {
                let existing = {
                    let state = self.state();
                    let is_in_zone = |m: &&Machine| m.alive() && m.zone == call.zone;
                    state.machines.values().filter(is_in_zone).count()
                };
                let count = call.count.min(self.setup.capacity.saturating_sub(existing));
                if count == 0 {
                    return (503, encode(&cbor!({"error" => "no capacity"}).unwrap()));
                }
                let boots_fast = self.state().cloud.fast_boot_until > self.now();
                let boot = secs(if boots_fast { 1.0 } else { self.setup.boot_s });
                let names: Vec<String> = (0..count)
                    .map(|_| {
                        let after = self.random(boot / 2..boot * 3 / 2);
                        self.add_machine(&call.type_name, &call.zone, call.spot, after)
                    })
                    .collect();
                let mut state = self.state();
                state
                    .cloud
                    .provisioning_requests
                    .insert(call.request, names.clone());
                names
            }
        };
        (200, encode(&cbor!({"hosts" => names}).unwrap()))
    }
}
