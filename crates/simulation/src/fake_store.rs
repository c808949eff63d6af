//! The key-value store's keys, holds and log, as the published protocol tells of them. Time is handed
//! in, so that stand-ins on real time and the simulation on simulated time share it.

use aspenreel::http::cbor::{decode, encode, json_len};
use aspenreel::store::token_bucket::TokenBucket;
use aspenreel::time::Moment;
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The store: keys, leases and the log of changes.
#[derive(Default)]
pub struct FakeStore {
    /// Data, revision, hold.
    pub rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<(u64, String, Option<Value>)>,
    /// When each hold ends, and its life.
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
    revision: u64,
    /// What the service takes, where that is limited.
    pub limits: Option<Limits>,
    /// Requests and changes since then.
    rate_budgets: Option<(TokenBucket, TokenBucket)>,
    /// Transactions that were larger than that.
    pub rejected_transactions: u32,
    /// Requests that were more than that, and all since then.
    pub throttled_requests: u32,
    /// Requests since the limits hold.
    pub limited_requests: u32,
}

/// What the key-value store takes.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Bytes of a value, at most.
    pub value_bytes: usize,
    /// Changes of a transaction, at most.
    pub txn_ops: usize,
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
}

/// Bytes of a transaction, and how many conditions it may have for each change.
const TRANSACTION_BYTES: usize = 64 * 1024;
const GUARDS_OF_OPS: usize = 4;

#[derive(Deserialize)]
struct Multi {
    guards: Vec<GuardIn>,
    apply: Vec<ChangeIn>,
}

#[derive(Deserialize)]
struct GuardIn {
    key: String,
    stamp: u64,
}

#[derive(Deserialize)]
struct ChangeIn {
    write: Option<String>,
    delete: Option<String>,
    data: Option<Value>,
    permit: Option<u64>,
}

/// An HTTP status and a body.
pub type StoreResponse = (u16, Vec<u8>);

/// A response with this body.
pub fn response(status: u16, value: Result<Value, ciborium::value::Error>) -> StoreResponse {
    (status, encode(&value.unwrap()))
}

fn query(path: &str) -> HashMap<&str, &str> {
    let text = path.split_once('?').map_or("", |(_, q)| q);
    text.split('&').filter_map(|p| p.split_once('=')).collect()
}

/// What a watch asks for.
pub struct Watch {
    /// What the keys begin with.
    pub prefix: String,
    /// The revision after which changes are wanted.
    pub since: u64,
    /// How long the watch may stay open.
    pub max_wait: Duration,
}

impl Watch {
    /// A watch, as a request's path tells it.
    pub fn parse(path: &str) -> Watch {
        let q = query(path);
        Watch {
            prefix: q["starts"].into(),
            since: q["since"].parse().unwrap(),
            max_wait: Duration::from_millis(q["holdMs"].parse().unwrap()),
        }
    }
}

impl FakeStore {
    /// The value of a key.
    pub fn data(&self, key: &str) -> Option<Value> {
        self.rows.get(key).map(|r| r.0.clone())
    }

