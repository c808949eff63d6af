//! The HTTP server that the stand-ins share.

use aspenreel::http::server::{Handler, ServerLimits, serve};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// Serves requests on a free loopback port until the process ends, and returns the address.
pub fn listen(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = ServerLimits {
        max_connections: 400,
        max_pool_threads: 100,
        max_buffered_bytes: 1 << 24,
    };
    std::thread::spawn(move || serve(listener, handler, Arc::default(), limits, Arc::default()));
    addr
}
