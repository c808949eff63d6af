//! The request parser: extracts requests from the bytes that a connection has received.

use super::message::Request;
use super::status::{
    BAD_REQUEST, CONTENT_TOO_LARGE, LENGTH_REQUIRED, REQUEST_HEADER_FIELDS_TOO_LARGE,
};
use super::{MAX_HEAD_BYTES, MAX_HEADER_FIELDS, MAX_REQUEST_BODY_BYTES};
use thiserror::Error;

/// Result of parsing the start of a connection's read buffer.
pub(super) enum ParseOutcome {
    /// A complete request, which was removed from the buffer.
    Complete(ParsedRequest),
    /// The buffer is empty or contains the start of a request.
    Incomplete,
    /// The buffer starts with a request that is invalid or not supported.
    Rejected(RequestError),
}

/// A complete request, and whether its connection stays open.
pub(super) struct ParsedRequest {
    pub(super) request: Request,
    /// Whether the client wants the connection to be closed after the response.
    pub(super) close: bool,
}

/// Reasons why a request is rejected before it is passed to a handler.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    #[error("malformed head: {0}")]
    MalformedHead(#[source] httparse::Error),
    #[error("head larger than {MAX_HEAD_BYTES} bytes")]
    HeadTooLarge,
    #[error("more than {MAX_HEADER_FIELDS} header fields")]
    TooManyHeaderFields,
    #[error("Content-Length is not a number, or given twice with different values")]
    InvalidContentLength,
    #[error("body without Content-Length: transfer encodings are not supported")]
    TransferEncoding,
    #[error("body of {length} bytes, larger than {MAX_REQUEST_BODY_BYTES}")]
    BodyTooLarge { length: usize },
}

impl RequestError {
    /// Status code of the response to the rejected request.
    pub(super) fn status(&self) -> u16 {
        match self {
            RequestError::MalformedHead(_) | RequestError::InvalidContentLength => BAD_REQUEST,
            RequestError::HeadTooLarge | RequestError::TooManyHeaderFields => {
                REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            RequestError::TransferEncoding => LENGTH_REQUIRED,
            RequestError::BodyTooLarge { .. } => CONTENT_TOO_LARGE,
        }
    }
}

/// The length of the body and whether the connection is closed, according to the header fields.
struct Framing {
    content_length: usize,
    close: bool,
}

/// Removes the next request from `read_buffer` if it is complete.
pub(super) fn next_request(read_buffer: &mut Vec<u8>) -> ParseOutcome {
    if read_buffer.is_empty() {
        return ParseOutcome::Incomplete;
    }
    match take_request(read_buffer) {
        Ok(Some(parsed)) => ParseOutcome::Complete(parsed),
        Ok(None) => ParseOutcome::Incomplete,
        Err(error) => ParseOutcome::Rejected(error),
    }
}

fn take_request(read_buffer: &mut Vec<u8>) -> Result<Option<ParsedRequest>, RequestError> {
    let mut header_fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut header_fields);
    let Some(body_start) = parse_head(&mut head, read_buffer)? else {
        return Ok(None);
    };
    let framing = read_framing(&head)?;
    let length = framing.content_length;
    if length > MAX_REQUEST_BODY_BYTES {
        return Err(RequestError::BodyTooLarge { length });
    }
    let end = body_start + length;
    if read_buffer.len() < end {
        return Ok(None);
    }
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: head.path.unwrap_or("").to_string(),
        body: read_buffer[body_start..end].to_vec(),
    };
    read_buffer.drain(..end);
    Ok(Some(ParsedRequest {
        request,
        close: framing.close,
    }))
}

/// Parses a head. Returns the offset of the body, or `None` if the head is incomplete.
fn parse_head<'buffer>(
    head: &mut httparse::Request<'_, 'buffer>,
    read_buffer: &'buffer [u8],
) -> Result<Option<usize>, RequestError> {
    match head.parse(read_buffer) {
        Ok(httparse::Status::Complete(body_start)) => Ok(Some(body_start)),
        Ok(httparse::Status::Partial) if read_buffer.len() > MAX_HEAD_BYTES => {
            Err(RequestError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(RequestError::TooManyHeaderFields),
        Err(error) => Err(RequestError::MalformedHead(error)),
    }
}

/// Evaluates the header fields for the length of the request and for the end of the connection.
fn read_framing(head: &httparse::Request<'_, '_>) -> Result<Framing, RequestError> {
    let mut content_length = None;
    // HTTP/1.0 closes the connection after each response.
    let mut close = head.version == Some(0);
    for field in head.headers.iter() {
        if field.name.eq_ignore_ascii_case("content-length") {
            let given =
                parse_content_length(field.value).ok_or(RequestError::InvalidContentLength)?;
            if content_length.is_some_and(|known| known != given) {
                return Err(RequestError::InvalidContentLength);
            }
            content_length = Some(given);
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError::TransferEncoding);
        } else if field.name.eq_ignore_ascii_case("connection") {
            close |= field.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(Framing {
        content_length: content_length.unwrap_or(0),
        close,
    })
}

/// The value of a `Content-Length` field; `None` if it is not a number.
pub(super) fn parse_content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
