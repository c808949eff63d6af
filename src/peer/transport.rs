//! What carries requests to one other controller: TCP in production, the simulated network in the simulation.

use super::wire::{PeerReply, PeerRequest};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Sends requests to one other controller.
pub trait PeerTransport: Send + Sync {
    /// Sends a request and blocks until its reply has arrived, or `timeout` is over.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TimedOut`] or [`ErrorKind::WouldBlock`] if there is no reply in time; other kinds if
    /// there is no connection, or the peer closed it without a reply. The request may have been
    /// executed in each case.
    fn call(&self, request: &PeerRequest, timeout: Duration) -> io::Result<PeerReply>;
}

/// True if a reply did not arrive in time, false if the connection failed.
pub(super) fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