    fn end_lease(&mut self, permit: u64) -> bool {
        let had = self.leases.remove(&permit).is_some();
        let keys: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, r)| r.2 == Some(permit))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.rows.remove(&key);
            self.log.push((self.revision, key, None));
        }
        had
    }

    /// Ends the holds that have run out; true if there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(p, _)| *p)
            .collect();
        for permit in &over {
            self.end_lease(*permit);
        }
        !over.is_empty()
    }

    /// When the next hold runs out.
    pub fn next_lease_end(&self) -> Option<Duration> {
        self.leases.values().map(|(end, _)| *end).min()
    }

    /// After an outage every hold has its full time again.
    pub fn renew_all_leases(&mut self, now: Duration) {
        for (end, life) in self.leases.values_mut() {
            *end = now + *life;
        }
    }

    /// Carries out a transaction on preconditions.
    pub fn transaction(&mut self, body: &[u8]) -> StoreResponse {
        let multi: Multi = decode(body).unwrap();
        if self.exceeds_size_limits(&multi, body) {
            self.rejected_transactions += 1;
            return response(400, cbor!({"error" => "too large"}));
        }
        for change in &multi.apply {
            if change.permit.is_some_and(|p| !self.leases.contains_key(&p)) {
                return response(400, cbor!({"error" => "no such lease"}));
            }
        }
        let failed: Vec<&str> = multi
            .guards
            .iter()
            .filter(|g| self.rows.get(&g.key).map_or(0, |r| r.1) != g.stamp)
            .map(|g| g.key.as_str())
            .collect();
        if !failed.is_empty() {
            return response(409, cbor!({"failed" => failed, "epoch" => self.revision}));
        }
        self.revision += 1;
        let revision = self.revision;
        for change in multi.apply {
            if let Some(key) = change.write {
                let data = change.data.unwrap_or(Value::Null);
                let row = (data.clone(), revision, change.permit);
                self.rows.insert(key.clone(), row);
                self.log.push((revision, key, Some(data)));
            } else if let Some(key) = change.delete {
                self.rows.remove(&key);
                self.log.push((revision, key, None));
            }
        }
        response(200, cbor!({"epoch" => revision}))
    }

    fn exceeds_size_limits(&self, multi: &Multi, body: &[u8]) -> bool {
        let Some(limits) = self.limits else {
            return false;
        };
        let large = |c: &ChangeIn| {
            let data = c.data.as_ref();
            data.is_some_and(|d| json_len(d) > limits.value_bytes)
        };
        let whole: Value = decode(body).unwrap();
        multi.apply.len() > limits.txn_ops
            || multi.guards.len() > GUARDS_OF_OPS * limits.txn_ops
            || multi.apply.iter().any(large)
            || json_len(&whole) > TRANSACTION_BYTES
    }

    /// True if the request, or its changes, are more than the service takes now.
    fn exceeds_rate_limits(&mut self, path: &str, body: &[u8], now: Duration) -> bool {
        let Some(limits) = self.limits else {
            return false;
        };
        let now = Moment(now.as_micros() as u64);
        let (requests, changes) = self.rate_budgets.get_or_insert_with(|| {
            let full = |rate| TokenBucket::new(rate, rate, now);
            (full(limits.rps), full(limits.write_rps))
        });
        let wanted = match path {
            "/multi" => decode::<Multi>(body).unwrap().apply.len(),
            _ => 0,
        };
        self.limited_requests += 1;
        let granted = requests.take(1.0, now) && changes.take(wanted as f64, now);
        self.throttled_requests += u32::from(!granted);
        !granted
    }

    /// What a watch is told now; None if there is nothing yet.
    pub fn changes(&self, watch: &Watch) -> Option<StoreResponse> {
        let seen = self.log.partition_point(|(e, _, _)| *e <= watch.since);
        let log: Vec<Value> = self.log[seen..]
            .iter()
            .filter(|(_, key, _)| key.starts_with(&watch.prefix))
            .map(|(e, key, data)| match data {
                Some(d) => cbor!({"write" => key, "data" => d, "stamp" => e}).unwrap(),
                None => cbor!({"delete" => key, "stamp" => e}).unwrap(),
            })
            .collect();
        (!log.is_empty()).then(|| response(200, cbor!({"epoch" => self.revision, "log" => log})))
    }

    /// What a watch is told when its time is over.
    pub fn empty_changes(&self) -> StoreResponse {
        let log: [Value; 0] = [];
        response(200, cbor!({"epoch" => self.revision, "log" => log}))
    }

    /// One page of the keys with a prefix.
    pub fn range(&self, path: &str) -> StoreResponse {
        let q = query(path);
        let most: usize = q["most"].parse().unwrap();
        let found: Vec<_> = self
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(q["starts"]))
            .filter(|(key, _)| q.get("since").is_none_or(|s| key.as_str() > *s))
            .take(most + 1)
            .map(|(key, r)| cbor!({"key" => key, "data" => r.0, "stamp" => r.1}).unwrap())
            .collect();
        let more = found.len() > most;
        let rows: Vec<_> = found.into_iter().take(most).collect();
        response(
            200,
            cbor!({"rows" => rows, "more" => more, "epoch" => self.revision}),
        )
    }

    /// One key.
    pub fn get(&self, key: &str) -> StoreResponse {
        match self.rows.get(key) {
            Some((data, stamp, permit)) => response(
                200,
                cbor!({"key" => key, "data" => data, "stamp" => stamp, "permit" => permit}),
            ),
            None => response(404, cbor!({"epoch" => self.revision})),
        }
    }

    /// `/leases`, and what follows that in the path.
    pub fn leases(
        &mut self,
        method: &str,
        rest: &str,
        body: &[u8],
        now: Duration,
    ) -> StoreResponse {
        if rest.is_empty() {
            #[derive(Deserialize)]
            struct Life {
                #[serde(rename = "lifeMs")]
                life_ms: u64,
            }
            let life: Life = decode(body).unwrap();
            let life = Duration::from_millis(life.life_ms);
            self.next_lease += 1;
            self.leases.insert(self.next_lease, (now + life, life));
            return response(200, cbor!({"permit" => self.next_lease}));
        }
        let mut parts = rest.trim_start_matches('/').split('/');
        let permit: u64 = parts.next().unwrap().parse().unwrap();
        if method == "DELETE" {
            return (if self.end_lease(permit) { 200 } else { 404 }, Vec::new());
        }
        match self.leases.get_mut(&permit) {
            Some((end, life)) => {
                *end = now + *life;
                (200, Vec::new())
            }
            None => (404, Vec::new()),
        }
    }

    /// Everything but watches.
    pub fn call(&mut self, method: &str, path: &str, body: &[u8], now: Duration) -> StoreResponse {
        self.expire(now);
        if self.exceeds_rate_limits(path, body, now) {
            return response(429, cbor!({"error" => "too many"}));
        }
        match path.split('?').next().unwrap() {
            "/multi" => self.transaction(body),
            "/store" => self.range(path),
            plain => match plain.strip_prefix("/holds") {
                Some(rest) => self.leases(method, rest, body, now),
                None => self.get(plain.strip_prefix("/store/").unwrap()),
            },
        }
    }
}
