//! The HTTP server: one event loop and a small thread pool serve any number of connections.
//!
//! Each worker and each user keeps a connection open. One thread per connection would exceed the number of
//! threads that a process may have, so idle connections are *parked*: they wait in an epoll set without a
//! thread. The event loop reads the bytes that arrive and answers requests that need no blocking call. Requests
//! that may block are passed to the thread pool, which grows on demand up to a limit. A slow or silent client
//! occupies its connection for a bounded time, and never occupies a thread.
//!
//! Hundreds of low-priority requests can arrive at the same time, for example heartbeats after a network
//! partition has healed. With a small CPU share each of them takes milliseconds, and any other request would
//! wait for all of them. Connections with low-priority requests are therefore polled in a separate set, and only
//! a few of them are served between two polls of the other set.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `event_loop` | polls, dispatches events, triggers the closing of expired connections |
//! | `acceptor` | accepts new connections |
//! | `connection` | the state of one connection |
//! | `connection_table` | all open connections: parking, closing, timeouts |
//! | `poll_sets` | the two epoll sets |
//! | `exchange` | reads requests and writes responses on one connection |
//! | `response_encoder` | encodes responses |
//! | `thread_pool` | threads for requests that may block, and their queue |
//! | `metrics` | counters of connections and rejected requests |
//! | `limits`, `mutex` | limits and locking, shared by the other modules |

#![warn(missing_docs)]

mod acceptor;
mod connection;
mod connection_table;
mod event_loop;
mod exchange;
mod limits;
mod metrics;
mod mutex;
mod poll_sets;
mod response_encoder;
mod thread_pool;

pub use super::handler::{Handler, RequestPriority};
pub use super::message::{Request, Response};
pub use limits::ServerLimits;
pub use metrics::ServerMetrics;

use crate::os::System;
use connection_table::ConnectionTable;
use event_loop::EventLoop;
use exchange::Server;
use poll_sets::PollSets;
use std::net::TcpListener;
use std::sync::Arc;
use thread_pool::ThreadPool;

/// Serves the connections of `listener`. Returns only if polling fails.
///
/// The calling thread runs the event loop. Connections above the limit get status 503 with a `Retry-After`
/// header. `metrics` always holds the number of open connections, for other modules that need file
/// descriptors of the same process.
///
/// # Errors
///
/// An I/O error if the listening socket can't be made non-blocking, or if the epoll sets can't be created or
/// polled.
pub fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    os: Arc<System>,
    limits: ServerLimits,
    metrics: Arc<ServerMetrics>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let poll_sets = PollSets::new(&listener)?;
    let server = Server {
        handler,
        os,
        connections: ConnectionTable::new(poll_sets, limits, metrics),
        pool: ThreadPool::new(limits),
    };
    EventLoop::new(Arc::new(server), listener).run()
}
