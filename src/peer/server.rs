//! Server for requests from other controllers, with one thread per connection.

use super::frame::{read_frame, write_frame};
use super::wire::{PeerReply, PeerRequest};
use crate::http::THREAD_STACK_BYTES;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout of writing a reply; after it the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failure to accept a connection, for example because no file descriptors are available.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Function that answers a request. It is called on the thread of the connection.
pub type PeerRequestHandler = Arc<dyn Fn(PeerRequest) -> PeerReply + Send + Sync>;

/// Accepts connections until the process ends. While `max_connections` connections are open, new ones are closed
/// immediately.
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
        // If the thread can't be started, the connection is closed and the peer retries.
        let _ = thread::Builder::new()
            .name("peer-connection".to_string())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || serve_connection(counted, &handler));
    }
}

/// Connection that is counted in `open_connections` until it is dropped.
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

/// Answers requests until the peer closes the connection, sends nothing for [`IDLE_TIMEOUT`], or sends a malformed
/// request.
fn serve_connection(mut connection: CountedConnection, handler: &PeerRequestHandler) {
    let stream = &mut connection.stream;
    // If the connection can't be configured, the first read or write fails.
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    while let Ok(request) = read_frame::<PeerRequest>(stream) {
        if write_frame(stream, &handler(request)).is_err() {
            break;
        }
    }
}
