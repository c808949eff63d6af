//! The state of one connection.
//!
//! A connection's state always has exactly one owner: the [connection table](super::connection_table) while the
//! connection is parked, otherwise the thread that serves it, as an [`ActiveConnection`].

use super::poll_sets::{ConnectionId, Interest};
use crate::http::handler::RequestPriority;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// Buffers and deadlines of a connection.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Received bytes that are not part of an answered request.
    pub(super) read_buffer: Vec<u8>,
    /// Bytes of a response that the socket has not accepted yet.
    pub(super) write_buffer: Vec<u8>,
    /// Whether the connection is closed after the response has been sent.
    pub(super) close_after_response: bool,
    /// Whether the request was rejected. Further bytes from the client are then discarded until the client closes
    /// the connection: closing the socket with unread bytes would reset the connection and lose the response.
    pub(super) lingering_close: bool,
    /// Time at which the last response was sent, or the connection was accepted.
    pub(super) idle_since: Option<Instant>,
    /// Time at which the first bytes of an incomplete request arrived, or the rest of a response was buffered.
    pub(super) incomplete_since: Option<Instant>,
}

impl ConnectionState {
    /// The state of a connection that was accepted at `now`.
    pub(super) fn accepted(now: Instant) -> Self {
        ConnectionState {
            idle_since: Some(now),
            ..ConnectionState::default()
        }
    }

    /// Number of bytes in both buffers.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.read_buffer.len() + self.write_buffer.len()
    }

    /// The event that the connection has to wait for.
    pub(super) fn interest(&self) -> Interest {
        if self.write_buffer.is_empty() {
            Interest::Readable
        } else {
            Interest::Writable
        }
    }

    /// Prepares the state for parking: frees the memory of empty buffers, since thousands of connections may be
    /// parked, and starts the timeout of an incomplete request or response.
    pub(super) fn prepare_to_park(&mut self) {
        let is_empty = self.buffered_bytes() == 0;
        if is_empty {
            (self.read_buffer, self.write_buffer) = (Vec::new(), Vec::new());
        }
        if is_empty && !self.lingering_close {
            self.incomplete_since = None;
        } else {
            self.incomplete_since.get_or_insert_with(Instant::now);
        }
    }
}

/// An entry of the connection table: an open connection.
pub(super) struct Connection {
    pub(super) stream: Arc<TcpStream>,
    /// Priority of the latest request. It determines the poll set of the connection.
    pub(super) priority: RequestPriority,
    /// The event that the poll set waits for; `None` while the connection is in no poll set.
    pub(super) registered: Option<Interest>,
    /// The state of a parked connection; `None` while a thread serves the connection.
    pub(super) parked: Option<ConnectionState>,
}

/// A connection that is served by a thread, with its state.
pub(super) struct ActiveConnection {
    pub(super) id: ConnectionId,
    pub(super) stream: Arc<TcpStream>,
    pub(super) priority: RequestPriority,
    pub(super) state: ConnectionState,
}
