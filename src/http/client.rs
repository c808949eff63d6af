//! The HTTP client: a connection pool for one server, and blocking calls with a timeout.

use super::request_parser::parse_content_length;
use super::{MAX_HEAD_BYTES, MAX_HEADER_FIELDS};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of idle connections that a client keeps for further calls.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum number of bytes read from a connection in one system call.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Initial capacity of a response's buffer in bytes: sufficient for most responses.
const RESPONSE_CAPACITY: usize = 1024;

/// Reasons why a call has no response. The variants distinguish whether the peer may have executed the request.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request was not executed: opening a connection failed for a local reason, such as a lack of file
    /// descriptors.
    #[error("request to {peer} not sent: {source}")]
    NotSent {
        /// The address that was called.
        peer: SocketAddr,
        /// The local error.
        source: io::Error,
    },
    /// The request was not executed: the peer refused the connection or can't be reached.
    #[error("{peer} unreachable: {source}")]
    Unreachable {
        /// The address that was called.
        peer: SocketAddr,
        /// The error of the attempt to connect.
        source: io::Error,
    },
    /// The request may have been executed, or may still be executed later.
    #[error("no response from {peer}: {source}")]
    OutcomeUnknown {
        /// The address that was called.
        peer: SocketAddr,
        /// The error after the connection was opened.
        source: ResponseError,
    },
}

/// Reasons why no response could be read from a connection.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The deadline passed.
    #[error("timeout")]
    TimedOut,
    /// The peer closed the connection before the response was complete.
    #[error("connection closed")]
    ConnectionClosed,
    /// Sending the request or receiving the response failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The head is not that of an HTTP response.
    #[error("malformed head: {0}")]
    MalformedHead(#[source] httparse::Error),
    /// The head is larger than [`MAX_HEAD_BYTES`].
    #[error("head larger than {MAX_HEAD_BYTES} bytes")]
    HeadTooLarge,
    /// The status line has no status code.
    #[error("no status code")]
    MissingStatus,
    /// `Content-Length` is not a number.
    #[error("invalid Content-Length")]
    InvalidContentLength,
    /// The body has a transfer encoding; only bodies with `Content-Length` are read.
    #[error("transfer encoding not supported")]
    TransferEncoding,
    /// The body is larger than the maximum size of a response body.
    #[error("body of {length} bytes, larger than {MAX_RESPONSE_BODY_BYTES}")]
    BodyTooLarge {
        /// Value of `Content-Length`.
        length: usize,
    },
}

/// A response that a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The status code.
    pub status: u16,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// An HTTP client of one peer, which keeps a few idle connections for further calls. Several threads may use it at
/// the same time; concurrent calls use different connections.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    idle_connections: Mutex<Vec<TcpStream>>,
}

impl Client {
    /// Creates a client without connections. The first call opens one.
    pub fn new(peer: SocketAddr) -> Self {
        Client {
            peer,
            idle_connections: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and blocks until its response has arrived, or `timeout` has passed. A failed call is not
    /// repeated, also if it failed because the peer had closed the idle connection.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no response; it distinguishes whether the request may have been executed. A
    /// response with an error status is returned as `Ok`.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let deadline = Instant::now() + timeout;
        let mut stream = self.connection(timeout)?;
        let request = self.encode_request(method, path, body);
        let (response, close) = exchange(&mut stream, &request, timeout, deadline)
            .map_err(|source| self.outcome_unknown(source))?;
        if !close {
            self.return_to_pool(stream);
        }
        Ok(response)
    }

    /// Takes an idle connection from the pool, or opens a new one.
    fn connection(&self, timeout: Duration) -> Result<TcpStream, CallError> {
        let idle = self.idle_connections().pop();
        if let Some(stream) = idle {
            return Ok(stream);
        }
        let stream = TcpStream::connect_timeout(&self.peer, timeout)
            .map_err(|source| self.connect_error(source))?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Returns a connection to the pool for further calls, or closes it if the pool is full.
    fn return_to_pool(&self, stream: TcpStream) {
        let mut idle_connections = self.idle_connections();
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(stream);
        }
    }

    fn idle_connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn encode_request(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
            self.peer,
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        request
    }

    /// Classifies a failed attempt to connect: the peer is unreachable, or the cause is local.
    fn connect_error(&self, source: io::Error) -> CallError {
        use ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable};
        let peer = self.peer;
        match source.kind() {
            ErrorKind::TimedOut
            | ConnectionRefused
            | ConnectionReset
            | HostUnreachable
            | NetworkUnreachable => CallError::Unreachable { peer, source },
            _ => CallError::NotSent { peer, source },
        }
    }

