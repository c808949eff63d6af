//! Accepts new connections of the listening socket.

use super::connection_table::ConnectionTable;
use super::poll_sets::{ConnectionId, FIRST_CONNECTION_ID};
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum number of connections accepted in one turn of the event loop, so that a burst of new connections doesn't
/// delay the open ones.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Pause after an error of `accept`. The usual cause is that the process has no free file descriptor; others may be
/// closed during the pause.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// The response to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Content-Length: 0\r\nConnection: close\r\n\r\n";

/// The listening socket, and the id of the next connection.
pub(super) struct Acceptor {
    listener: TcpListener,
    next_id: ConnectionId,
}

impl Acceptor {
    /// Creates an acceptor. `listener` must be non-blocking.
    pub(super) fn new(listener: TcpListener) -> Self {
        Acceptor {
            listener,
            next_id: FIRST_CONNECTION_ID,
        }
    }

    /// Accepts the connections in the backlog, at most [`MAX_ACCEPTS_PER_TURN`].
    pub(super) fn accept_waiting(&mut self, connections: &ConnectionTable) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.listener.accept() {
                Ok((stream, _)) => self.admit(stream, connections),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::info!(error:%; "accepting a connection failed");
                    std::thread::sleep(ACCEPT_ERROR_PAUSE);
                    return;
                }
            }
        }
    }

    /// Adds a connection to the table, or rejects it if the table is full.
    fn admit(&mut self, mut stream: TcpStream, connections: &ConnectionTable) {
        let _ = stream.set_nonblocking(true);
        if connections.is_full() {
            connections
                .metrics
                .refused_connections
                .fetch_add(1, Ordering::Relaxed);
            let _ = stream.write_all(TOO_MANY_CONNECTIONS);
            return;
        }
        let _ = stream.set_nodelay(true);
        let id = self.next_id;
        self.next_id = ConnectionId(id.0 + 1);
        connections.insert(id, stream);
    }
}
