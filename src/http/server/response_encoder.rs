//! Encoding of HTTP responses.

use crate::http::message::Response;
use crate::http::status::reason_phrase;

/// Encodes a response. If `close` is set, a header field announces that the connection is closed after it.
pub(super) fn encode_response(response: &Response, close: bool) -> Vec<u8> {
    let retry_after = match response.retry_after_s {
        Some(seconds) => format!("Retry-After: {seconds}\r\n"),
        None => String::new(),
    };
    let connection = if close { "Connection: close\r\n" } else { "" };
    let mut bytes = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n{}{}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len(),
        retry_after,
        connection,
    )
    .into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}
