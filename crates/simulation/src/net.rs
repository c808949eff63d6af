//! What a controller of the model takes for its operating system, and the ways between all of them.

use crate::cuts::End;
use crate::keys::Watch;
use crate::sched::{Time, lock};
use crate::transcript::Channel;
use crate::world::World;
use aspenreel::http::client::{CallError, ClientResponse, ResponseError};
use aspenreel::http::server::{Handler, Request, Response};
use aspenreel::os::{EventCount, HttpClient, ObservedCount, Os};
use aspenreel::peer::{PeerReply, PeerRequest, PeerTransport};
use aspenreel::time::{Moment, WallTime};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const YEAR: u64 = 365 * 24 * 3600 * 1_000_000;

pub struct SimOs {
    world: Arc<World>,
    node: usize,
    started: Time,
    drift: f64,
    skew: i64,
}

impl SimOs {
    pub fn new(world: &Arc<World>, node: usize, _process: u64, drift: f64, skew: i64) -> SimOs {
        SimOs {
            world: world.clone(),
            node,
            started: world.now(),
            drift,
            skew,
        }
    }
}

impl Os for SimOs {
    fn now(&self) -> Moment {
        let since = self.world.now() - self.started;
        Moment((YEAR + since).saturating_add_signed((since as f64 * self.drift) as i64))
    }

    fn wall(&self) -> WallTime {
        WallTime((50 * YEAR + self.world.now()).saturating_add_signed(self.skew))
    }

    fn sleep(&self, time: Duration) {
        let late = self.world.random(0..2_000);
        let at = self.world.now() + time.as_micros() as Time + late;
        self.world.sched.sleep_until(at);
    }

    fn event_count(&self) -> Arc<dyn EventCount> {
        Arc::new(SimSignal {
            world: self.world.clone(),
            state: Mutex::default(),
        })
    }

    fn http_client(&self, addr: SocketAddr) -> Arc<dyn HttpClient> {
        Arc::new(SimHttp {
            world: self.world.clone(),
            node: self.node,
            addr,
            connected: AtomicBool::new(false),
        })
    }

    fn peer_link(&self, addr: SocketAddr) -> Arc<dyn PeerTransport> {
        let IpAddr::V4(ip) = addr.ip() else {
            panic!("peers have IPv4 addresses");
        };
        Arc::new(SimPeer {
            world: self.world.clone(),
            from: self.node,
            to: ip.octets()[3] as usize,
        })
    }
}

/// Counts notifications; who sleeps is woken by the scheduler.
struct SimSignal {
    world: Arc<World>,
    state: Mutex<(u64, Vec<(u64, u64)>)>,
}

impl EventCount for SimSignal {
    fn prepare_wait(&self) -> ObservedCount {
        ObservedCount(lock(&self.state).0)
    }

    fn wait(&self, observed: ObservedCount, timeout: Duration) {
        let sleeper = self.world.sched.sleeper();
        {
            let mut state = lock(&self.state);
            if ObservedCount(state.0) != observed {
                return;
            }
            state.1.push(sleeper);
        }
        let until = self.world.now() + timeout.as_micros() as Time;
        self.world.sched.sleep_until(until);
        lock(&self.state).1.retain(|s| *s != sleeper);
    }

    fn notify_one(&self) {
        let mut state = lock(&self.state);
        state.0 += 1;
        if !state.1.is_empty() {
            let first = state.1.remove(0);
            self.world.sched.wake(first, self.world.now() + 20);
        }
    }

    fn notify_all(&self) {
        let mut state = lock(&self.state);
        state.0 += 1;
        for sleeper in std::mem::take(&mut state.1) {
            self.world.sched.wake(sleeper, self.world.now() + 20);
        }
    }
}

/// An answer that is on its way to a sleeping task.
struct Slot<T> {
    answer: Mutex<Option<T>>,
    sleeper: (u64, u64),
}

impl<T: Send + 'static> Slot<T> {
    fn new(world: &World) -> Arc<Slot<T>> {
        Arc::new(Slot {
            answer: Mutex::new(None),
            sleeper: world.sched.sleeper(),
        })
    }

    fn arrive(self: &Arc<Self>, world: &Arc<World>, after: Time, answer: T) {
        let slot = self.clone();
        world.after(after, move |w| {
            *lock(&slot.answer) = Some(answer);
            w.sched.wake(slot.sleeper, w.now());
        });
    }

    /// Sleeps until the answer is there, or for so long.
    fn wait(&self, world: &World, timeout: Duration) -> Option<T> {
        let until = world.now() + timeout.as_micros() as Time;
        world.sched.sleep_until(until);
        lock(&self.answer).take()
    }
}

