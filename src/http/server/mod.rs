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
//! | `thread_pool` | threads for requests that may block |

#![warn(missing_docs)]

mod acceptor;
mod connection;
mod connection_table;
mod event_loop;
mod exchange;
mod poll_sets;
mod response_encoder;
mod thread_pool;

pub use super::handler::{Handler, RequestPriority};
pub use super::message::{Request, Response};

use crate::os::System;
use connection_table::ConnectionTable;
use event_loop::EventLoop;
use poll_sets::PollSets;
use std::net::TcpListener;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard};
use thread_pool::ThreadPool;

/// Stack size, in bytes, of a thread that answers requests. Only the pages that are touched cost memory.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Bounds on what a server holds at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Open connections. Further ones get status 503 and are closed.
    pub max_connections: usize,
    /// Threads of the thread pool, which may block in place of the event loop.
    pub max_pool_threads: usize,
    /// Bytes of incomplete requests and of unsent responses; separately, of the bodies of requests
    /// that wait for a pool thread.
    pub max_buffered_bytes: usize,
}

/// What the event loop and the thread pool share.
struct Server {
    handler: Arc<dyn Handler>,
    os: Arc<System>,
    connections: ConnectionTable,
    pool: ThreadPool,
}

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

/// Locks `mutex`, also after another thread panicked while holding it: no holder leaves the guarded
/// value half changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
