//! Requests and responses as handlers see them.

use super::status::SERVICE_UNAVAILABLE;
use crate::time::Moment;

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The method, in capitals as it was sent.
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
    /// The response must not be sent from this moment on, because another leader may act by then.
    /// Status 503 is sent in its place.
    pub valid_until: Option<Moment>,
}

impl Response {
    /// A response that is valid without limit.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            body,
            ..Response::default()
        }
    }

    /// Status 503 (service unavailable): the client shall repeat its request after so many seconds.
    pub fn busy(retry_after_s: u32) -> Self {
        Response {
            status: SERVICE_UNAVAILABLE,
            retry_after_s: Some(retry_after_s),
            ..Response::default()
        }
    }
}
