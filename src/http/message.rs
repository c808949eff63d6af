//! Requests and answers, and who gives them.

use crate::time::Moment;

/// A request, whole.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// An answer, whole.
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
    /// Answers what needs no wait for the network; hands back what may need one.
    fn handle_without_blocking(&self, request: Request) -> Result<Response, Request> {
        Err(request)
    }
    /// Answers what was handed back, on a thread that may wait.
    fn handle(&self, request: Request) -> Response;
    /// True for requests that come again and again on the same connection and can bear a moment.
    fn routine(&self, _request: &Request) -> bool {
        false
    }
}

/// How much a server takes on at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    pub max_connections: usize,
    /// Threads that wait for the network in place of requests.
    pub max_pool_threads: usize,
    /// Bytes of unfinished requests and of answers that are not taken yet.
    pub max_buffered_bytes: usize,
}

/// The words that go with a status.
pub(super) fn reason(status: u16) -> &'static str {
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
