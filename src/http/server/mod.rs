//! The HTTP server: one event loop and a small thread pool serve any number of connections.
//!
//! Each worker of the fleet and each user keeps a connection open. A thread for each connection would
//! exceed the number of threads that a process may have, so idle connections are *parked*: they wait
//! in an epoll set without a thread. The event loop reads what arrives and answers requests that
//! need no blocking call. Requests that may block go to the thread pool, which grows by
//! need up to a bound. A slow or silent client occupies its connection for a bounded time, and never a
//! thread.
//!
//! Hundreds of low-priority requests may be due at the same moment, for example heartbeats after a
//! network partition has healed. On a small share of a processor each costs milliseconds, and any
//! other request would wait for all of them. Connections that carry low-priority requests are therefore
//! polled in a set of their own, and a few of them are served between two polls of the other set.
//!
//! | module | concern |
//! | --- | --- |
//! | `event_loop` | polls, dispatches events, triggers the search for expired connections |
//! | `acceptor` | takes new connections from the listening socket's backlog |
//! | `connection` | the state of one connection |
//! | `connection_table` | all open connections: parking, closing, expiry |
//! | `poll_sets` | the two epoll sets |
//! | `exchange` | reads requests and writes responses on one connection |
//! | `response_encoder` | the bytes of a response |
//! | `thread_pool` | threads for requests that may block, and their queue |
//! | `limits`, `mutex` | what the others share |

#![warn(missing_docs)]

mod acceptor;
mod connection;
mod connection_table;
mod event_loop;
mod exchange;
mod limits;
mod mutex;
mod poll_sets;
mod response_encoder;
mod thread_pool;

pub use super::handler::{Handler, RequestPriority};
pub use super::message::{Request, Response};
pub use limits::ServerLimits;

use crate::os::System;
use connection_table::ConnectionTable;
use event_loop::EventLoop;
use exchange::Server;
use poll_sets::PollSets;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use thread_pool::ThreadPool;

/// Serves `listener` until polling fails; otherwise it never returns.
///
/// The calling thread becomes the event loop. Connections beyond the limit get status 503 with a
/// `Retry-After` header. `open_connections` is kept equal to the number of open connections, for other
/// parts of the process that share its file descriptors.
///
/// # Errors
///
/// An I/O error if the listening socket can't be made non-blocking, or if the epoll sets can't be
/// created or polled.
pub fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    os: Arc<System>,
    limits: ServerLimits,
    open_connections: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let poll_sets = PollSets::new(&listener)?;
    let server = Server {
        handler,
        os,
        connections: ConnectionTable::new(poll_sets, limits, open_connections),
        pool: ThreadPool::new(limits),
    };
    EventLoop::new(Arc::new(server), listener).run()
}
