//! The state service: transactions, holds and watches, behind this node's share of the tokens.

pub mod bucket;
pub mod pages;

use crate::http::cbor::{decode, encode};
use crate::http::client::{CallError, ClientResponse};
use crate::link_health::{CallFailure, CallOutcome, Link, ObservationQueue};
use crate::os::{HttpClient, Os};
use crate::time::{Micros, Moment};
use bucket::TokenBucket;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Surely not executed: refused, out of tokens, or never sent.
    #[error("state service refused: {0}")]
    Refused(String),
    /// May have been executed, or may yet be: read back before deciding anything from it.
    #[error("state service gave no answer: {0}")]
    Unknown(String),
    #[error("the lease has ended")]
    NoLease,
    /// A watch that is too old.
    #[error("the watch is too old")]
    TooOld,
}

/// One key's value.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    pub key: String,
    pub data: Value,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    pub rows: Vec<Row>,
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Guard {
    pub key: String,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

impl Guard {
    pub fn new(key: impl Into<String>, revision: u64) -> Self {
        Guard {
            key: key.into(),
            revision,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Change {
    Write {
        write: String,
        data: Value,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

impl Change {
    pub fn write(key: impl Into<String>, data: Value) -> Self {
        Change::Write {
            write: key.into(),
            data,
            lease: None,
        }
    }
    pub fn delete(key: impl Into<String>) -> Self {
        Change::Delete { delete: key.into() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    Done {
        revision: u64,
    },
    /// Keys whose guards failed; nothing was changed.
    Conflict {
        failed: Vec<String>,
    },
}

/// One line of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    #[serde(default)]
    pub write: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default)]
    pub data: Option<Value>,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Debug, Deserialize)]
pub struct Changes {
    #[serde(rename = "epoch")]
    pub revision: u64,
    pub log: Vec<Event>,
}

/// Who asks decides how far the bucket may be emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Renewing the lease and taking the lead never wait behind anything.
    LeaderLease,
    /// A write that another bucket has let through: reads for users can't keep it out.
    Granted,
    Normal,
    /// Leaves half of the tokens to the others.
    Lazy,
}

pub struct Store {
    client: Arc<dyn HttpClient>,
    os: Arc<dyn Os>,
    requests: Mutex<TokenBucket>,
    /// When it last answered, and when it last did not, in microseconds of this node's clock.
    last_answer: AtomicU64,
    last_silence: AtomicU64,
    /// Where it is recorded what calls showed of the links.
    observations: Option<Arc<ObservationQueue>>,
}

pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// After this long a silence says nothing any more.
const SILENCE_COUNTS: Micros = Micros::from_secs(2);
const TRANSACTIONS_PATH: &str = "/multi";
const CALL_TIME: Duration = Duration::from_millis(1500);

impl Store {
    /// `rate`: this node's share of the requests a second.
    pub fn new(addr: SocketAddr, rate: f64, os: Arc<dyn Os>) -> Self {
        let bucket = TokenBucket::new(rate, rate, os.now());
        Store {
            client: os.http_client(addr),
            os,
            requests: Mutex::new(bucket),
            last_answer: AtomicU64::new(0),
            last_silence: AtomicU64::new(0),
            observations: None,
        }
    }

    /// The same client, which records what its calls show of the links.
    pub fn with_observations(mut self, queue: Option<Arc<ObservationQueue>>) -> Self {
        self.observations = queue;
        self
    }

    /// Records what a call showed of its link. A call that was never sent shows nothing.
    fn observe(&self, path: &str, result: &Result<ClientResponse, CallError>, at: Moment) {
        let Some(queue) = &self.observations else {
            return;
        };
        let outcome = match result {
            Ok(ClientResponse { status: 503, .. }) => CallOutcome::Failed(CallFailure::Refused),
            Ok(_) => CallOutcome::Answered,
            Err(CallError::NotSent { .. }) => return,
            Err(CallError::Unreachable { .. }) => CallOutcome::Failed(CallFailure::Unreachable),
            Err(CallError::OutcomeUnknown { .. }) => CallOutcome::Failed(CallFailure::NoAnswer),
        };
        let link = match path {
            TRANSACTIONS_PATH => Link::StateWrites,
            _ => Link::StateReads,
        };
        queue.record(link, outcome, at);
    }

    /// When it last answered this node with anything but a refusal.
    pub fn last_answer(&self) -> Moment {
        Moment(self.last_answer.load(Ordering::Relaxed))
    }

    /// False while its last word was none: others may reach it sooner than another try does.
    pub fn answers(&self, now: Moment) -> bool {
        let silence = Moment(self.last_silence.load(Ordering::Relaxed));
        self.last_answer() >= silence || now - silence > SILENCE_COUNTS
    }

    fn bucket(&self) -> std::sync::MutexGuard<'_, TokenBucket> {
        self.requests.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        urgency: Urgency,
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let now = self.os.now();
        {
            let mut bucket = self.bucket();
            let granted = match urgency {
                Urgency::LeaderLease | Urgency::Granted => {
                    bucket.force(1.0, now);
                    true
                }
                Urgency::Normal => bucket.take(1.0, now),
                Urgency::Lazy => bucket.available(now) >= 5.0 && bucket.take(1.0, now),
            };
            if !granted {
                return Err(StoreError::Refused("out of tokens".into()));
            }
        }
        let result = self.client.call(method, path, body, timeout);
        let answered_at = self.os.now();
        self.observe(path, &result, answered_at);
        let at = answered_at.0;
        match &result {
            Ok(ClientResponse { status: 503, .. }) | Err(_) => {
                self.last_silence.store(at, Ordering::Relaxed)
            }
            Ok(_) => self.last_answer.store(at, Ordering::Relaxed),
        }
        let answer = result.map_err(|e| match e {
            CallError::OutcomeUnknown { .. } => StoreError::Unknown(e.to_string()),
            CallError::NotSent { .. } | CallError::Unreachable { .. } => {
                StoreError::Refused(e.to_string())
            }
        })?;
        match answer.status {
            429 => {
                let pause = Micros::from_millis(100 + fastrand::u64(0..100));
                self.bucket().punish(pause, now);
                Err(StoreError::Refused("429".into()))
            }
            503 => Err(StoreError::Refused("503".into())),
            status => Ok((status, answer.body)),
        }
    }

    fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
        decode(body).map_err(|e| StoreError::Unknown(e.to_string()))
    }

    fn unexpected<T>(status: u16) -> Result<T, StoreError> {
        Err(StoreError::Unknown(format!("unexpected status {status}")))
    }

    pub fn get(&self, key: &str, urgency: Urgency) -> Result<Option<Row>, StoreError> {
        self.get_within(key, urgency, CALL_TIME)
    }

    pub fn get_within(
        &self,
        key: &str,
        urgency: Urgency,
        time: Duration,
    ) -> Result<Option<Row>, StoreError> {
        let (status, body) = self.call("GET", &format!("/store/{key}"), &[], urgency, time)?;
        match status {
            200 => Ok(Some(Self::parse(&body)?)),
            404 => Ok(None),
            s => Self::unexpected(s),
        }
    }

    pub fn range(
        &self,
        prefix: &str,
        since: Option<&str>,
        most: usize,
        urgency: Urgency,
    ) -> Result<Page, StoreError> {
        let since = since.map(|s| format!("&since={s}")).unwrap_or_default();
        let path = format!("/store?starts={prefix}{since}&most={most}");
        let (status, body) = self.call("GET", &path, &[], urgency, 2 * CALL_TIME)?;
        match status {
            200 => Self::parse(&body),
            s => Self::unexpected(s),
        }
    }

    pub fn transact(
        &self,
        guards: &[Guard],
        apply: &[Change],
        urgency: Urgency,
    ) -> Result<Commit, StoreError> {
        #[derive(Serialize)]
        struct Body<'a> {
            guards: &'a [Guard],
            apply: &'a [Change],
        }
        #[derive(Deserialize)]
        struct Answer {
            #[serde(rename = "epoch")]
            revision: u64,
            #[serde(default)]
            failed: Vec<String>,
        }
        #[derive(Deserialize)]
        struct Problem {
            #[serde(default)]
            error: Option<String>,
        }
        let body = encode(&Body { guards, apply });
        let (status, body) = self.call("POST", TRANSACTIONS_PATH, &body, urgency, CALL_TIME)?;
        match status {
            200 => Ok(Commit::Done {
                revision: Self::parse::<Answer>(&body)?.revision,
            }),
            409 => Ok(Commit::Conflict {
                failed: Self::parse::<Answer>(&body)?.failed,
            }),
            400 => {
                let error = decode::<Problem>(&body).ok().and_then(|p| p.error);
                if error.as_deref() == Some("no such lease") {
                    Err(StoreError::NoLease)
                } else {
                    let text = error.unwrap_or_else(|| "malformed".into());
                    log::error!("state service calls our transaction malformed: {text}");
                    Err(StoreError::Refused(text))
                }
            }
            s => Self::unexpected(s),
        }
    }

    pub fn grant_lease(&self, life: Micros) -> Result<u64, StoreError> {
        #[derive(Serialize)]
        struct Body {
            #[serde(rename = "lifeMs")]
            life_ms: u64,
        }
        #[derive(Deserialize)]
        struct Answer {
            #[serde(rename = "permit")]
            lease: u64,
        }
        let body = encode(&Body {
            life_ms: life.0 / 1000,
        });
        let (status, body) = self.call("POST", "/holds", &body, Urgency::LeaderLease, CALL_TIME)?;
        match status {
            200 => Ok(Self::parse::<Answer>(&body)?.lease),
            s => Self::unexpected(s),
        }
    }

    pub fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<(), StoreError> {
        let path = format!("/holds/{lease}/renew");
        match self
            .call("POST", &path, &[], Urgency::LeaderLease, timeout)?
            .0
        {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            s => Self::unexpected(s),
        }
    }

    pub fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/holds/{lease}");
        match self
            .call("DELETE", &path, &[], Urgency::LeaderLease, CALL_TIME)?
            .0
        {
            200..=299 | 404 => Ok(()),
            s => Self::unexpected(s),
        }
    }

    pub fn changes(&self, prefix: &str, since: u64, wait: Micros) -> Result<Changes, StoreError> {
        let hold_ms = wait.0 / 1000;
        let path = format!("/changes?starts={prefix}&since={since}&holdMs={hold_ms}");
        let timeout = wait.duration() + Duration::from_secs(2);
        let (status, body) = self.call("GET", &path, &[], Urgency::Normal, timeout)?;
        match status {
            200 => Self::parse(&body),
            410 => Err(StoreError::TooOld),
            s => Self::unexpected(s),
        }
    }
}
