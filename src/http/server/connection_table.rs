//! All open connections of a server: which are parked, what they buffer, and when they expire.

use super::connection::{ActiveConnection, Connection, ConnectionState};
use super::limits::ServerLimits;
use super::mutex::lock;
use super::poll_sets::{ConnectionId, Interest, PollSets};
use crate::http::handler::RequestPriority;
use rustix::io::Errno;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request must be complete, and a response sent, this long after it began.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection without a request is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The idle timeout while most of the allowed connections are open, so that idle ones are closed before
/// new ones are refused. Longer than workers and users are silent between two requests.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The open connections. Invariant: `open_connections` equals the number of entries, and `buffered_bytes`
/// the sum over the parked ones, whenever no thread is inside a method.
pub(super) struct ConnectionTable {
    pub(super) poll_sets: PollSets,
    limits: ServerLimits,
    connections: Mutex<HashMap<ConnectionId, Connection>>,
    open_connections: Arc<AtomicUsize>,
    buffered_bytes: AtomicUsize,
}

impl ConnectionTable {
    pub(super) fn new(
        poll_sets: PollSets,
        limits: ServerLimits,
        open_connections: Arc<AtomicUsize>,
    ) -> Self {
        ConnectionTable {
            poll_sets,
            limits,
            connections: Mutex::default(),
            open_connections,
            buffered_bytes: AtomicUsize::new(0),
        }
    }

    /// Whether as many connections are open as are allowed.
    pub(super) fn is_full(&self) -> bool {
        self.open_connections.load(Ordering::Relaxed) >= self.limits.max_connections
    }

    /// Parks a new connection. It is closed if it can't be polled.
    pub(super) fn insert(&self, id: ConnectionId, stream: TcpStream) {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        let mut connection = Connection {
            stream: Arc::new(stream),
            priority: RequestPriority::Normal,
            registered: None,
            parked: Some(ConnectionState::accepted(Instant::now())),
        };
        let mut connections = lock(&self.connections);
        // Under the lock: an event of this connection must find its entry.
        match self.register(id, &mut connection, Interest::Readable) {
            Ok(()) => drop(connections.insert(id, connection)),
            Err(error) => {
                log_poll_failure(error);
                self.open_connections.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    /// Hands a parked connection, on which something happened, to the calling thread. `None` if it is
    /// closed, or if another thread works on it: then it leaves its poll set until it is parked again.
    /// That happens when a client pipelines requests or closes before it has its response.
    pub(super) fn activate(&self, id: ConnectionId) -> Option<ActiveConnection> {
        let active = {
            let mut connections = lock(&self.connections);
            let connection = connections.get_mut(&id)?;
            let Some(state) = connection.parked.take() else {
                self.unregister(connection);
                return None;
            };
            ActiveConnection {
                id,
                stream: connection.stream.clone(),
                priority: connection.priority,
                state,
            }
        };
        let buffered = active.state.buffered_bytes();
        self.buffered_bytes.fetch_sub(buffered, Ordering::Relaxed);
        Some(active)
    }

    /// Parks a connection until its socket is ready again. It is closed instead if its buffers would
    /// exceed the limit of all connections together, or if it can't be polled.
    pub(super) fn park(&self, active: ActiveConnection) {
        let ActiveConnection { id, mut state, .. } = active;
        state.prepare_to_park();
        let own_bytes = state.buffered_bytes();
        let interest = state.interest();
        let others = self.buffered_bytes.fetch_add(own_bytes, Ordering::Relaxed);
        let is_within_limit =
            own_bytes == 0 || others + own_bytes <= self.limits.max_buffered_bytes;
        let mut connections = lock(&self.connections);
        let Some(connection) = connections.get_mut(&id) else {
            return;
        };
        connection.parked = Some(state);
        if !is_within_limit || !self.await_interest(id, connection, interest) {
            connections.remove(&id);
            self.buffered_bytes.fetch_sub(own_bytes, Ordering::Relaxed);
            self.open_connections.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Closes a connection. Its socket is closed when `active` is dropped.
    pub(super) fn close(&self, active: &ActiveConnection) {
        if lock(&self.connections).remove(&active.id).is_some() {
            self.open_connections.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Moves a connection to the poll set of `priority`, from when it is parked.
    pub(super) fn set_priority(&self, id: ConnectionId, priority: RequestPriority) {
        let mut connections = lock(&self.connections);
        let Some(connection) = connections.get_mut(&id) else {
            return;
        };
        if connection.priority != priority {
            self.unregister(connection);
            connection.priority = priority;
        }
    }

    /// Closes the parked connections whose request, response or idle time has timed out at `now`.
    pub(super) fn close_expired(&self, now: Instant) {
        let idle_timeout = self.idle_timeout();
        let mut connections = lock(&self.connections);
        let before = connections.len();
        connections.retain(|_, connection| {
            let Some(state) = &connection.parked else {
                return true;
            };
            let expired = is_expired(state, idle_timeout, now);
            if expired {
                let buffered = state.buffered_bytes();
                self.buffered_bytes.fetch_sub(buffered, Ordering::Relaxed);
            }
            !expired
        });
        let closed = before - connections.len();
        self.open_connections.fetch_sub(closed, Ordering::Relaxed);
    }

    /// Connections are scarce once more than three quarters of those allowed are open.
    fn idle_timeout(&self) -> Duration {
        let open = self.open_connections.load(Ordering::Relaxed);
        if open * 4 > self.limits.max_connections * 3 {
            SCARCE_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        }
    }

    /// Has the poll set wait for `interest`; false if that fails. The usual case, a connection that
    /// waits for requests before and after, needs no system call.
    fn await_interest(
        &self,
        id: ConnectionId,
        connection: &mut Connection,
        interest: Interest,
    ) -> bool {
        let unchanged = connection.registered == Some(Interest::Readable);
        if unchanged && interest == Interest::Readable {
            return true;
        }
        let registration = self.register(id, connection, interest);
        registration.inspect_err(|e| log_poll_failure(*e)).is_ok()
    }

    /// Adds a connection to its poll set, or changes what it waits for there.
    fn register(
        &self,
        id: ConnectionId,
        connection: &mut Connection,
        interest: Interest,
    ) -> Result<(), Errno> {
        let (priority, stream) = (connection.priority, &*connection.stream);
        match connection.registered.replace(interest) {
            None => self.poll_sets.add(priority, id, stream, interest),
            Some(_) => self.poll_sets.modify(priority, id, stream, interest),
        }
    }

    /// Removes a connection from its poll set, if it is in one.
    fn unregister(&self, connection: &mut Connection) {
        if connection.registered.take().is_some() {
            self.poll_sets
                .remove(connection.priority, &connection.stream);
        }
    }
}

fn is_expired(state: &ConnectionState, idle_timeout: Duration, now: Instant) -> bool {
    match (state.incomplete_since, state.idle_since) {
        (Some(began), _) => now - began >= REQUEST_TIMEOUT,
        (None, Some(since)) => now - since >= idle_timeout,
        (None, None) => true,
    }
}

fn log_poll_failure(error: Errno) {
    log::info!(error:%; "connection not pollable");
}
