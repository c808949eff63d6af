//! Client for requests to one other controller, with backoff and observations of the link to it.

use super::transport::{PeerTransport, is_timeout};
use super::wire::{PeerReply, PeerRequest};
use crate::jobs::JobView;
use crate::link_health::{CallFailure, CallOutcome, Link, ObservationQueue};
use crate::os::Os;
use crate::time::{Micros, Moment};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time after a timed-out status request in which no further requests are sent to the peer. The peer may be down, or
/// it may be overloaded: answering clients that no longer wait would then use up the CPU time that it has left.
const BACKOFF: Micros = Micros::from_secs(1);

/// Time after which a peer of an earlier version is asked again whether it supports newer requests.
const VERSION_CHECK_INTERVAL: Micros = Micros::from_secs(10);

/// Outcome of an exchange of link views with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewExchange {
    /// Encoded view that the peer has sent.
    View(Vec<u8>),
    /// The peer answers, but doesn't exchange views.
    Unsupported,
    /// The peer doesn't answer.
    Failed,
}

/// Outcome of a request for the statuses of several jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusesReply {
    /// The statuses, in the order of the request; `None` where the leader has none in memory.
    Statuses(Vec<Option<JobView>>),
    /// The peer is not the leader.
    NotLeading,
    /// The peer answers, but only requests for single jobs.
    Unsupported,
    /// The peer doesn't answer.
    Failed,
}

/// Client for requests to one other controller, shared by all threads.
pub struct PeerClient {
    transport: Arc<dyn PeerTransport>,
    os: Arc<dyn Os>,
    /// Time at which a status request last timed out.
    timed_out_at: Mutex<Option<Moment>>,
    /// Time at which the peer was last found to support requests for single jobs only.
    single_jobs_only_at: Mutex<Option<Moment>>,
    backoff: Micros,
    /// The link to this peer, and the queue that receives the outcome of each request as an observation of it. `None`
    /// if links are not monitored.
    observations: Option<(Link, Arc<ObservationQueue>)>,
}

impl PeerClient {
    /// Creates a client of the controller whose peer address is `addr`.
    pub fn new(os: Arc<dyn Os>, addr: SocketAddr) -> Self {
        PeerClient::with_backoff(os, addr, BACKOFF)
    }

    /// Creates a client that sends no requests for `backoff` after a status request has timed out.
    pub fn with_backoff(os: Arc<dyn Os>, addr: SocketAddr, backoff: Micros) -> Self {
        PeerClient {
            transport: os.peer_transport(addr),
            os,
            timed_out_at: Mutex::new(None),
            single_jobs_only_at: Mutex::new(None),
            backoff,
            observations: None,
        }
    }

    /// The same client, which adds the outcome of each request to `observations`, as an observation of `link`.
    pub fn with_observations(
        self,
        link: Link,
        observations: Option<Arc<ObservationQueue>>,
    ) -> Self {
        PeerClient {
            observations: observations.map(|queue| (link, queue)),
            ..self
        }
    }

    /// Sends a request, unless the client is backing off after a timeout.
    ///
    /// # Errors
    ///
    /// Those of [`PeerTransport::call`]; [`ErrorKind::TimedOut`] immediately while the client is backing off.
    pub fn call(&self, request: &PeerRequest, timeout: Duration) -> io::Result<PeerReply> {
        let sent_at = self.os.now();
        if self.is_backing_off(sent_at) {
            return Err(ErrorKind::TimedOut.into());
        }
        let result = self.call_and_observe(request, timeout);
        // Only timeouts of requests that are answered from memory are evidence of an overloaded peer. The others wait
        // for the store, and a leader that is slow because of the store can still answer status requests for its
        // jobs.
        if matches!(request, PeerRequest::Status { .. })
            && let Err(e) = &result
            && is_timeout(e)
        {
            *lock(&self.timed_out_at) = Some(self.os.now());
        }
        result
    }

