//! The state service, with the limits of its page.

use aspenreel::http::cbor::{decode, encode, json_len};
use aspenreel::http::server::{Handler, Request, Response};
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Number of changes that the service keeps.
const KEPT_CHANGES: usize = 10_000;
/// Largest response to a range read, in bytes of JSON.
const MAX_RANGE_BYTES: usize = 512 * 1024;

/// Limits of the service.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Row {
    data: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Hold {
    life: Duration,
    ends: Instant,
}

/// Allows bursts of one second's worth.
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}

struct State {
    rows: BTreeMap<String, Row>,
    log: VecDeque<(u64, String, Option<Value>)>,
    /// Newest revision whose change is no longer kept.
    forgotten: u64,
    holds: BTreeMap<u64, Hold>,
    next_hold: u64,
    epoch: u64,
    limits: Limits,
    requests: Bucket,
    changes: Bucket,
    /// Number of requests that were answered with 429.
    throttled: u64,
}

/// The state service.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Deserialize)]
struct Guard {
    key: String,
    stamp: u64,
}

#[derive(Deserialize)]
struct Change {
    write: Option<String>,
    delete: Option<String>,
    data: Option<Value>,
    permit: Option<u64>,
}

#[derive(Deserialize)]
struct Multi {
    #[serde(default)]
    guards: Vec<Guard>,
    #[serde(default)]
    apply: Vec<Change>,
}

#[derive(Deserialize)]
struct Life {
    #[serde(rename = "lifeMs")]
    life_ms: u64,
}

fn answer(status: u16, body: Result<Value, ciborium::value::Error>) -> Response {
    Response::new(status, encode(&body.unwrap()))
}

fn error(status: u16, text: &str) -> Response {
    answer(status, cbor!({"error" => text}))
}

impl State {
    fn note(&mut self, key: &str, data: Option<Value>) {
        self.log.push_back((self.epoch, key.to_string(), data));
        while self.log.len() > KEPT_CHANGES {
            if let Some((epoch, _, _)) = self.log.pop_front() {
                self.forgotten = epoch;
            }
        }
    }

    fn end_hold(&mut self, id: u64) -> bool {
        let existed = self.holds.remove(&id).is_some();
        let keys: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, r)| r.permit == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.epoch += 1;
            self.rows.remove(&key);
            self.note(&key, None);
        }
        existed
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, h)| h.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            self.end_hold(*id);
        }
        !over.is_empty()
    }

    fn multi(&mut self, body: &[u8]) -> Response {
        let Ok(multi) = decode::<Multi>(body) else {
            return error(400, "malformed");
        };
        if !self.changes.take(multi.apply.len() as f64) {
            self.throttled += 1;
            return error(429, "too many changes");
        }
        let whole: Value = decode(body).unwrap();
        let is_large = |c: &Change| {
            c.data
                .as_ref()
                .is_some_and(|d| json_len(d) > self.limits.value_bytes)
        };
        if multi.apply.len() > self.limits.txn_ops
            || multi.guards.len() > 4 * self.limits.txn_ops
            || json_len(&whole) > 64 * 1024
            || multi.apply.iter().any(is_large)
        {
            return error(400, "too large");
        }
        if multi
            .apply
            .iter()
            .any(|c| c.permit.is_some_and(|p| !self.holds.contains_key(&p)))
        {
            return error(400, "no such lease");
        }
        let stamp = |key: &str| self.rows.get(key).map_or(0, |r| r.stamp);
        let failed: Vec<&str> = multi
            .guards
            .iter()
            .filter(|g| stamp(&g.key) != g.stamp)
            .map(|g| g.key.as_str())
            .collect();
        if !failed.is_empty() {
            return answer(409, cbor!({"failed" => failed, "epoch" => self.epoch}));
        }
        if !multi.apply.is_empty() {
            self.epoch += 1;
        }
        for change in multi.apply {
            if let Some(key) = change.write {
                let data = change.data.unwrap_or(Value::Null);
                let row = Row {
                    data: data.clone(),
                    stamp: self.epoch,
                    permit: change.permit,
                };
                self.rows.insert(key.clone(), row);
                self.note(&key, Some(data));
            } else if let Some(key) = change.delete
                && self.rows.remove(&key).is_some()
            {
                self.note(&key, None);
            }
        }
        answer(200, cbor!({"epoch" => self.epoch}))
    }

    fn range(&self, starts: &str, since: Option<&str>, most: usize) -> Response {
        let found = self
            .rows
            .range(starts.to_string()..)
            .take_while(|(key, _)| key.starts_with(starts))
            .filter(|(key, _)| since.is_none_or(|s| key.as_str() > s));
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in found {
            let item = cbor!({"key" => key, "data" => row.data, "stamp" => row.stamp, "permit" => row.permit}).unwrap();
            bytes += json_len(&item);
            if rows.len() >= most.min(1000) || (bytes > MAX_RANGE_BYTES && !rows.is_empty()) {
                more = true;
                break;
            }
            rows.push(item);
        }
        answer(
            200,
            cbor!({"rows" => rows, "more" => more, "epoch" => self.epoch}),
        )
    }

    /// Changes of the keys with a prefix after a revision.
    fn log_after(&self, starts: &str, since: u64) -> Vec<Value> {
        let first = self.log.partition_point(|(epoch, _, _)| *epoch <= since);
        self.log
            .range(first..)
            .filter(|(_, key, _)| key.starts_with(starts))
            .map(|(epoch, key, data)| match data {
                Some(data) => cbor!({"write" => key, "data" => data, "stamp" => epoch}).unwrap(),
                None => cbor!({"delete" => key, "stamp" => epoch}).unwrap(),
            })
            .collect()
    }

    fn hold(&mut self, method: &str, rest: &str, body: &[u8]) -> Response {
        if rest.is_empty() {
            let Ok(life) = decode::<Life>(body) else {
                return error(400, "malformed");
            };
            let life = Duration::from_millis(life.life_ms);
            self.next_hold += 1;
            self.holds.insert(
                self.next_hold,
                Hold {
                    life,
                    ends: Instant::now() + life,
                },
            );
            return answer(200, cbor!({"permit" => self.next_hold}));
        }
        let Some(id) = rest
            .trim_start_matches('/')
            .split('/')
            .next()
            .and_then(|id| id.parse().ok())
        else {
            return error(400, "malformed");
        };
        if method == "DELETE" {
            return Response::new(if self.end_hold(id) { 200 } else { 404 }, Vec::new());
        }
        match self.holds.get_mut(&id) {
            Some(hold) => {
                hold.ends = Instant::now() + hold.life;
                Response::new(200, Vec::new())
            }
            None => Response::new(404, Vec::new()),
        }
    }
}

