//! HTTP/1.1 with CBOR bodies: a blocking server and a blocking client on httparse.

pub mod cbor;
pub mod client;
pub mod message;
mod request_parser;
pub mod server;

/// The largest request body that is taken, and the largest answer given to workers and users.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// The largest request or response head.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
