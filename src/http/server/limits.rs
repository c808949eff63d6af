//! The resource limits of a server.

/// Limits of the resources that a server uses at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further ones get status 503 and are closed.
    pub max_connections: usize,
    /// Maximum number of threads in the thread pool, which runs the handlers that may block.
    pub max_pool_threads: usize,
    /// Maximum number of bytes of incomplete requests and unsent responses. Also, separately, the maximum number of
    /// bytes in the bodies of requests that wait for a pool thread.
    pub max_buffered_bytes: usize,
}