impl Store {
    pub fn new(limits: Limits) -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::new(State {
                rows: BTreeMap::new(),
                log: VecDeque::new(),
                forgotten: 0,
                holds: BTreeMap::new(),
                next_hold: 0,
                epoch: 0,
                limits,
                requests: Bucket::new(limits.rps),
                changes: Bucket::new(limits.write_rps),
                throttled: 0,
            }),
            changed: Condvar::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Value of a key.
    pub fn data(&self, key: &str) -> Option<Value> {
        let mut state = self.state();
        state.expire();
        state.rows.get(key).map(|row| row.data.clone())
    }

    /// Number of requests that were answered with 429.
    pub fn throttled(&self) -> u64 {
        self.state().throttled
    }

    fn watch(&self, starts: &str, since: u64, hold: Duration) -> Response {
        let until = Instant::now() + hold;
        let mut state = self.state();
        loop {
            if state.expire() {
                self.changed.notify_all();
            }
            if since < state.forgotten {
                return error(410, "too old");
            }
            let log = state.log_after(starts, since);
            let now = Instant::now();
            if !log.is_empty() || now >= until {
                return answer(200, cbor!({"epoch" => state.epoch, "log" => log}));
            }
            let next_end = state.holds.values().map(|h| h.ends).min().unwrap_or(until);
            let wait = until
                .min(next_end)
                .saturating_duration_since(now)
                .max(Duration::from_millis(1));
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

impl Handler for Store {
    fn handle(&self, request: Request) -> Response {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let param = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(k, _)| *k == name)
                .map(|(_, v)| v)
        };
        {
            let mut state = self.state();
            state.expire();
            if !state.requests.take(1.0) {
                state.throttled += 1;
                return error(429, "too many requests");
            }
        }
        if path == "/changes" {
            let since = param("since").and_then(|s| s.parse().ok()).unwrap_or(0);
            let hold = param("holdMs").and_then(|s| s.parse().ok()).unwrap_or(0);
            return self.watch(
                param("starts").unwrap_or(""),
                since,
                Duration::from_millis(hold),
            );
        }
        let mut state = self.state();
        let response = if path == "/multi" {
            state.multi(&request.body)
        } else if path == "/store" {
            let most = param("most").and_then(|m| m.parse().ok()).unwrap_or(1000);
            state.range(param("starts").unwrap_or(""), param("since"), most)
        } else if let Some(rest) = path.strip_prefix("/holds") {
            state.hold(&request.method, rest, &request.body)
        } else if let Some(key) = path.strip_prefix("/store/") {
            match state.rows.get(key) {
                Some(row) => answer(
                    200,
                    cbor!({"key" => key, "data" => row.data, "stamp" => row.stamp, "permit" => row.permit}),
                ),
                None => answer(404, cbor!({"epoch" => state.epoch})),
            }
        } else {
            error(400, "malformed")
        };
        drop(state);
        if request.method != "GET" {
            self.changed.notify_all();
        }
        response
    }
}
