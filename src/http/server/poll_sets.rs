//! The two epoll sets of a server: one for connections of normal priority, one for those of low priority.

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
/// The id of the first connection. Event data from this value on are connection ids.
pub(super) const FIRST_CONNECTION_ID: ConnectionId = ConnectionId(2);

/// Identifies a connection. Ids are not reused while the server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ConnectionId(pub(super) u64);

/// The event that a connection waits for in its poll set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interest {
    /// The socket has bytes of a request, or the end of the stream.
    Readable,
    /// The socket's send buffer has space for the rest of a response.
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

/// The source of an event of the normal set.
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

/// The id of the connection to which an event of the low-priority set belongs.
pub(super) fn connection_of(event: &epoll::Event) -> ConnectionId {
    ConnectionId(event.data.u64())
}

/// Both epoll sets. The normal set also contains the listening socket and the low-priority set, so that waiting for
/// the normal set waits for all events.
pub(super) struct PollSets {
    normal: OwnedFd,
    low_priority: OwnedFd,
}

impl PollSets {
    /// Creates both sets, and adds `listener` to the normal one.
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

    /// Adds a connection to the set of `priority`. It must be in neither set.
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

    /// Changes the event that a connection in the set of `priority` waits for.
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

    /// Removes a connection from the set of `priority`. Errors are ignored, since closing the socket also removes it.
    pub(super) fn remove(&self, priority: RequestPriority, stream: &TcpStream) {
        let _ = epoll::delete(self.set(priority), stream);
    }

    /// Waits until the set of `priority` has events, at most for `timeout`. Appends them to `events` up to its spare
    /// capacity. An interrupted wait appends none.
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
