//! TCP transport for requests to one other controller.

use super::frame::{read_frame, write_frame};
use super::transport::{PeerTransport, is_timeout};
use super::wire::{PeerReply, PeerRequest};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Maximum number of idle connections that are kept for further requests.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Transport to one other controller over TCP, which reuses idle connections.
#[derive(Debug)]
pub struct TcpTransport {
    addr: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl TcpTransport {
    /// Creates a transport to the controller whose peer address is `addr`. The first request opens a connection.
    pub fn new(addr: SocketAddr) -> Self {
        TcpTransport {
            addr,
            idle: Mutex::new(Vec::new()),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sends the request on an open connection, which is kept for reuse if the reply arrives.
    fn call_on(
        &self,
        mut stream: TcpStream,
        request: &PeerRequest,
        timeout: Duration,
    ) -> io::Result<PeerReply> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        write_frame(&mut stream, request)?;
        let reply = read_frame(&mut stream)?;
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
        Ok(reply)
    }
}

impl PeerTransport for TcpTransport {
    /// Sends the request on an idle connection if there is one. The process at its other end may have ended since, so
    /// after an error other than a timeout the request, which may be repeated, is sent again on a new connection.
    fn call(&self, request: &PeerRequest, timeout: Duration) -> io::Result<PeerReply> {
        let idle = self.idle().pop();
        let started_at = Instant::now();
        if let Some(stream) = idle {
            match self.call_on(stream, request, timeout) {
                Err(e) if !is_timeout(&e) => self.idle().clear(),
                result => return result,
            }
        }
        let time_left = timeout.saturating_sub(started_at.elapsed());
        if time_left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        let stream = TcpStream::connect_timeout(&self.addr, time_left)?;
        let _ = stream.set_nodelay(true);
        self.call_on(stream, request, time_left)
    }
}
