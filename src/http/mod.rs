//! HTTP/1.1 with CBOR bodies, on `httparse`: a server for many connections and a blocking client.

#![warn(missing_docs)]

pub mod cbor;
pub mod client;
pub mod handler;
pub mod message;
mod request_parser;
pub mod server;
mod status;

/// The largest accepted body of a request, in bytes; also the largest response body that workers and
/// users get.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// The largest accepted head of a request or a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The largest accepted number of header fields in a head.
const MAX_HEADER_FIELDS: usize = 48;
/// Stack size, in bytes, of a thread that answers requests. Only the pages that are touched cost memory.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;