    fn outcome_unknown(&self, source: ResponseError) -> CallError {
        CallError::OutcomeUnknown {
            peer: self.peer,
            source,
        }
    }
}

/// Sends a request and reads its response. Also returns whether the peer closes the connection after it.
fn exchange(
    stream: &mut TcpStream,
    request: &[u8],
    timeout: Duration,
    deadline: Instant,
) -> Result<(ClientResponse, bool), ResponseError> {
    let _ = stream.set_write_timeout(Some(timeout));
    stream.write_all(request)?;
    let mut reader = ResponseReader {
        stream,
        deadline,
        buffer: Vec::with_capacity(RESPONSE_CAPACITY),
        chunk: [0; READ_CHUNK_BYTES],
    };
    reader.read()
}

/// The parsed head of a response.
struct ResponseHead {
    status: u16,
    /// Offset of the body in the buffer.
    body_start: usize,
    content_length: usize,
    /// Whether the peer closes the connection after the response.
    close: bool,
}

/// Reads one response from a connection, up to a deadline.
struct ResponseReader<'a> {
    stream: &'a mut TcpStream,
    deadline: Instant,
    /// All bytes of the response that have been received.
    buffer: Vec<u8>,
    chunk: [u8; READ_CHUNK_BYTES],
}

impl ResponseReader<'_> {
    fn read(&mut self) -> Result<(ClientResponse, bool), ResponseError> {
        let head = self.read_head()?;
        let end = head.body_start + head.content_length;
        while self.buffer.len() < end {
            self.receive()?;
        }
        self.buffer.truncate(end);
        let response = ClientResponse {
            status: head.status,
            body: self.buffer.split_off(head.body_start),
        };
        Ok((response, head.close))
    }

    fn read_head(&mut self) -> Result<ResponseHead, ResponseError> {
        loop {
            self.receive()?;
            if let Some(head) = parse_head(&self.buffer)? {
                return Ok(head);
            }
        }
    }

    /// Blocks until bytes arrive, and appends them to the buffer.
    fn receive(&mut self) -> Result<(), ResponseError> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(ResponseError::TimedOut);
        }
        let _ = self.stream.set_read_timeout(Some(time_left));
        match self.stream.read(&mut self.chunk) {
            Ok(0) => Err(ResponseError::ConnectionClosed),
            Ok(received) => {
                self.buffer.extend_from_slice(&self.chunk[..received]);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}

/// Parses the head of a response. `None` if the head is incomplete.
fn parse_head(buffer: &[u8]) -> Result<Option<ResponseHead>, ResponseError> {
    let mut header_fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut header_fields);
    let body_start = match head.parse(buffer) {
        Ok(httparse::Status::Complete(body_start)) => body_start,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ResponseError::HeadTooLarge),
        Err(error) => return Err(ResponseError::MalformedHead(error)),
    };
    let mut parsed = ResponseHead {
        status: head.code.ok_or(ResponseError::MissingStatus)?,
        body_start,
        content_length: 0,
        // HTTP/1.0 closes the connection after each response.
        close: head.version == Some(0),
    };
    for field in head.headers.iter() {
        if field.name.eq_ignore_ascii_case("content-length") {
            parsed.content_length =
                parse_content_length(field.value).ok_or(ResponseError::InvalidContentLength)?;
        } else if field.name.eq_ignore_ascii_case("connection") {
            parsed.close |= field.value.eq_ignore_ascii_case(b"close");
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ResponseError::TransferEncoding);
        }
    }
    if parsed.content_length > MAX_RESPONSE_BODY_BYTES {
        let length = parsed.content_length;
        return Err(ResponseError::BodyTooLarge { length });
    }
    Ok(Some(parsed))
}
