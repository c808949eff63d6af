//! Requests and responses on one connection: reading, dispatching and writing.
//!
//! Methods that return `Option<ActiveConnection>` return the connection if the caller continues to serve it, and
//! `None` if it was parked, closed or passed to the thread pool.

use super::connection::ActiveConnection;
use super::connection_table::ConnectionTable;
use super::poll_sets::ConnectionId;
use super::response_encoder::encode_response;
use super::thread_pool::{QueuedRequest, ThreadPool};
use crate::http::handler::Handler;
use crate::http::message::{Request, Response};
use crate::http::request_parser::{ParseOutcome, ParsedRequest, next_request};
use crate::os::{Os, System};
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Maximum number of bytes read from a connection in one turn.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Value of `Retry-After` in responses that the server itself generates.
const RETRY_AFTER_S: u32 = 1;

/// Runs a handler. `None` if it panicked: a bug in the code for one request must not end a thread that serves all
/// connections.
fn catch_panic<T>(handle: impl FnOnce() -> T) -> Option<T> {
    std::panic::catch_unwind(AssertUnwindSafe(handle)).ok()
}

/// The response if there is no valid response of the handler.
fn unavailable() -> Response {
    Response::busy(RETRY_AFTER_S)
}

/// The server state that the event loop and the thread pool share.
pub(super) struct Server {
    pub(super) handler: Arc<dyn Handler>,
    pub(super) os: Arc<System>,
    pub(super) connections: ConnectionTable,
    pub(super) pool: ThreadPool,
}

impl Server {
    /// Continues to serve a connection whose socket is ready.
    pub(super) fn serve_ready(self: &Arc<Self>, id: ConnectionId) {
        let Some(connection) = self.connections.activate(id) else {
            return;
        };
        if connection.state.write_buffer.is_empty() {
            self.read_available(connection);
        } else {
            self.continue_response(connection);
        }
    }

    fn read_available(self: &Arc<Self>, mut connection: ActiveConnection) {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        match (&*connection.stream).read(&mut chunk) {
            Ok(0) => self.connections.close(&connection),
            Ok(_) if connection.state.lingering_close => self.connections.park(connection),
            Ok(received) => {
                let read_buffer = &mut connection.state.read_buffer;
                read_buffer.extend_from_slice(&chunk[..received]);
                self.process_requests(connection);
            }
            Err(error) if is_transient(error.kind()) => self.connections.park(connection),
            Err(_) => self.connections.close(&connection),
        }
    }

    /// Sends the rest of a response, then processes the requests that are already buffered.
    fn continue_response(self: &Arc<Self>, connection: ActiveConnection) {
        if let Some(connection) = self.flush(connection) {
            self.process_requests(connection);
        }
    }

    /// Answers the complete requests in the read buffer one after the other, then parks the connection.
    fn process_requests(self: &Arc<Self>, mut connection: ActiveConnection) {
        loop {
            let processed = match next_request(&mut connection.state.read_buffer) {
                ParseOutcome::Incomplete => return self.connections.park(connection),
                ParseOutcome::Rejected(error) => self.reject(connection, error.status()),
                ParseOutcome::Complete(parsed) => self.dispatch(connection, parsed),
            };
            match processed {
                Some(next) => connection = next,
                None => return,
            }
        }
    }

    /// Answers an invalid request, and ends the connection: the position of the next request in the buffer is
    /// unknown.
    fn reject(&self, mut connection: ActiveConnection, status: u16) -> Option<ActiveConnection> {
        connection.state.lingering_close = true;
        connection.state.read_buffer = Vec::new();
        self.send_response(connection, Response::new(status, Vec::new()), true)
    }

    /// Answers a request, or passes it to the thread pool if answering it may block.
    fn dispatch(
        self: &Arc<Self>,
        mut connection: ActiveConnection,
        parsed: ParsedRequest,
    ) -> Option<ActiveConnection> {
        let ParsedRequest { request, close } = parsed;
        self.update_priority(&mut connection, &request);
        let close = close || !self.connections.is_kept_open(connection.priority);
        let response = match catch_panic(|| self.handler.handle_without_blocking(request)) {
            Some(Ok(response)) => response,
            Some(Err(request)) => {
                let queued = QueuedRequest {
                    connection,
                    request,
                    close,
                    queued_at: Instant::now(),
                };
                let server = self.clone();
                let run_thread = move || server.run_pool_thread();
                connection = self.pool.enqueue(queued, run_thread)?;
                self.connections
                    .metrics
                    .rejected_requests
                    .fetch_add(1, Ordering::Relaxed);
                unavailable()
            }
            None => unavailable(),
        };
        self.send_response(connection, response, close)
    }

    /// Runs a pool thread: answers queued requests until the thread's idle timeout.
    fn run_pool_thread(self: &Arc<Self>) {
        while let Some(queued) = self.pool.next_request() {
            let QueuedRequest {
                connection,
                request,
                close,
                queued_at,
            } = queued;
            self.connections
                .metrics
                .note_queue_wait(queued_at.elapsed());
            let handled = catch_panic(|| self.handler.handle(request));
            let response = handled.unwrap_or_else(unavailable);
            self.connections.metrics.note_response(queued_at.elapsed());
            if let Some(connection) = self.send_response(connection, response, close) {
                self.process_requests(connection);
            }
        }
    }

    fn update_priority(&self, connection: &mut ActiveConnection, request: &Request) {
        let priority = self.handler.priority(request);
        if priority != connection.priority {
            connection.priority = priority;
            self.connections.set_priority(connection.id, priority);
        }
    }

    /// Encodes a response and sends as much of it as the socket accepts. A response that is no longer valid is
    /// replaced by status 503.
    fn send_response(
        &self,
        mut connection: ActiveConnection,
        response: Response,
        close: bool,
    ) -> Option<ActiveConnection> {
        let response = match response.valid_until {
            Some(valid_until) if self.os.now() >= valid_until => unavailable(),
            _ => response,
        };
        connection.state.write_buffer = encode_response(&response, close);
        connection.state.close_after_response = close;
        connection.state.incomplete_since = None;
        self.flush(connection)
    }

    /// Sends as much of the write buffer as the socket accepts. Parks the connection if bytes are left.
    fn flush(&self, mut connection: ActiveConnection) -> Option<ActiveConnection> {
        let mut sent = 0;
        while sent < connection.state.write_buffer.len() {
            match (&*connection.stream).write(&connection.state.write_buffer[sent..]) {
                Ok(accepted) if accepted > 0 => sent += accepted,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    connection.state.write_buffer.drain(..sent);
                    self.connections.park(connection);
                    return None;
                }
                _ => {
                    self.connections.close(&connection);
                    return None;
                }
            }
        }
        self.finish_response(connection)
    }

    /// Resets the state after a response has been sent completely. The connection then stays open or is closed.
    fn finish_response(&self, mut connection: ActiveConnection) -> Option<ActiveConnection> {
        let state = &mut connection.state;
        state.write_buffer = Vec::new();
        state.incomplete_since = None;
        state.idle_since = Some(Instant::now());
        if state.lingering_close {
            let _ = connection.stream.shutdown(Shutdown::Write);
            self.connections.park(connection);
            return None;
        }
        if state.close_after_response {
            self.connections.close(&connection);
            return None;
        }
        Some(connection)
    }
}

/// Whether a failed read can succeed later.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
