//! HTTP/1.1 with CBOR bodies: a server for many connections, and a blocking client. `httparse` parses the heads.

#![warn(missing_docs)]

pub mod cbor;
pub mod client;
pub mod handler;
pub mod message;
mod request_parser;
pub mod server;
mod status;

/// Maximum size of a request body in bytes. Responses to workers and users don't exceed it either.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of the head of a request or a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of header fields in a head.
const MAX_HEADER_FIELDS: usize = 48;
/// Stack size of threads that answer requests, in bytes. Only the pages that are used occupy memory.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;
