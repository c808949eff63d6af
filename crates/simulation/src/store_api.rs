//! Access of the simulated controllers to the key-value store.

use crate::directions::Endpoint;
use crate::fake_store::Watch;
use crate::pending_call::Slot;
use crate::scheduler::Time;
use crate::simulation::Simulation;
use crate::state::UnansweredWrites;
use crate::transcript::Channel;
use aspenreel::http::cbor::encode;
use aspenreel::http::server::Request;
use aspenreel::leadership::LeaderRecord;
use aspenreel::store::{from_value, to_value};
use ciborium::cbor;
use std::sync::Arc;
use std::time::Duration;

/// State of the link between one controller and the store at the time of a request.
struct StoreLink {
    /// Time until which requests are held back.
    cut_until: Time,
    /// True if the store refuses the request.
    is_refused: bool,
    /// Additional latency of the response.
    delay: Time,
    /// True if the request is lost.
    loses_request: bool,
    /// True if the response is lost.
    loses_response: bool,
}

impl Simulation {
    /// Reacts to a possible change in the store: ends expired leases and schedules the next expiry, wakes watches,
    /// and records a new leader.
    pub fn store_changed(self: &Arc<Self>) {
        let now = self.now();
        let (watchers, next_lease_end, kept_heartbeats) = {
            let mut state = self.state();
            if !state.store_is_down {
                state.store.expire(Duration::from_micros(now));
            }
            let watchers = std::mem::take(&mut state.watchers);
            let data = state.store.data("leader");
            let record: Option<LeaderRecord> = data.and_then(|d| from_value(&d));
            let mut kept = Vec::new();
            if let Some(record) = record
                && state.terms.last().is_none_or(|t| t.1 != record.term)
            {
                let node = record.node.strip_prefix("n-").unwrap().parse().unwrap();
                state.terms.push((now, record.term, node));
                kept = std::mem::take(&mut state.heartbeats_for_next_leader);
            }
            (watchers, state.store.next_lease_end(), kept)
        };
        for (i, sleeper) in watchers.into_iter().enumerate() {
            self.scheduler.wake(sleeper, now + 100 + 50 * i as Time);
        }
        if let Some(end) = next_lease_end {
            // The store ends a lease up to 100 ms after its expiry.
            let late = self.random(0..100_000);
            self.at_time(end.as_micros() as Time + late, |sim| {
                let now = sim.since_start();
                let has_expired = {
                    let mut state = sim.state();
                    !state.store_is_down && state.store.expire(now)
                };
                if has_expired {
                    sim.store_changed();
                }
            });
        }
        // The duplicated heartbeats reach every controller within 3 seconds of the new leader's election.
        for heartbeat in kept_heartbeats {
            for node in 0..self.setup.nodes {
                let (sim, heartbeat) = (self.clone(), heartbeat.clone());
                let at = now + self.random(0..3_000_000);
                self.scheduler
                    .at(at, move || sim.heartbeat_copy_arrives(node, &heartbeat));
            }
        }
    }

    /// Writes a record to the key-value store, as if a controller had written it.
    pub fn write_record(self: &Arc<Self>, key: &str, value: &impl serde::Serialize) {
        let change = cbor!({"write" => key, "data" => to_value(value)}).unwrap();
        let none: [u64; 0] = [];
        let body = encode(&cbor!({"guards" => none, "apply" => [change]}).unwrap());
        let now = self.since_start();
        let (status, _) = self.state().store.call("POST", "/multi", &body, now);
        assert_eq!(status, 200);
        self.store_changed();
    }

    /// State of the link between a controller and the store now, for this request.
    fn store_link(&self, node: usize, request: &Request) -> StoreLink {
        let now = self.now();
        let state = self.state();
        let link = &state.nodes[node];
        let writes_refused = request.path == "/multi" && state.cuts.refuses_writes(node, now);
        StoreLink {
            cut_until: link.store_cut_until,
            is_refused: state.store_is_down || link.refused_until > now || writes_refused,
            delay: state.store_delay,
            loses_request: state.is_cut(Endpoint::Node(node), Endpoint::Store, now),
            loses_response: state.is_cut(Endpoint::Store, Endpoint::Node(node), now),
        }
    }

