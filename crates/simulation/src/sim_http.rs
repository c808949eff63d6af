//! HTTP calls of a controller: to the store, the cloud and workers; and of users and workers to it.

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

pub(crate) struct SimHttp {
    pub(crate) simulation: Arc<Simulation>,
    pub(crate) node: usize,
    pub(crate) addr: SocketAddr,
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
                let there = self.simulation.latency();
                let (n, to) = (self.node, slot.clone());
                self.simulation
                    .after(there, move |sim| sim.store_receives(n, request, to));
                slot.wait(&self.simulation, timeout)
            }
            8443 => {
                let slot = Slot::new(&self.simulation);
                let there = 20 * self.simulation.latency();
                let to = slot.clone();
                self.simulation.after(there, move |sim| {
                    let answer = sim.cloud_receives(&request);
                    sim.note_call(Channel::Cloud, &request, &answer);
                    to.arrive(sim, 20 * sim.latency(), answer);
                });
                slot.wait(&self.simulation, timeout)
            }
            _ => return self.call_worker(&request.body, timeout),
        };
        self.received(answer)
    }
}

impl SimHttp {
    /// The response that arrived, or else the end of its time.
    pub(crate) fn received(
        &self,
        answer: Option<(u16, Vec<u8>)>,
    ) -> Result<ClientResponse, CallError> {
        let response = answer.map(|(status, body)| ClientResponse { status, body });
        response.ok_or(CallError::OutcomeUnknown {
            peer: self.addr,
            source: ResponseError::TimedOut,
        })
    }

    pub(crate) fn call_worker(
        &self,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let reached = self.simulation.can_connect_to_worker(self.node, self.addr);
        if !reached && !self.connected.load(Ordering::Relaxed) {
            let until = self.simulation.now() + timeout.as_micros() as Time;
            self.simulation.scheduler.sleep_until(until);
            return Err(CallError::Unreachable {
                peer: self.addr,
                source: ErrorKind::TimedOut.into(),
            });
        }
        self.connected.store(true, Ordering::Relaxed);
        let slot = Slot::new(&self.simulation);
        let there = self.simulation.latency();
        let (to, n, addr, body) = (slot.clone(), self.node, self.addr, body.to_vec());
        self.simulation.after(there, move |sim| {
            sim.note_message(Channel::Worker, &[addr.to_string().as_bytes(), &body]);
            sim.commands_sent(n, addr, body, move |sim, answer| {
                to.arrive(sim, sim.latency(), answer);
            });
        });
        let answer = slot.wait(&self.simulation, timeout);
        if answer.is_none() {
            self.connected.store(false, Ordering::Relaxed);
        }
        self.received(answer)
    }
}

impl Simulation {
    /// A request reaches a node: its answer, if any, comes back through `then`.
    pub fn call_node(
        self: &Arc<Self>,
        n: usize,
        request: Request,
        then: impl FnOnce(&Arc<Simulation>, Option<Response>) + Send + 'static,
    ) {
        let there = self.latency();
        self.after(there, move |sim| {
            let (process, node) = {
                let state = sim.state();
                (state.nodes[n].process, state.nodes[n].node.clone())
            };
            let (Some(process), Some(node)) = (process, node) else {
                return then(sim, None);
            };
            let seed = sim.state().rng.u64(..);
            let simulation = sim.clone();
            let work = move || {
                let os = node.os.clone();
                let asked = Request {
                    method: request.method.clone(),
                    path: request.path.clone(),
                    body: request.body.clone(),
                };
                let response = node
                    .handle_without_blocking(request)
                    .unwrap_or_else(|r| node.handle(r));
                let late = response.valid_until.is_some_and(|t| os.now() >= t);
                let response = if late { Response::busy(1) } else { response };
                let answer = (response.status, response.body.clone());
                simulation.note_call(Channel::Controller, &asked, &answer);
                let back = simulation.latency();
                simulation.after(back, move |sim| then(sim, Some(response)));
            };
            sim.scheduler.spawn(process, seed, Box::new(work));
        });
    }
}