struct SimHttp {
    world: Arc<World>,
    node: usize,
    addr: SocketAddr,
    connected: AtomicBool,
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
                self.world
                    .watch(self.node, Watch::of(path), timeout.as_micros() as Time)
            }
            2379 => {
                let slot = Slot::new(&self.world);
                let there = self.world.latency();
                let (n, to) = (self.node, slot.clone());
                self.world
                    .after(there, move |w| w.state_asked(n, request, to));
                slot.wait(&self.world, timeout)
            }
            8443 => {
                let slot = Slot::new(&self.world);
                let there = 20 * self.world.latency();
                let to = slot.clone();
                self.world.after(there, move |w| {
                    let answer = w.cloud_asked(&request);
                    w.note_call(Channel::Cloud, &request, &answer);
                    to.arrive(w, 20 * w.latency(), answer);
                });
                slot.wait(&self.world, timeout)
            }
            _ => return self.call_worker(&request.body, timeout),
        };
        self.received(answer)
    }
}

impl SimHttp {
    /// The response that arrived, or else the end of its time.
    fn received(&self, answer: Option<(u16, Vec<u8>)>) -> Result<ClientResponse, CallError> {
        let response = answer.map(|(status, body)| ClientResponse { status, body });
        response.ok_or(CallError::OutcomeUnknown {
            peer: self.addr,
            source: ResponseError::TimedOut,
        })
    }

    fn call_worker(&self, body: &[u8], timeout: Duration) -> Result<ClientResponse, CallError> {
        let reached = self.world.reaches_worker(self.node, self.addr);
        if !reached && !self.connected.load(Ordering::Relaxed) {
            let until = self.world.now() + timeout.as_micros() as Time;
            self.world.sched.sleep_until(until);
            return Err(CallError::Unreachable {
                peer: self.addr,
                source: ErrorKind::TimedOut.into(),
            });
        }
        self.connected.store(true, Ordering::Relaxed);
        let slot = Slot::new(&self.world);
        let there = self.world.latency();
        let (to, n, addr, body) = (slot.clone(), self.node, self.addr, body.to_vec());
        self.world.after(there, move |w| {
            w.note_message(Channel::Worker, &[addr.to_string().as_bytes(), &body]);
            w.commands_sent(n, addr, body, move |w, answer| {
                to.arrive(w, w.latency(), answer);
            });
        });
        let answer = slot.wait(&self.world, timeout);
        if answer.is_none() {
            self.connected.store(false, Ordering::Relaxed);
        }
        self.received(answer)
    }
}

impl World {
    /// A request of a node reaches the state service, or doesn't.
    fn state_asked(self: &Arc<Self>, n: usize, request: Request, to: Arc<Slot<(u16, Vec<u8>)>>) {
        let now = self.now();
        let (cut_until, refused, slow, asks_in_vain, answers_in_vain) = {
            let state = self.state();
            let node = &state.nodes[n];
            let writes_refused = request.path == "/multi" && state.cuts.refuses_writes(n, now);
            let refused = state.state_out || node.refused_until > now || writes_refused;
            let there = state.is_cut(End::Node(n), End::State, now);
            let back = state.is_cut(End::State, End::Node(n), now);
            (node.state_cut_until, refused, state.state_slow, there, back)
        };
        let back = self.latency() + slow;
        if cut_until > now {
            // Held back, and carried out once the way is free.
            let later = cut_until + self.latency();
            return self.at_time(later, move |w| drop(w.carry_out(&request)));
        }
        if asks_in_vain {
            return;
        }
        if answers_in_vain {
            if !refused {
                drop(self.carry_out(&request));
            }
            return;
        }
        if refused {
            return to.arrive(self, back, (503, Vec::new()));
        }
        let late = {
            let mut state = self.state();
            let late = state.late_writes.filter(|l| l.until > now);
            late.filter(|l| request.path == "/multi" && state.rng.f64() < l.share)
        };
        match late {
            Some(late) if late.at_once => drop(self.carry_out(&request)),
            Some(_) => {
                let later = self.random(2_000_000..12_000_000);
                self.after(later, move |w| {
                    if !w.state().state_out {
                        drop(w.carry_out(&request));
                    }
                });
            }
            None => {
                let answer = self.carry_out(&request);
                to.arrive(self, back, answer);
            }
        }
    }

    fn carry_out(self: &Arc<Self>, request: &Request) -> (u16, Vec<u8>) {
        let now = self.since_start();
        let answer = {
            let mut state = self.state();
            let hidden = state.hidden.clone();
            state.keys.rows.remove(&hidden);
            let keys = &mut state.keys;
            keys.call(&request.method, &request.path, &request.body, now)
        };
        self.note_call(Channel::Store, request, &answer);
        if request.method != "GET" {
            self.state_changed();
        }
        answer
    }

