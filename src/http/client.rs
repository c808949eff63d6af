//! The client: kept-open connections to one address, each call bounded in time.

use super::MAX_HEAD_BYTES;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Answers larger than this are treated as malformed.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
const MAX_KEPT: usize = 4;

#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, for want of something here: the request was surely not executed.
    #[error("no connection: {0}")]
    Unsent(String),
    /// No connection came about: nothing was sent. Whoever it was meant for is not reached.
    #[error("not reached: {0}")]
    Unreached(String),
    /// The request may have been executed, or may yet be.
    #[error("no answer: {0}")]
    Unknown(String),
}

#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    kept: Mutex<Vec<TcpStream>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Client {
            addr,
            kept: Mutex::new(Vec::new()),
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn kept(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.kept.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let deadline = Instant::now() + timeout;
        let reused = self.kept().pop();
        let mut stream = match reused {
            Some(s) => s,
            None => {
                let s = TcpStream::connect_timeout(&self.addr, timeout).map_err(no_connection)?;
                let _ = s.set_nodelay(true);
                s
            }
        };
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        let _ = stream.set_write_timeout(Some(timeout));
        stream
            .write_all(&out)
            .map_err(|e| CallError::Unknown(e.to_string()))?;
        let (status, body, close) = read_answer(&mut stream, deadline)?;
        if !close {
            let mut kept = self.kept();
            if kept.len() < MAX_KEPT {
                kept.push(stream);
            }
        }
        Ok((status, body))
    }
}

/// Whether it was for this side or for the other that no connection came about.
fn no_connection(e: std::io::Error) -> CallError {
    use ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable};
    match e.kind() {
        ErrorKind::TimedOut
        | ConnectionRefused
        | ConnectionReset
        | HostUnreachable
        | NetworkUnreachable => CallError::Unreached(e.to_string()),
        _ => CallError::Unsent(e.to_string()),
    }
}

fn unknown(text: impl Into<String>) -> CallError {
    CallError::Unknown(text.into())
}

fn read_answer(
    stream: &mut TcpStream,
    deadline: Instant,
) -> Result<(u16, Vec<u8>, bool), CallError> {
    let mut buf: Vec<u8> = Vec::with_capacity(1024);
    let mut chunk = [0u8; 8192];
    let mut more = |buf: &mut Vec<u8>| -> Result<(), CallError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(unknown("timeout"));
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut chunk) {
            Ok(0) => Err(unknown("closed")),
            Ok(n) => {
                buf.extend_from_slice(&chunk[..n]);
                Ok(())
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(()),
            Err(e) => Err(unknown(e.to_string())),
        }
    };
    loop {
        more(&mut buf)?;
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(&buf) {
            Ok(httparse::Status::Complete(start)) => {
                let status = head.code.ok_or_else(|| unknown("no status"))?;
                let mut close = head.version == Some(0);
                let mut length = 0usize;
                for h in head.headers.iter() {
                    if h.name.eq_ignore_ascii_case("content-length") {
                        length = std::str::from_utf8(h.value)
                            .ok()
                            .and_then(|v| v.trim().parse().ok())
                            .ok_or_else(|| unknown("bad length"))?;
                    } else if h.name.eq_ignore_ascii_case("connection") {
                        close |= h.value.eq_ignore_ascii_case(b"close");
                    } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                        return Err(unknown("transfer encoding not supported"));
                    }
                }
                if length > MAX_ANSWER {
                    return Err(unknown("answer too large"));
                }
                while buf.len() < start + length {
                    more(&mut buf)?;
                }
                buf.truncate(start + length);
                let body = buf.split_off(start);
                return Ok((status, body, close));
            }
            Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD_BYTES => {}
            _ => return Err(unknown("malformed answer")),
        }
    }
}
