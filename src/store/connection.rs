//! Sending of requests to the store: applies this controller's share of the request rate, makes the call, and records
//! its outcome as evidence of the store's availability and of the health of the link.

use super::error::{NotExecutedReason, StoreError, UnknownOutcomeReason};
use super::token_bucket::TokenBucket;
use crate::http::cbor::decode;
use crate::http::client::{CallError, ClientResponse};
use crate::link_health::{CallFailure, CallOutcome, Link, ObservationQueue};
use crate::os::{HttpClient, Os};
use crate::time::{Micros, Moment};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub(super) const TRANSACTION_PATH: &str = "/multi";

/// Age beyond which a failure no longer counts as evidence that the store is unavailable.
const FAILURE_VALIDITY: Micros = Micros::from_secs(2);
/// Tokens that background requests leave for requests of higher priority.
const RESERVED_TOKENS: f64 = 4.0;
/// Shortest pause after a 429 response, in milliseconds. A random time of up to the same length is added.
const BACKOFF_MS: u64 = 100;

const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// Priority of a request in this controller's share of the store's request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePriority {
    /// Elections, renewals of the leader lease, watches, and reads without which the leader can't do its work; never
    /// rejected by the rate limit, so that lookups for users can't block them.
    Leadership,
    /// A write that the leader's write budget has already admitted; never rejected by the rate limit, so that reads
    /// for users can't block it.
    Admitted,
    /// Not sent while this controller's share is used up.
    Normal,
    /// Sent only if the tokens that are reserved for the other priorities remain.
    Background,
}

/// One request to the store. Errors identify it by method and path.
pub(super) struct StoreRequest<'a> {
    pub method: &'static str,
    pub path: &'a str,
    pub body: &'a [u8],
    pub priority: StorePriority,
    pub timeout: Duration,
}

impl StoreRequest<'_> {
    pub fn not_executed(&self, source: NotExecutedReason) -> StoreError {
        StoreError::NotExecuted {
            request: self.name(),
            source,
        }
    }

    pub fn outcome_unknown(&self, source: UnknownOutcomeReason) -> StoreError {
        StoreError::OutcomeUnknown {
            request: self.name(),
            source,
        }
    }

    pub fn unexpected_status(&self, status: u16) -> StoreError {
        self.outcome_unknown(UnknownOutcomeReason::UnexpectedStatus(status))
    }

    /// Decodes the body of the response to this request.
    pub fn decode<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, StoreError> {
        decode(body).map_err(|error| self.outcome_unknown(UnknownOutcomeReason::Malformed(error)))
    }

    fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }
}

/// HTTP client of the store, with the rate limit and the availability data that all requests share.
pub(super) struct Connection {
    client: Arc<dyn HttpClient>,
    os: Arc<dyn Os>,
    request_bucket: Mutex<TokenBucket>,
    /// Time of the last response other than 503, in microseconds of the monotonic clock.
    last_answered_at: AtomicU64,
    /// Time of the last 503 response or failed call, including calls that could not be sent, in microseconds of the
    /// monotonic clock.
    last_failed_at: AtomicU64,
    /// Receives the outcome of each call as an observation of the link to the store; `None` if links are not
    /// monitored.
    pub observations: Option<Arc<ObservationQueue>>,
}

impl Connection {
    /// Creates a connection. `rate` is this controller's share of the store's request rate, in requests per second.
    pub fn new(addr: SocketAddr, rate: f64, os: Arc<dyn Os>) -> Connection {
        let request_bucket = TokenBucket::new(rate, rate, os.now());
        Connection {
            client: os.http_client(addr),
            os,
            request_bucket: Mutex::new(request_bucket),
            last_answered_at: AtomicU64::new(0),
            last_failed_at: AtomicU64::new(0),
            observations: None,
        }
    }

    pub fn last_answered_at(&self) -> Moment {
        Moment(self.last_answered_at.load(Ordering::Relaxed))
    }

    pub fn is_answering(&self, now: Moment) -> bool {
        let last_failed_at = Moment(self.last_failed_at.load(Ordering::Relaxed));
        self.last_answered_at() >= last_failed_at || now - last_failed_at > FAILURE_VALIDITY
    }

    /// Sends a request if the rate limit allows it. Responses with status 429 or 503 are returned as errors, all
    /// others as responses.
    pub fn send(&self, request: &StoreRequest<'_>) -> Result<ClientResponse, StoreError> {
        let sent_at = self.os.now();
        if !self.admit(request.priority, sent_at) {
            return Err(request.not_executed(NotExecutedReason::RateExhausted));
        }
        let StoreRequest {
            method, path, body, ..
        } = *request;
        let result = self.client.call(method, path, body, request.timeout);
        self.record(path, &result, self.os.now());
        let response = result.map_err(|error| match error {
            CallError::OutcomeUnknown { .. } => {
                request.outcome_unknown(UnknownOutcomeReason::Call(error))
            }
            CallError::NotSent { .. } | CallError::Unreachable { .. } => {
                request.not_executed(NotExecutedReason::Call(error))
            }
        })?;
        match response.status {
            STATUS_TOO_MANY_REQUESTS => {
                let pause = Micros::from_millis(BACKOFF_MS + fastrand::u64(0..BACKOFF_MS));
                self.request_bucket().back_off(pause, sent_at);
                Err(request.not_executed(NotExecutedReason::TooManyRequests))
            }
            STATUS_UNAVAILABLE => Err(request.not_executed(NotExecutedReason::Unavailable)),
            _ => Ok(response),
        }
    }

    fn request_bucket(&self) -> MutexGuard<'_, TokenBucket> {
        self.request_bucket
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    /// Takes a token for a request. Returns false if the request must not be sent.
    fn admit(&self, priority: StorePriority, now: Moment) -> bool {
        let mut bucket = self.request_bucket();
        match priority {
            StorePriority::Leadership | StorePriority::Admitted => {
                bucket.take_unconditionally(1.0, now);
                true
            }
            StorePriority::Normal => bucket.take(1.0, now),
            StorePriority::Background => {
                bucket.available(now) >= RESERVED_TOKENS + 1.0 && bucket.take(1.0, now)
            }
        }
    }

    /// Records the outcome of a call for the store's availability and for link monitoring.
    fn record(&self, path: &str, result: &Result<ClientResponse, CallError>, at: Moment) {
        self.record_observation(path, result, at);
        let last = match result {
            Ok(response) if response.status != STATUS_UNAVAILABLE => &self.last_answered_at,
            _ => &self.last_failed_at,
        };
        last.store(at.0, Ordering::Relaxed);
    }

    /// Records the outcome of a call as an observation of the link. A call that was never sent is no evidence and is
    /// not recorded.
    fn record_observation(
        &self,
        path: &str,
        result: &Result<ClientResponse, CallError>,
        at: Moment,
    ) {
        let Some(queue) = &self.observations else {
            return;
        };
        let outcome = match result {
            Ok(response) if response.status == STATUS_UNAVAILABLE => {
                CallOutcome::Failed(CallFailure::Refused)
            }
            Ok(_) => CallOutcome::Answered,
            Err(CallError::NotSent { .. }) => return,
            Err(CallError::Unreachable { .. }) => CallOutcome::Failed(CallFailure::Unreachable),
            Err(CallError::OutcomeUnknown { .. }) => CallOutcome::Failed(CallFailure::NoAnswer),
        };
        let link = match path {
            TRANSACTION_PATH => Link::StateWrites,
            _ => Link::StateReads,
        };
        queue.record(link, outcome, at);
    }
}
