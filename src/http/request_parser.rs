//! Requests, read from the bytes that have arrived.

use super::message::Request;
use super::{MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES};

const MAX_HEADERS: usize = 48;

/// What is at the beginning of what was read.
pub(super) enum Parsed {
    Request { request: Request, close: bool },
    Refuse(u16),
    Partial,
}

/// What the headers say of the body and of the connection.
struct Framing {
    length: usize,
    close: bool,
}

/// Takes the next request from what was read, if it is complete.
pub(super) fn next_request(buf: &mut Vec<u8>) -> Parsed {
    if buf.is_empty() {
        return Parsed::Partial;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(buf) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD_BYTES => return Parsed::Refuse(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Refuse(431),
        Err(_) => return Parsed::Refuse(400),
    };
    let Framing { length, close } = match framing(&head) {
        Ok(framing) => framing,
        Err(status) => return Parsed::Refuse(status),
    };
    if length > MAX_REQUEST_BODY_BYTES {
        return Parsed::Refuse(413);
    }
    if buf.len() < start + length {
        return Parsed::Partial;
    }
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: head.path.unwrap_or("").to_string(),
        body: buf[start..start + length].to_vec(),
    };
    buf.drain(..start + length);
    Parsed::Request { request, close }
}

/// Reads the headers that matter; the status with which the request is refused if they can't be served.
fn framing(head: &httparse::Request<'_, '_>) -> Result<Framing, u16> {
    let mut length = None;
    let mut close = head.version == Some(0);
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let given = content_length(header.value).ok_or(400u16)?;
            if length.is_some_and(|known| known != given) {
                return Err(400);
            }
            length = Some(given);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(411);
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= header.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(Framing {
        length: length.unwrap_or(0),
        close,
    })
}

fn content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
