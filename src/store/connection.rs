//! The way of every request to the store: this controller's share of the request rate, the call, and what the
//! call showed of the store's availability and of the link to it.

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

/// A failure that is older says nothing of the store's availability.
const FAILURE_VALIDITY: Micros = Micros::from_secs(2);
/// Tokens that background requests leave to the others.
const BACKGROUND_TOKENS_LEFT: f64 = 4.0;
/// After the status 429 the store is left alone for this long, and up to as long again.
const BACKOFF_MS: u64 = 100;

const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// How a request competes for this controller's share of the store's request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePriority {
    /// Elections and renewals of the leader lease: never delayed.
    Leadership,
    /// A write that passed the leader's write budget already: never delayed, so that reads for users
    /// can't keep it out.
    Admitted,
    /// Not sent while the share is used up.
    Normal,
    /// Sent only while the other requests have tokens to spare.
    Background,
}

/// One request; for errors it is named by its method and path.
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

    /// Decodes the body of a response.
    pub fn decode<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, StoreError> {
        decode(body).map_err(|error| self.outcome_unknown(UnknownOutcomeReason::Malformed(error)))
    }

    fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }
}

/// The connection to the store with everything that requests share.
pub(super) struct Connection {
    client: Arc<dyn HttpClient>,
    os: Arc<dyn Os>,
    request_bucket: Mutex<TokenBucket>,
    /// Moments of the monotonic clock in microseconds: the last response other than 503, and the last
    /// failure.
    last_answered_at: AtomicU64,
    last_failed_at: AtomicU64,
    /// Receives what calls show of the links to the store, if links are watched.
    pub observations: Option<Arc<ObservationQueue>>,
}

impl Connection {
    /// `rate`: this controller's share of the store's request rate, in requests per second.
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

    /// Sends a request if the rate allows, and returns every response but 429 and 503, which are errors.
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

    /// Takes the token of a request; false if the request has to be dropped.
    fn admit(&self, priority: StorePriority, now: Moment) -> bool {
        let mut bucket = self.request_bucket();
        match priority {
            StorePriority::Leadership | StorePriority::Admitted => {
                bucket.take_unconditionally(1.0, now);
                true
            }
            StorePriority::Normal => bucket.take(1.0, now),
            StorePriority::Background => {
                bucket.available(now) >= BACKGROUND_TOKENS_LEFT + 1.0 && bucket.take(1.0, now)
            }
        }
    }

    /// Records what a call showed of the store's availability and of the link to it.
    fn record(&self, path: &str, result: &Result<ClientResponse, CallError>, at: Moment) {
        self.record_observation(path, result, at);
        let last = match result {
            Ok(response) if response.status != STATUS_UNAVAILABLE => &self.last_answered_at,
            _ => &self.last_failed_at,
        };
        last.store(at.0, Ordering::Relaxed);
    }

    /// A call that was never sent shows nothing of the link.
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
