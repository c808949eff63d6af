//! The server: one small thread a connection, under a cap, with bounded time and memory each.

use super::{MAX_BODY, MAX_HEAD};
use crate::time::{Clock, Moment};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Stack of a connection's thread; only touched pages count.
pub const STACK: usize = 256 * 1024;
/// A request must be complete this long after its first byte.
const REQUEST_TIME: Duration = Duration::from_secs(5);
/// A connection without a request is closed after this long.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// While most of the connections are taken, idle ones go sooner, before new ones are refused.
/// Longer than workers and users are silent in between.
const SCARCE_IDLE_TIME: Duration = Duration::from_secs(10);
const MAX_HEADERS: usize = 48;

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    /// The answer may only leave before this moment: after it the lead may be another's.
    pub valid_until: Option<Moment>,
}

impl Response {
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            body,
            ..Response::default()
        }
    }

    /// A refusal that tells at once when to come back.
    pub fn busy(retry_after_s: u32) -> Self {
        Response {
            status: 503,
            retry_after_s: Some(retry_after_s),
            ..Response::default()
        }
    }
}

/// What answers requests.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: Request) -> Response;
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Accepts for ever. Connections beyond `cap` are told to come back, in bounded time.
pub fn serve(listener: TcpListener, handler: Arc<dyn Handler>, clock: Arc<Clock>, cap: usize) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of sockets, mostly: waiting lets others close theirs.
                log::info!("accept failed: {e}");
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
        };
        if open.fetch_add(1, Ordering::Relaxed) >= cap {
            open.fetch_sub(1, Ordering::Relaxed);
            let mut stream = stream;
            let _ = stream.set_nonblocking(true);
            let _ = stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
            continue;
        }
        let (handler, clock, count) = (handler.clone(), clock.clone(), open.clone());
        let spawned = std::thread::Builder::new()
            .stack_size(STACK)
            .spawn(move || {
                struct Leave(Arc<AtomicUsize>);
                impl Drop for Leave {
                    fn drop(&mut self) {
                        self.0.fetch_sub(1, Ordering::Relaxed);
                    }
                }
                let scarce = {
                    let count = count.clone();
                    move || count.load(Ordering::Relaxed) * 4 > cap * 3
                };
                let _leave = Leave(count);
                connection(stream, handler.as_ref(), &clock, &scarce);
            });
        if let Err(e) = spawned {
            open.fetch_sub(1, Ordering::Relaxed);
            log::info!("no thread for a connection: {e}");
        }
    }
}

enum Read1 {
    Request { request: Request, close: bool },
    Refuse(u16),
    Gone,
}

fn connection(
    mut stream: TcpStream,
    handler: &dyn Handler,
    clock: &Clock,
    scarce: &dyn Fn() -> bool,
) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(REQUEST_TIME));
    let _ = stream.set_write_timeout(Some(REQUEST_TIME));
    let mut buf = Vec::new();
    loop {
        let (response, close) = match read_request(&mut stream, &mut buf, scarce) {
            Read1::Request { request, close } => (handler.handle(request), close),
            Read1::Refuse(status) => (Response::new(status, Vec::new()), true),
            Read1::Gone => return,
        };
        let response = match response.valid_until {
            Some(until) if clock.now() >= until => Response::busy(1),
            _ => response,
        };
        let retry = match response.retry_after_s {
            Some(s) => format!("Retry-After: {s}\r\n"),
            None => String::new(),
        };
        let mut out = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n{}{}\r\n",
            response.status,
            reason(response.status),
            response.body.len(),
            retry,
            if close { "Connection: close\r\n" } else { "" },
        )
        .into_bytes();
        out.extend_from_slice(&response.body);
        if stream.write_all(&out).is_err() || close {
            return;
        }
    }
}

fn idle(scarce: bool) -> Duration {
    if scarce { SCARCE_IDLE_TIME } else { IDLE_TIME }
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>, scarce: &dyn Fn() -> bool) -> Read1 {
    let waiting_since = Instant::now();
    let mut begun: Option<Instant> = (!buf.is_empty()).then(Instant::now);
    let mut chunk = [0u8; 4096];
    loop {
        if !buf.is_empty() {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(buf) {
                Ok(httparse::Status::Complete(start)) => {
                    let (method, path) = (
                        head.method.unwrap_or("").to_string(),
                        head.path.unwrap_or("").to_string(),
                    );
                    let mut length = None;
                    let mut close = head.version == Some(0);
                    for h in head.headers.iter() {
                        if h.name.eq_ignore_ascii_case("content-length") {
                            let n = std::str::from_utf8(h.value)
                                .ok()
                                .and_then(|v| v.trim().parse::<usize>().ok());
                            match n {
                                Some(n) if length.is_none_or(|l| l == n) => length = Some(n),
                                _ => return Read1::Refuse(400),
                            }
                        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                            return Read1::Refuse(411);
                        } else if h.name.eq_ignore_ascii_case("connection") {
                            close |= h.value.eq_ignore_ascii_case(b"close");
                        }
                    }
                    let length = length.unwrap_or(0);
                    if length > MAX_BODY {
                        return Read1::Refuse(413);
                    }
                    while buf.len() < start + length {
                        match more(stream, buf, &mut chunk, begun) {
                            Some(true) => {}
                            _ => return Read1::Gone,
                        }
                    }
                    let body = buf[start..start + length].to_vec();
                    buf.drain(..start + length);
                    if buf.is_empty() && buf.capacity() > 16 * 1024 {
                        *buf = Vec::new();
                    }
                    let request = Request { method, path, body };
                    return Read1::Request { request, close };
                }
                Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => {
                    return Read1::Refuse(431);
                }
                Ok(httparse::Status::Partial) => {}
                Err(httparse::Error::TooManyHeaders) => return Read1::Refuse(431),
                Err(_) => return Read1::Refuse(400),
            }
        }
        match more(stream, buf, &mut chunk, begun) {
            Some(true) => {
                begun.get_or_insert_with(Instant::now);
            }
            Some(false) if begun.is_none() && waiting_since.elapsed() < idle(scarce()) => {}
            _ => return Read1::Gone,
        }
    }
}

/// Some(true): more bytes; Some(false): nothing for a while; None: over.
fn more(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    chunk: &mut [u8],
    begun: Option<Instant>,
) -> Option<bool> {
    if begun.is_some_and(|b| b.elapsed() >= REQUEST_TIME) {
        return None;
    }
    match stream.read(chunk) {
        Ok(0) => None,
        Ok(n) => {
            buf.extend_from_slice(&chunk[..n]);
            Some(true)
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Some(false),
        Err(e) if e.kind() == ErrorKind::Interrupted => Some(true),
        Err(_) => None,
    }
}
