//! HTTP calls of controllers to the store, the cloud and workers, and of users to controllers.

use crate::fake_store::Watch;
use crate::pending_call::Slot;
use crate::scheduler::Time;
use crate::simulation::Simulation;
use crate::transcript::Channel;
use aspenreel::http::client::{CallError, ClientResponse, ResponseError};
use aspenreel::http::server::{Handler, Request, Response};
use aspenreel::os::HttpClient;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// HTTP client of a simulated controller for one address.
pub(crate) struct SimHttp {
    pub(crate) simulation: Arc<Simulation>,
    /// Number of the calling controller.
    pub(crate) node: usize,
    /// Address of the called service; its port determines the kind of service.
    pub(crate) addr: SocketAddr,
    /// True if there is a connection to the worker with this address.
    pub(crate) connected: AtomicBool,
}

impl HttpClient for SimHttp {
    fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let request = Request {
            method: method.into(),
            path: path.into(),
            body: body.to_vec(),
        };
        let answer = match self.addr.port() {
            2379 if path.starts_with("/changes") => {
                self.simulation
                    .watch(self.node, Watch::parse(path), timeout.as_micros() as Time)
            }
            2379 => {
                let slot = Slot::new(&self.simulation);
                let request_latency = self.simulation.latency();
                let (node, to) = (self.node, slot.clone());
                self.simulation.after(request_latency, move |sim| {
                    sim.store_receives(node, request, to)
                });
                slot.wait(&self.simulation, timeout)
            }
            8443 => {
                let slot = Slot::new(&self.simulation);
                let request_latency = 20 * self.simulation.latency();
                let to = slot.clone();
                self.simulation.after(request_latency, move |sim| {
                    let answer = sim.cloud_receives(&request);
                    sim.note_call(Channel::Cloud, &request, &answer);
                    to.arrive(sim, 20 * sim.latency(), answer);
                });
                slot.wait(&self.simulation, timeout)
            }
            _ => return self.call_worker(&request.body, timeout),
        };
        self.call_result(answer)
    }
}

impl SimHttp {
    /// Result of a call: the response that arrived, or the timeout.
    pub(crate) fn call_result(
        &self,
        answer: Option<(u16, Vec<u8>)>,
    ) -> Result<ClientResponse, CallError> {
        let response = answer.map(|(status, body)| ClientResponse { status, body });
        response.ok_or(CallError::OutcomeUnknown {
            peer: self.addr,
            source: ResponseError::TimedOut,
        })
    }

    /// Sends direct commands to a worker. Fails with `Unreachable` if no connection can be opened before the timeout.
    pub(crate) fn call_worker(
        &self,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let is_reachable = self.simulation.can_connect_to_worker(self.node, self.addr);
        if !is_reachable && !self.connected.load(Ordering::Relaxed) {
            let until = self.simulation.now() + timeout.as_micros() as Time;
            self.simulation.scheduler.sleep_until(until);
            return Err(CallError::Unreachable {
                peer: self.addr,
                source: ErrorKind::TimedOut.into(),
            });
        }
        self.connected.store(true, Ordering::Relaxed);
        let slot = Slot::new(&self.simulation);
        let request_latency = self.simulation.latency();
        let (to, node, addr, body) = (slot.clone(), self.node, self.addr, body.to_vec());
        self.simulation.after(request_latency, move |sim| {
            sim.note_message(Channel::Worker, &[addr.to_string().as_bytes(), &body]);
            sim.commands_sent(node, addr, body, move |sim, answer| {
                to.arrive(sim, sim.latency(), answer);
            });
        });
        let answer = slot.wait(&self.simulation, timeout);
        if answer.is_none() {
            self.connected.store(false, Ordering::Relaxed);
        }
        self.call_result(answer)
    }
}

impl Simulation {
    /// Sends a request to a node. `then` gets the response, or `None` if the node is down when the request arrives.
    pub fn call_node(
        self: &Arc<Self>,
        node: usize,
        request: Request,
        then: impl FnOnce(&Arc<Simulation>, Option<Response>) + Send + 'static,
    ) {
        let request_latency = self.latency();
        self.after(request_latency, move |sim| {
            let (process, controller) = {
                let state = sim.state();
                let node = &state.nodes[node];
                (node.process, node.controller.clone())
            };
            let (Some(process), Some(controller)) = (process, controller) else {
                return then(sim, None);
            };
            let seed = sim.state().rng.u64(..);
            let simulation = sim.clone();
            let work = move || {
                let os = controller.os.clone();
                let asked = Request {
                    method: request.method.clone(),
                    path: request.path.clone(),
                    body: request.body.clone(),
                };
                let response = controller
                    .handle_without_blocking(request)
                    .unwrap_or_else(|r| controller.handle(r));
                let late = response.valid_until.is_some_and(|t| os.now() >= t);
                let response = if late { Response::busy(1) } else { response };
                let answer = (response.status, response.body.clone());
                simulation.note_call(Channel::Controller, &asked, &answer);
                let response_latency = simulation.latency();
                simulation.after(response_latency, move |sim| then(sim, Some(response)));
            };
            sim.scheduler.spawn(process, seed, Box::new(work));
        });
    }
}