    /// Handles a request that a node sent to the store, subject to the faults in effect.
    pub(crate) fn store_receives(
        self: &Arc<Self>,
        node: usize,
        request: Request,
        to: Arc<Slot<(u16, Vec<u8>)>>,
    ) {
        let link = self.store_link(node, &request);
        let response_latency = self.latency() + link.delay;
        if link.cut_until > self.now() {
            // The request is held back and executed after the cut; its answer is dropped.
            let later = link.cut_until + self.latency();
            return self.at_time(later, move |sim| drop(sim.execute_store_request(&request)));
        }
        if link.loses_request {
            return;
        }
        if link.loses_response {
            if !link.is_refused {
                drop(self.execute_store_request(&request));
            }
            return;
        }
        if link.is_refused {
            return to.arrive(self, response_latency, (503, Vec::new()));
        }
        match self.choose_unanswered_write(&request) {
            Some(late) if late.at_once => drop(self.execute_store_request(&request)),
            Some(_) => {
                let later = self.random(2_000_000..12_000_000);
                self.after(later, move |sim| {
                    if !sim.state().store_is_down {
                        drop(sim.execute_store_request(&request));
                    }
                });
            }
            None => {
                let answer = self.execute_store_request(&request);
                to.arrive(self, response_latency, answer);
            }
        }
    }

    /// Decides whether this request is one of the transactions that get no answer.
    fn choose_unanswered_write(&self, request: &Request) -> Option<UnansweredWrites> {
        let now = self.now();
        let mut state = self.state();
        let late = state.unanswered_writes.filter(|late| late.until > now);
        late.filter(|late| request.path == "/multi" && state.rng.f64() < late.share)
    }

    /// Executes a request in the store and records it in the transcript.
    pub(crate) fn execute_store_request(self: &Arc<Self>, request: &Request) -> (u16, Vec<u8>) {
        let now = self.since_start();
        let answer = {
            let mut state = self.state();
            let hidden = state.hidden_key.clone();
            state.store.rows.remove(&hidden);
            let store = &mut state.store;
            store.call(&request.method, &request.path, &request.body, now)
        };
        self.note_call(Channel::Store, request, &answer);
        if request.method != "GET" {
            self.store_changed();
        }
        answer
    }

    /// Runs a watch of a node in the calling simulated thread; `None` if there is no answer before the timeout.
    pub(crate) fn watch(
        self: &Arc<Self>,
        node: usize,
        watch: Watch,
        timeout: Time,
    ) -> Option<(u16, Vec<u8>)> {
        let opened = self.now();
        let deadline = opened + watch.max_wait.as_micros() as Time;
        let mut first = true;
        loop {
            let request_latency = self.latency();
            self.scheduler.sleep_until(self.now() + request_latency);
            let now = self.now();
            {
                let mut state = self.state();
                let link = &state.nodes[node];
                let own = Endpoint::Node(node);
                let cut_one_way = state.is_cut(own, Endpoint::Store, now)
                    || state.is_cut(Endpoint::Store, own, now);
                let cut = link.store_cut_until > now || cut_one_way;
                let refused = state.store_is_down || link.refused_until > now;
                if refused && first && !cut {
                    return Some((503, Vec::new()));
                }
                if !cut && !refused {
                    if let Some(answer) = state.store.changes(&watch) {
                        return Some(answer);
                    }
                    if now >= deadline {
                        return Some(state.store.empty_changes());
                    }
                }
                first = false;
                if now >= opened + timeout {
                    return None;
                }
                let sleeper = self.scheduler.sleeper();
                state.watchers.push(sleeper);
            }
            let until = if now < deadline {
                deadline
            } else {
                opened + timeout
            };
            self.scheduler.sleep_until(until);
        }
    }

    /// Adds an HTTP request and its answer to the transcript.
    pub(crate) fn note_call(&self, channel: Channel, request: &Request, answer: &(u16, Vec<u8>)) {
        let Request { method, path, body } = request;
        let status = answer.0.to_le_bytes();
        let parts = [method.as_bytes(), path.as_bytes(), body, &status, &answer.1];
        self.note_message(channel, &parts);
    }
}
