//! The limits of a server.

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
