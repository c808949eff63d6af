//! The table of a server's open connections: parking, limits of buffered bytes, and timeouts.

use super::connection::{ActiveConnection, Connection, ConnectionState};
use super::limits::ServerLimits;
use super::metrics::ServerMetrics;
use super::mutex::lock;
use super::poll_sets::{ConnectionId, Interest, PollSets};
use crate::http::handler::RequestPriority;
use rustix::io::Errno;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum time between the first byte and the end of a request, and for sending the rest of a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Idle timeout near the limit of connections, so that idle connections are closed before new ones are rejected. Longer
/// than the time between two requests of a worker or user.
const NEAR_LIMIT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The open connections of a server. Invariant, whenever no thread is inside a method: `metrics` has the number of
/// entries, and of those with low priority, and `buffered_bytes` is the number of bytes that the parked connections
/// buffer.
pub(super) struct ConnectionTable {
    pub(super) poll_sets: PollSets,
    limits: ServerLimits,
    connections: Mutex<HashMap<ConnectionId, Connection>>,
    pub(super) metrics: Arc<ServerMetrics>,
    buffered_bytes: AtomicUsize,
}

impl ConnectionTable {
    pub(super) fn new(
        poll_sets: PollSets,
        limits: ServerLimits,
        metrics: Arc<ServerMetrics>,
    ) -> Self {
        ConnectionTable {
            poll_sets,
            limits,
            connections: Mutex::default(),
            metrics,
            buffered_bytes: AtomicUsize::new(0),
        }
    }

    /// Whether the maximum number of connections is open.
    pub(super) fn is_full(&self) -> bool {
        self.open_connections() >= self.limits.max_connections
    }

    /// Adds and parks a new connection. Closes it if it can't be added to a poll set.
    pub(super) fn insert(&self, id: ConnectionId, stream: TcpStream) {
        self.metrics
            .open_connections
            .fetch_add(1, Ordering::Relaxed);
        let mut connection = Connection {
            stream: Arc::new(stream),
            priority: RequestPriority::Normal,
            registered: None,
            parked: Some(ConnectionState::accepted(Instant::now())),
        };
        let mut connections = lock(&self.connections);
        // The registration happens under the lock, so that the first event of the connection finds its entry.
        match self.register(id, &mut connection, Interest::Readable) {
            Ok(()) => drop(connections.insert(id, connection)),
            Err(error) => {
                log_poll_failure(id, error);
                self.note_removed(&connection);
            }
        }
    }

    /// Passes a parked connection that has an event to the calling thread. `None` if the connection is closed, or if
    /// another thread serves it. In the latter case it is removed from its poll set until it is parked again. This
    /// happens if a client pipelines requests, or closes the connection before it has received its response.
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

    /// Parks a connection until its socket is ready again. Closes it instead if the buffers of all parked connections
    /// together would exceed their limit, or if the poll set can't be updated.
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
            self.buffered_bytes.fetch_sub(own_bytes, Ordering::Relaxed);
            if let Some(removed) = connections.remove(&id) {
                self.note_removed(&removed);
            }
        }
    }

    /// Removes a connection from the table. Its socket is closed when `active` is dropped.
    pub(super) fn close(&self, active: &ActiveConnection) {
        if let Some(removed) = lock(&self.connections).remove(&active.id) {
            self.note_removed(&removed);
        }
    }

    /// Moves a connection to the poll set of `priority`. It is added there when it is parked next.
    pub(super) fn set_priority(&self, id: ConnectionId, priority: RequestPriority) {
        let mut connections = lock(&self.connections);
        let Some(connection) = connections.get_mut(&id) else {
            return;
        };
        if connection.priority != priority {
            self.unregister(connection);
            connection.priority = priority;
            let low_priority = &self.metrics.low_priority_connections;
            match priority {
                RequestPriority::Low => low_priority.fetch_add(1, Ordering::Relaxed),
                RequestPriority::Normal => low_priority.fetch_sub(1, Ordering::Relaxed),
            };
        }
    }

    /// Closes the parked connections whose request, response or idle timeout has expired at `now`.
    pub(super) fn close_expired(&self, now: Instant) {
        let idle_timeout = self.idle_timeout();
        let mut connections = lock(&self.connections);
        connections.retain(|_, connection| {
            let Some(state) = &connection.parked else {
                return true;
            };
            let expired = is_expired(state, idle_timeout, now);
            if expired {
                let buffered = state.buffered_bytes();
                self.buffered_bytes.fetch_sub(buffered, Ordering::Relaxed);
                self.note_removed(connection);
            }
            !expired
        });
    }

    fn open_connections(&self) -> usize {
        self.metrics.open_connections.load(Ordering::Relaxed)
    }

    /// Subtracts a connection that is removed from the table.
    fn note_removed(&self, connection: &Connection) {
        self.metrics
            .open_connections
            .fetch_sub(1, Ordering::Relaxed);
        if connection.priority == RequestPriority::Low {
            self.metrics
                .low_priority_connections
                .fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Whether a connection stays open after a response to a request of this priority.
    ///
    /// Near the limit, connections with low-priority requests are closed after each response. A fleet with more workers
    /// than the server has connections then shares them, and the last quarter stays free for connections of normal
    /// priority and for arriving workers, which can't be told apart before their first request.
    pub(super) fn is_kept_open(&self, priority: RequestPriority) -> bool {
        priority == RequestPriority::Normal || !self.is_near_limit()
    }

    /// Whether more than three quarters of the allowed connections are open.
    fn is_near_limit(&self) -> bool {
        self.open_connections() * 4 > self.limits.max_connections * 3
    }

    /// The present idle timeout, which is shorter near the limit.
    fn idle_timeout(&self) -> Duration {
        if self.is_near_limit() {
            NEAR_LIMIT_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        }
    }

    /// Makes the poll set wait for `interest`. Returns false if that fails. No system call is needed in the usual
    /// case, in which the connection was and is registered for requests.
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
        registration
            .inspect_err(|e| log_poll_failure(id, *e))
            .is_ok()
    }

    /// Adds a connection to its poll set, or changes the event that the set waits for.
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
        (Some(started), _) => now - started >= REQUEST_TIMEOUT,
        (None, Some(since)) => now - since >= idle_timeout,
        (None, None) => true,
    }
}

fn log_poll_failure(id: ConnectionId, error: Errno) {
    log::info!(connection = id.0, error:%; "updating the epoll set failed; connection closed");
}