    /// Sends a ping regardless of any backoff, and returns whether the peer answers it.
    pub fn is_reachable(&self, timeout: Duration) -> bool {
        let result = self.transport.call(&PeerRequest::Ping, timeout);
        self.record_observation(outcome(&result));
        result.is_ok()
    }

    /// Requests the statuses of jobs from the leader. A leader of an earlier version isn't asked again for
    /// `VERSION_CHECK_INTERVAL`.
    pub fn request_statuses(&self, ids: Vec<String>, timeout: Duration) -> StatusesReply {
        if self.has_single_jobs_only() {
            return StatusesReply::Unsupported;
        }
        let jobs = ids.len();
        let request = PeerRequest::Statuses { ids };
        let mut result = self.call_and_observe(&request, timeout);
        // A peer of an earlier version closes the connection when it receives an unknown request. So does a process that
        // ends, but not twice with an answered ping in between.
        if is_closed_without_reply(&result) && self.is_reachable(timeout) {
            result = self.call_and_observe(&request, timeout);
            if is_closed_without_reply(&result) {
                *lock(&self.single_jobs_only_at) = Some(self.os.now());
                return StatusesReply::Unsupported;
            }
        }
        match result {
            Ok(PeerReply::Statuses { views }) if views.len() == jobs => {
                StatusesReply::Statuses(views)
            }
            Ok(PeerReply::NotLeading) => StatusesReply::NotLeading,
            Ok(_) => StatusesReply::Failed,
            Err(error) => {
                log::debug!(jobs, error:%; "status batch failed");
                StatusesReply::Failed
            }
        }
    }

    /// Sends a request, and records its outcome as an observation of the link.
    fn call_and_observe(&self, request: &PeerRequest, timeout: Duration) -> io::Result<PeerReply> {
        let result = self.transport.call(request, timeout);
        self.record_observation(outcome(&result));
        result
    }

    fn has_single_jobs_only(&self) -> bool {
        let now = self.os.now();
        lock(&self.single_jobs_only_at).is_some_and(|at| now - at < VERSION_CHECK_INTERVAL)
    }

    /// Sends this controller's encoded view of its links, and requests the peer's view.
    pub fn exchange_views(&self, view: Vec<u8>, timeout: Duration) -> ViewExchange {
        let result = self.transport.call(&PeerRequest::Links { view }, timeout);
        match &result {
            // A peer of an earlier version closes the connection when it receives an unknown request. The ping
            // records an observation of its own.
            Err(e) if !is_timeout(e) && self.is_reachable(timeout) => {
                return ViewExchange::Unsupported;
            }
            _ => self.record_observation(outcome(&result)),
        }
        match result {
            Ok(PeerReply::Links { view }) => ViewExchange::View(view),
            Ok(_) => ViewExchange::Unsupported,
            Err(_) => ViewExchange::Failed,
        }
    }

    fn is_backing_off(&self, now: Moment) -> bool {
        lock(&self.timed_out_at).is_some_and(|timed_out_at| now - timed_out_at < self.backoff)
    }

    fn record_observation(&self, outcome: CallOutcome) {
        if let Some((link, queue)) = &self.observations {
            queue.record(link.clone(), outcome, self.os.now());
        }
    }
}

/// Locks `mutex`, and uses a poisoned one as it is.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Returns true if the peer accepted the connection and closed it without a reply.
fn is_closed_without_reply(result: &io::Result<PeerReply>) -> bool {
    let is_closed = |e: &io::Error| {
        matches!(
            e.kind(),
            ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
        )
    };
    result.as_ref().is_err_and(is_closed)
}

/// Classifies the result of a request as evidence of the health of the link.
fn outcome(result: &io::Result<PeerReply>) -> CallOutcome {
    match result {
        Ok(_) => CallOutcome::Answered,
        Err(e) if is_timeout(e) => CallOutcome::Failed(CallFailure::NoAnswer),
        Err(_) => CallOutcome::Failed(CallFailure::Unreachable),
    }
}
