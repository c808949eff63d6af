//! Key-value store with keys, leases and a log of changes, according to the published protocol. The current time is
//! a parameter, so that the simulation on simulated time and the stand-ins on real time can share the store.

use aspenreel::http::cbor::{decode, encode, json_len};
use aspenreel::store::token_bucket::TokenBucket;
use aspenreel::time::Moment;
use ciborium::{Value, cbor};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Key-value store: rows, leases and the log of changes.
#[derive(Default)]
pub struct FakeStore {
    /// For each key: its data, the revision of its last change, and the lease that it is attached to.
    pub rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Log of changes: revision, key, and data unless the key was deleted.
    log: Vec<(u64, String, Option<Value>)>,
    /// For each lease: the time of its end, and its duration.
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
    revision: u64,
    /// Limits of requests, if there are any.
    pub limits: Option<Limits>,
    /// Remaining budgets of requests and of changes, since the first request with limits.
    rate_budgets: Option<(TokenBucket, TokenBucket)>,
    /// Number of transactions that were rejected because they exceed the limits of size.
    pub rejected_transactions: u32,
    /// Number of requests that were rejected because they exceed the limits of rate.
    pub throttled_requests: u32,
    /// Number of all requests since the limits were set.
    pub limited_requests: u32,
}

/// Limits of the key-value store.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Maximum rate of requests, per second.
    pub rps: f64,
    /// Maximum rate of changes, per second.
    pub write_rps: f64,
}

/// Maximum size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// A transaction may have this many times [`Limits::txn_ops`] preconditions.
const PRECONDITIONS_PER_OP: usize = 4;

/// Body of a transaction.
#[derive(Deserialize)]
struct Multi {
    guards: Vec<GuardIn>,
    apply: Vec<ChangeIn>,
}

/// Precondition of a transaction: the revision that a key must have, 0 if it must not exist.
#[derive(Deserialize)]
struct GuardIn {
    key: String,
    stamp: u64,
}

/// Change of a transaction: the key to write or to delete, the data to write, and the lease to attach the key to.
#[derive(Deserialize)]
struct ChangeIn {
    write: Option<String>,
    delete: Option<String>,
    data: Option<Value>,
    permit: Option<u64>,
}

/// HTTP status and body of a response.
pub type StoreResponse = (u16, Vec<u8>);

/// Response with this status and the encoded value as its body.
pub fn response(status: u16, value: Result<Value, ciborium::value::Error>) -> StoreResponse {
    (status, encode(&value.unwrap()))
}

/// Parameters in the query of a request path.
fn query(path: &str) -> HashMap<&str, &str> {
    let text = path.split_once('?').map_or("", |(_, q)| q);
    text.split('&').filter_map(|p| p.split_once('=')).collect()
}

/// Parameters of a watch request.
pub struct Watch {
    /// Prefix of the keys to watch.
    pub prefix: String,
    /// Revision after which changes are returned.
    pub since: u64,
    /// Maximum time that the watch waits for a change.
    pub max_wait: Duration,
}

impl Watch {
    /// Parses the path of a watch request.
    pub fn parse(path: &str) -> Watch {
        let parameters = query(path);
        Watch {
            prefix: parameters["starts"].into(),
            since: parameters["since"].parse().unwrap(),
            max_wait: Duration::from_millis(parameters["holdMs"].parse().unwrap()),
        }
    }
}

impl FakeStore {
    /// Data of a key, if it exists.
    pub fn data(&self, key: &str) -> Option<Value> {
        self.rows.get(key).map(|r| r.0.clone())
    }

    /// Ends a lease and deletes the keys attached to it. False if there is no such lease.
    fn end_lease(&mut self, permit: u64) -> bool {
        let existed = self.leases.remove(&permit).is_some();
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
        existed
    }

