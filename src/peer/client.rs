//! The client of one other controller: backoff, and observations of the link to it.

use super::transport::{PeerTransport, is_timeout};
use super::wire::{PeerReply, PeerRequest};
use crate::link_health::{CallFailure, CallOutcome, Link, ObservationQueue};
use crate::os::Os;
use crate::time::{Micros, Moment};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// For this long after a status request that timed out a peer gets no further requests. It may be gone; or it
/// is overloaded, and answers to clients that no longer wait would take the processor time that it has left.
const BACKOFF: Micros = Micros::from_secs(1);

/// What became of an exchange of link views with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewExchange {
    /// The peer's encoded view.
    View(Vec<u8>),
    /// The peer answers, but exchanges no views.
    NotOffered,
    /// The peer doesn't answer.
    Failed,
}

/// A client of one other controller, which all threads share.
pub struct PeerClient {
    transport: Arc<dyn PeerTransport>,
    os: Arc<dyn Os>,
    /// When a status request last timed out.
    timed_out_at: Mutex<Option<Moment>>,
    backoff: Micros,
    /// The name of the link, and where it is left what requests show of it, if links are watched.
    observations: Option<(Link, Arc<ObservationQueue>)>,
}

impl PeerClient {
    /// A client of the controller whose peer address is `addr`.
    pub fn new(os: Arc<dyn Os>, addr: SocketAddr) -> Self {
        PeerClient::with_backoff(os, addr, BACKOFF)
    }

    /// A client that sends no requests for `backoff` after one that timed out.
    pub fn with_backoff(os: Arc<dyn Os>, addr: SocketAddr, backoff: Micros) -> Self {
        PeerClient {
            transport: os.peer_transport(addr),
            os,
            timed_out_at: Mutex::new(None),
            backoff,
            observations: None,
        }
    }

    /// The same client, which leaves in `observations` what its requests show of `link`.
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

    /// Sends a request, unless the peer is left alone after a timeout.
    ///
    /// # Errors
    ///
    /// Those of [`PeerTransport::call`]; [`ErrorKind::TimedOut`] at once while the peer is left alone.
    pub fn call(&self, request: &PeerRequest, timeout: Duration) -> io::Result<PeerReply> {
        let sent_at = self.os.now();
        if self.is_backing_off(sent_at) {
            return Err(ErrorKind::TimedOut.into());
        }
        let result = self.transport.call(request, timeout);
        self.record_observation(outcome(&result));
        // Only requests that are answered from memory show that the peer is overloaded: the others wait for
        // the store, and a leader that is slow for its sake can still tell the status of its jobs.
        if matches!(request, PeerRequest::Status { .. })
            && let Err(e) = &result
            && is_timeout(e)
        {
            *self.timed_out_at() = Some(self.os.now());
        }
        result
    }

    /// True if the peer answers a ping now, whatever became of earlier requests.
    pub fn is_reachable(&self, timeout: Duration) -> bool {
        let result = self.transport.call(&PeerRequest::Ping, timeout);
        self.record_observation(outcome(&result));
        result.is_ok()
    }

    /// Sends this controller's encoded view of its links and asks for the peer's.
    pub fn exchange_views(&self, view: Vec<u8>, timeout: Duration) -> ViewExchange {
        let result = self.transport.call(&PeerRequest::Links { view }, timeout);
        match &result {
            // An earlier version closes the connection on a request that it doesn't know. The ping leaves
            // an observation of its own.
            Err(e) if !is_timeout(e) && self.is_reachable(timeout) => {
                return ViewExchange::NotOffered;
            }
            _ => self.record_observation(outcome(&result)),
        }
        match result {
            Ok(PeerReply::Links { view }) => ViewExchange::View(view),
            Ok(_) => ViewExchange::NotOffered,
            Err(_) => ViewExchange::Failed,
        }
    }

    fn timed_out_at(&self) -> MutexGuard<'_, Option<Moment>> {
        self.timed_out_at.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_backing_off(&self, now: Moment) -> bool {
        self.timed_out_at()
            .is_some_and(|timed_out_at| now - timed_out_at < self.backoff)
    }

    fn record_observation(&self, outcome: CallOutcome) {
        if let Some((link, queue)) = &self.observations {
            queue.record(link.clone(), outcome, self.os.now());
        }
    }
}

/// What the result of a request shows of the link.
fn outcome(result: &io::Result<PeerReply>) -> CallOutcome {
    match result {
        Ok(_) => CallOutcome::Answered,
        Err(e) if is_timeout(e) => CallOutcome::Failed(CallFailure::NoAnswer),
        Err(_) => CallOutcome::Failed(CallFailure::Unreachable),
    }
}