    fn note_call(&self, channel: Channel, request: &Request, answer: &(u16, Vec<u8>)) {
        let Request { method, path, body } = request;
        let status = answer.0.to_le_bytes();
        let parts = [method.as_bytes(), path.as_bytes(), body, &status, &answer.1];
        self.note_message(channel, &parts);
    }

    fn watch(self: &Arc<Self>, n: usize, watch: Watch, timeout: Time) -> Option<(u16, Vec<u8>)> {
        let opened = self.now();
        let deadline = opened + watch.hold.as_micros() as Time;
        let mut first = true;
        loop {
            let there = self.latency();
            self.sched.sleep_until(self.now() + there);
            let now = self.now();
            {
                let mut state = self.state();
                let node = &state.nodes[n];
                let own = End::Node(n);
                let one_way =
                    state.is_cut(own, End::State, now) || state.is_cut(End::State, own, now);
                let cut = node.state_cut_until > now || one_way;
                let refused = state.state_out || node.refused_until > now;
                if refused && first && !cut {
                    return Some((503, Vec::new()));
                }
                if !cut && !refused {
                    if let Some(answer) = state.keys.changes(&watch) {
                        return Some(answer);
                    }
                    if now >= deadline {
                        return Some(state.keys.no_changes());
                    }
                }
                first = false;
                if now >= opened + timeout {
                    return None;
                }
                let sleeper = self.sched.sleeper();
                state.watchers.push(sleeper);
            }
            let until = if now < deadline {
                deadline
            } else {
                opened + timeout
            };
            self.sched.sleep_until(until);
        }
    }

    /// A request reaches a node: its answer, if any, comes back through `then`.
    pub fn ask_node(
        self: &Arc<Self>,
        n: usize,
        request: Request,
        then: impl FnOnce(&Arc<World>, Option<Response>) + Send + 'static,
    ) {
        let there = self.latency();
        self.after(there, move |w| {
            let (process, node) = {
                let state = w.state();
                (state.nodes[n].process, state.nodes[n].node.clone())
            };
            let (Some(process), Some(node)) = (process, node) else {
                return then(w, None);
            };
            let seed = w.state().rng.u64(..);
            let world = w.clone();
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
                world.note_call(Channel::Controller, &asked, &answer);
                let back = world.latency();
                world.after(back, move |w| then(w, Some(response)));
            };
            w.sched.spawn(process, seed, Box::new(work));
        });
    }
}

struct SimPeer {
    world: Arc<World>,
    from: usize,
    to: usize,
}

impl PeerTransport for SimPeer {
    fn call(&self, request: &PeerRequest, timeout: Duration) -> std::io::Result<PeerReply> {
        let world = &self.world;
        let now = world.now();
        let zones = (world.zone_of_node(self.from), world.zone_of_node(self.to));
        let cut = {
            let joined = world.joined(zones.0, zones.1);
            let state = world.state();
            let cut = |n: usize| state.nodes[n].peers_cut_until > now;
            let ways = (End::Node(self.from), End::Node(self.to));
            !joined || cut(self.from) || cut(self.to) || state.is_cut(ways.0, ways.1, now)
        };
        if cut {
            world.sched.sleep_until(now + timeout.as_micros() as Time);
            return Err(ErrorKind::TimedOut.into());
        }
        let slot = Slot::new(world);
        let (from, to) = (self.from, self.to);
        let (answer, request) = (slot.clone(), request.clone());
        let there = world.latency();
        world.after(there, move |w| {
            let (process, node) = {
                let state = w.state();
                (state.nodes[to].process, state.nodes[to].node.clone())
            };
            let (Some(process), Some(node)) = (process, node) else {
                let refused = Err(std::io::Error::from(ErrorKind::ConnectionRefused));
                return answer.arrive(w, w.latency(), refused);
            };
            let seed = w.state().rng.u64(..);
            let world = w.clone();
            let work = move || {
                let asked = borsh::to_vec(&request).unwrap();
                let reply = node.answer_peer(request);
                let replied = borsh::to_vec(&reply).unwrap();
                world.note_message(Channel::Peer, &[&[from as u8, to as u8], &asked, &replied]);
                let back = world.latency();
                let lost = world
                    .state()
                    .is_cut(End::Node(to), End::Node(from), world.now());
                if !lost {
                    answer.arrive(&world, back, Ok(reply));
                }
            };
            w.sched.spawn(process, seed, Box::new(work));
        });
        let timed_out = || Err(ErrorKind::TimedOut.into());
        slot.wait(world, timeout).unwrap_or_else(timed_out)
    }
}
