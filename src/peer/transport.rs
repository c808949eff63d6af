//! Interface of the transport for requests to one other controller: TCP in production, a simulated network in the
//! simulation.

use super::wire::{PeerReply, PeerRequest};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Transport for requests to one other controller.
pub trait PeerTransport: Send + Sync {
    /// Sends a request and blocks until its reply has arrived or `timeout` has passed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TimedOut`] or [`ErrorKind::WouldBlock`] if no reply arrives in time; other kinds if no connection
    /// can be made, or the peer closes it without a reply. In each case the request may have been executed.
    fn call(&self, request: &PeerRequest, timeout: Duration) -> io::Result<PeerReply>;
}

/// Returns true if the error is a timeout, false if the connection failed.
pub(super) fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
