//! The two epoll sets of a server: one for connections of normal priority, one for low priority.

use crate::http::handler::RequestPriority;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::io::Errno;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;

/// Event data of the listening socket.
const LISTENER_KEY: u64 = 0;
/// Event data of the low-priority set, which is itself a member of the normal set.
const LOW_PRIORITY_SET_KEY: u64 = 1;
/// Event data from here on are ids of connections.
pub(super) const FIRST_CONNECTION_ID: ConnectionId = ConnectionId(2);

/// Identifies a connection for as long as the server runs; ids are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ConnectionId(pub(super) u64);

/// What a connection waits for in its poll set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interest {
    /// Bytes of a request, or the end of the stream.
    Readable,
    /// Space in the socket's send buffer for the rest of a response.
    Writable,
}

impl Interest {
    fn flags(self) -> EventFlags {
        match self {
            Interest::Readable => EventFlags::IN,
            Interest::Writable => EventFlags::OUT,
        }
    }
}

/// What an event of the normal set is about.
pub(super) enum EventSource {
    Listener,
    LowPrioritySet,
    Connection(ConnectionId),
}

impl EventSource {
    pub(super) fn of(event: &epoll::Event) -> EventSource {
        match event.data.u64() {
            LISTENER_KEY => EventSource::Listener,
            LOW_PRIORITY_SET_KEY => EventSource::LowPrioritySet,
            id => EventSource::Connection(ConnectionId(id)),
        }
    }
}

/// The id of the connection that an event of the low-priority set is about.
pub(super) fn connection_of(event: &epoll::Event) -> ConnectionId {
    ConnectionId(event.data.u64())
}

/// The epoll sets. The normal set also holds the listening socket and the low-priority set, so that
/// waiting for the normal set waits for everything.
pub(super) struct PollSets {
    normal: OwnedFd,
    low_priority: OwnedFd,
}

impl PollSets {
    /// Creates both sets, with `listener` in the normal one.
    pub(super) fn new(listener: &TcpListener) -> std::io::Result<Self> {
        let normal = epoll::create(CreateFlags::CLOEXEC)?;
        let low_priority = epoll::create(CreateFlags::CLOEXEC)?;
        let key = EventData::new_u64(LISTENER_KEY);
        epoll::add(&normal, listener, key, EventFlags::IN)?;
        let key = EventData::new_u64(LOW_PRIORITY_SET_KEY);
        epoll::add(&normal, &low_priority, key, EventFlags::IN)?;
        Ok(PollSets {
            normal,
            low_priority,
        })
    }

    fn set(&self, priority: RequestPriority) -> &OwnedFd {
        match priority {
            RequestPriority::Normal => &self.normal,
            RequestPriority::Low => &self.low_priority,
        }
    }

    /// Adds a connection that is in neither set.
    pub(super) fn add(
        &self,
        priority: RequestPriority,
        id: ConnectionId,
        stream: &TcpStream,
        interest: Interest,
    ) -> Result<(), Errno> {
        let key = EventData::new_u64(id.0);
        epoll::add(self.set(priority), stream, key, interest.flags())
    }

    /// Changes what a connection of the set waits for.
    pub(super) fn modify(
        &self,
        priority: RequestPriority,
        id: ConnectionId,
        stream: &TcpStream,
        interest: Interest,
    ) -> Result<(), Errno> {
        let key = EventData::new_u64(id.0);
        epoll::modify(self.set(priority), stream, key, interest.flags())
    }

    /// Removes a connection from its set. A failure is ignored: closing the socket removes it as well.
    pub(super) fn remove(&self, priority: RequestPriority, stream: &TcpStream) {
        let _ = epoll::delete(self.set(priority), stream);
    }

    /// Waits until the set has events, for `timeout` at the longest, and appends as many as `events` has
    /// spare capacity for. An interrupted wait yields none.
    pub(super) fn wait(
        &self,
        priority: RequestPriority,
        events: &mut Vec<epoll::Event>,
        timeout: &Timespec,
    ) -> std::io::Result<()> {
        let spare = rustix::buffer::spare_capacity(events);
        match epoll::wait(self.set(priority), spare, Some(timeout)) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}