    /// Ends the leases that have expired; true if there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(p, _)| *p)
            .collect();
        for permit in &expired {
            self.end_lease(*permit);
        }
        !expired.is_empty()
    }

    /// Time at which the next lease expires.
    pub fn next_lease_end(&self) -> Option<Duration> {
        self.leases.values().map(|(end, _)| *end).min()
    }

    /// Gives every lease its full duration again, as the service does after an outage.
    pub fn renew_all_leases(&mut self, now: Duration) {
        for (end, life) in self.leases.values_mut() {
            *end = now + *life;
        }
    }

    /// Executes a transaction if its preconditions hold.
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

    /// True if the transaction exceeds a limit of size.
    fn exceeds_size_limits(&self, multi: &Multi, body: &[u8]) -> bool {
        let Some(limits) = self.limits else {
            return false;
        };
        let is_large = |c: &ChangeIn| {
            let data = c.data.as_ref();
            data.is_some_and(|d| json_len(d) > limits.value_bytes)
        };
        let whole: Value = decode(body).unwrap();
        multi.apply.len() > limits.txn_ops
            || multi.guards.len() > PRECONDITIONS_PER_OP * limits.txn_ops
            || multi.apply.iter().any(is_large)
            || json_len(&whole) > MAX_TRANSACTION_BYTES
    }

    /// Counts the request, and returns true if it or its changes exceed a limit of rate now.
    fn exceeds_rate_limits(&mut self, path: &str, body: &[u8], now: Duration) -> bool {
        let Some(limits) = self.limits else {
            return false;
        };
        let now = Moment(now.as_micros() as u64);
        let (requests, changes) = self.rate_budgets.get_or_insert_with(|| {
            let full_bucket = |rate| TokenBucket::new(rate, rate, now);
            (full_bucket(limits.rps), full_bucket(limits.write_rps))
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

    /// Response to a watch with the changes so far; `None` if there are none yet.
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

    /// Response to a watch that ends without changes.
    pub fn empty_changes(&self) -> StoreResponse {
        let log: [Value; 0] = [];
        response(200, cbor!({"epoch" => self.revision, "log" => log}))
    }

    /// Response to a request for one page of the keys with a prefix.
    pub fn range(&self, path: &str) -> StoreResponse {
        let parameters = query(path);
        let limit: usize = parameters["most"].parse().unwrap();
        let found: Vec<_> = self
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(parameters["starts"]))
            .filter(|(key, _)| parameters.get("since").is_none_or(|s| key.as_str() > *s))
            .take(limit + 1)
            .map(|(key, r)| cbor!({"key" => key, "data" => r.0, "stamp" => r.1}).unwrap())
            .collect();
        let more = found.len() > limit;
        let rows: Vec<_> = found.into_iter().take(limit).collect();
        response(
            200,
            cbor!({"rows" => rows, "more" => more, "epoch" => self.revision}),
        )
    }

    /// Response to a request for one key.
    pub fn get(&self, key: &str) -> StoreResponse {
        match self.rows.get(key) {
            Some((data, stamp, permit)) => response(
                200,
                cbor!({"key" => key, "data" => data, "stamp" => stamp, "permit" => permit}),
            ),
            None => response(404, cbor!({"epoch" => self.revision})),
        }
    }

    /// Handles requests to `/holds`: grants, renews and ends leases. `rest` is the path after the prefix.
    pub fn lease_request(
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

    /// Handles all requests except watches.
    pub fn call(&mut self, method: &str, path: &str, body: &[u8], now: Duration) -> StoreResponse {
        self.expire(now);
        if self.exceeds_rate_limits(path, body, now) {
            return response(429, cbor!({"error" => "too many"}));
        }
        match path.split('?').next().unwrap() {
            "/multi" => self.transaction(body),
            "/store" => self.range(path),
            plain => match plain.strip_prefix("/holds") {
                Some(rest) => self.lease_request(method, rest, body, now),
                None => self.get(plain.strip_prefix("/store/").unwrap()),
            },
        }
    }
}
