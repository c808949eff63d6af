//! The state of one connection.
//!
//! At any time a connection's state has one owner: the [connection table](super::connection_table) while
//! the connection is parked, or the thread that works on it, as an [`ActiveConnection`].

use super::poll_sets::{ConnectionId, Interest};
use crate::http::handler::RequestPriority;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// Buffers and deadlines of a connection.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Bytes that were received and belong to no answered request.
    pub(super) read_buffer: Vec<u8>,
    /// Bytes of a response that the socket has not accepted.
    pub(super) write_buffer: Vec<u8>,
    /// The connection is closed once the response is sent.
    pub(super) close_after_response: bool,
    /// The request was rejected: what the client still sends is discarded until it closes. If the
    /// socket were closed with unread bytes, the connection would be reset and the response lost.
    pub(super) lingering_close: bool,
    /// When the last response was sent, or the connection accepted.
    pub(super) idle_since: Option<Instant>,
    /// When the first byte of an incomplete request arrived, or the rest of a response was buffered.
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

    /// The bytes that both buffers hold.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.read_buffer.len() + self.write_buffer.len()
    }

    /// What has to happen before work on the connection can go on.
    pub(super) fn interest(&self) -> Interest {
        if self.write_buffer.is_empty() {
            Interest::Readable
        } else {
            Interest::Writable
        }
    }

    /// Prepares the state for parking: frees empty buffers, since thousands of connections are parked,
    /// and starts the timeout of an incomplete request or response.
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

/// An open connection, as the connection table knows it.
pub(super) struct Connection {
    pub(super) stream: Arc<TcpStream>,
    /// The priority of its latest request, which decides in which poll set it is.
    pub(super) priority: RequestPriority,
    /// What its poll set waits for; `None` while it is in no poll set.
    pub(super) registered: Option<Interest>,
    /// Its state; `None` while a thread works on the connection.
    pub(super) parked: Option<ConnectionState>,
}

/// A connection that a thread works on, with its state.
pub(super) struct ActiveConnection {
    pub(super) id: ConnectionId,
    pub(super) stream: Arc<TcpStream>,
    pub(super) priority: RequestPriority,
    pub(super) state: ConnectionState,
}
