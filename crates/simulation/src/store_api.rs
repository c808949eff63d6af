//! The key-value store, as controllers reach it.

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

/// What happens to requests of one controller to the store.
struct StoreLink {
    /// Requests are held back until then.
    cut_until: Time,
    is_refused: bool,
    /// Added to the way of each response.
    delay: Time,
    loses_request: bool,
    loses_response: bool,
}

impl Simulation {
    /// Something changed in the key-value store: watches, holds and new leaders.
    pub fn store_changed(self: &Arc<Self>) {
        let now = self.now();
        let (watchers, next_lease_end, next_leader) = {
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
                let n = record.node.strip_prefix("n-").unwrap().parse().unwrap();
                state.terms.push((now, record.term, n));
                kept = std::mem::take(&mut state.heartbeats_for_next_leader);
            }
            (watchers, state.store.next_lease_end(), kept)
        };
        for (i, sleeper) in watchers.into_iter().enumerate() {
            self.scheduler.wake(sleeper, now + 100 + 50 * i as Time);
        }
        if let Some(end) = next_lease_end {
            // It may end up to 100 ms late.
            let late = self.random(0..100_000);
            self.at_time(end.as_micros() as Time + late, |sim| {
                let now = sim.since_start();
                let over = {
                    let mut state = sim.state();
                    !state.store_is_down && state.store.expire(now)
                };
                if over {
                    sim.store_changed();
                }
            });
        }
        // Old reports reach every controller as a new leader begins.
        for report in next_leader {
            for n in 0..self.setup.nodes {
                let (sim, report) = (self.clone(), report.clone());
                let at = now + self.random(0..3_000_000);
                self.scheduler
                    .at(at, move || sim.heartbeat_copy_arrives(n, &report));
            }
        }
    }

    /// Puts a record into the key-value store, as if a controller had written it.
    pub fn write_record(self: &Arc<Self>, key: &str, value: &impl serde::Serialize) {
        let change = cbor!({"write" => key, "data" => to_value(value)}).unwrap();
        let none: [u64; 0] = [];
        let body = encode(&cbor!({"guards" => none, "apply" => [change]}).unwrap());
        let now = self.since_start();
        let (status, _) = self.state().store.call("POST", "/multi", &body, now);
        assert_eq!(status, 200);
        self.store_changed();
    }

    /// How a controller reaches the store now, for this request.
    fn store_link(&self, n: usize, request: &Request) -> StoreLink {
        let now = self.now();
        let state = self.state();
        let node = &state.nodes[n];
        let writes_refused = request.path == "/multi" && state.cuts.refuses_writes(n, now);
        StoreLink {
            cut_until: node.store_cut_until,
            is_refused: state.store_is_down || node.refused_until > now || writes_refused,
            delay: state.store_delay,
            loses_request: state.is_cut(Endpoint::Node(n), Endpoint::Store, now),
            loses_response: state.is_cut(Endpoint::Store, Endpoint::Node(n), now),
        }
    }

    /// A request of a node reaches the store, or doesn't.
    pub(crate) fn store_receives(
        self: &Arc<Self>,
        n: usize,
        request: Request,
        to: Arc<Slot<(u16, Vec<u8>)>>,
    ) {
        let link = self.store_link(n, &request);
        let back = self.latency() + link.delay;
        if link.cut_until > self.now() {
            // Held back, and carried out once the way is free.
            let later = link.cut_until + self.latency();
            return self.at_time(later, move |sim| drop(sim.carry_out(&request)));
        }
        if link.loses_request {
            return;
        }
        if link.loses_response {
            if !link.is_refused {
                drop(self.carry_out(&request));
            }
            return;
        }
        if link.is_refused {
            return to.arrive(self, back, (503, Vec::new()));
        }
        match self.draw_unanswered_write(&request) {
            Some(late) if late.at_once => drop(self.carry_out(&request)),
            Some(_) => {
                let later = self.random(2_000_000..12_000_000);
                self.after(later, move |sim| {
                    if !sim.state().store_is_down {
                        drop(sim.carry_out(&request));
                    }
                });
            }
            None => {
                let answer = self.carry_out(&request);
                to.arrive(self, back, answer);
            }
        }
    }

    /// Whether this request is one of the transactions that get no answer.
    fn draw_unanswered_write(&self, request: &Request) -> Option<UnansweredWrites> {
        let now = self.now();
        let mut state = self.state();
        let late = state.unanswered_writes.filter(|late| late.until > now);
        late.filter(|late| request.path == "/multi" && state.rng.f64() < late.share)
    }

    pub(crate) fn carry_out(self: &Arc<Self>, request: &Request) -> (u16, Vec<u8>) {
        let now = self.since_start();
        let answer = {
            let mut state = self.state();
            let hidden = state.hidden_key.clone();
            state.store.rows.remove(&hidden);
            let keys = &mut state.store;
            keys.call(&request.method, &request.path, &request.body, now)
        };
        self.note_call(Channel::Store, request, &answer);
        if request.method != "GET" {
            self.store_changed();
        }
        answer
    }

    pub(crate) fn watch(
        self: &Arc<Self>,
        n: usize,
        watch: Watch,
        timeout: Time,
    ) -> Option<(u16, Vec<u8>)> {
        let opened = self.now();
        let deadline = opened + watch.max_wait.as_micros() as Time;
        let mut first = true;
        loop {
            let there = self.latency();
            self.scheduler.sleep_until(self.now() + there);
            let now = self.now();
            {
                let mut state = self.state();
                let node = &state.nodes[n];
                let own = Endpoint::Node(n);
                let one_way = state.is_cut(own, Endpoint::Store, now)
                    || state.is_cut(Endpoint::Store, own, now);
                let cut = node.store_cut_until > now || one_way;
                let refused = state.store_is_down || node.refused_until > now;
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

    pub(crate) fn note_call(&self, channel: Channel, request: &Request, answer: &(u16, Vec<u8>)) {
        let Request { method, path, body } = request;
        let status = answer.0.to_le_bytes();
        let parts = [method.as_bytes(), path.as_bytes(), body, &status, &answer.1];
        self.note_message(channel, &parts);
    }
}
