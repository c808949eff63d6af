//! Requests and responses as handlers see them.

use super::status::SERVICE_UNAVAILABLE;
use crate::time::Moment;

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The method in capitals, as it was sent.
    pub method: String,
    /// The request target as it was sent: path and query.
    pub path: String,
    /// The body; empty if there was none.
    pub body: Vec<u8>,
}

/// A response to a request.
#[derive(Debug, Default)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
    /// Seconds after which the client may repeat the request, as header field `Retry-After`.
    pub retry_after_s: Option<u32>,
    /// Time from which the response must not be sent any more, because another leader may act by then. Status 503
    /// is sent instead.
    pub valid_until: Option<Moment>,
}

impl Response {
    /// Creates a response without a time limit.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            body,
            ..Response::default()
        }
    }

    /// Creates a response with status 503 (service unavailable), which asks the client to repeat its request after
    /// `retry_after_s` seconds.
    pub fn busy(retry_after_s: u32) -> Self {
        Response {
            status: SERVICE_UNAVAILABLE,
            retry_after_s: Some(retry_after_s),
            ..Response::default()
        }
    }
}
