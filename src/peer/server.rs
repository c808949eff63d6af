//! The server that answers other controllers: one thread for each connection.

use super::frame::{read_frame, write_frame};
use super::wire::{PeerReply, PeerRequest};
use crate::http::THREAD_STACK_BYTES;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// An idle connection is closed after this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// A peer that takes a reply more slowly than this loses its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The wait after a failure to accept, for example for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Answers a request; called on the thread of the connection.
pub type PeerRequestHandler = Arc<dyn Fn(PeerRequest) -> PeerReply + Send + Sync>;

/// Accepts connections for as long as the process lives. Beyond `max_connections` open ones, new ones are closed at
/// once.
pub fn serve_peers(listener: TcpListener, max_connections: usize, handler: PeerRequestHandler) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_RETRY);
            continue;
        };
        if open_connections.load(Ordering::Relaxed) >= max_connections {
            continue;
        }
        let counted = CountedConnection::open(stream, open_connections.clone());
        let handler = handler.clone();
        // Without a thread the connection is closed, and the peer tries again.
        let _ = thread::Builder::new()
            .name("peer-connection".to_string())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || serve_connection(counted, &handler));
    }
}

/// A connection that counts as open until it is dropped.
struct CountedConnection {
    stream: TcpStream,
    open_connections: Arc<AtomicUsize>,
}

impl CountedConnection {
    fn open(stream: TcpStream, open_connections: Arc<AtomicUsize>) -> CountedConnection {
        open_connections.fetch_add(1, Ordering::Relaxed);
        CountedConnection {
            stream,
            open_connections,
        }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers requests until the peer closes the connection, is silent for too long, or sends something that is no
/// request.
fn serve_connection(mut connection: CountedConnection, handler: &PeerRequestHandler) {
    let stream = &mut connection.stream;
    // A connection that can't be configured fails with the first read or write.
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    while let Ok(request) = read_frame::<PeerRequest>(stream) {
        if write_frame(stream, &handler(request)).is_err() {
            break;
        }
    }
}
