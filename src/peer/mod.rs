//! Communication between the controllers: borsh messages in length-prefixed frames over TCP.
//!
//! - `wire`: the messages;
//! - `frame`: how a message is read and written;
//! - `client`: [`PeerClient`], with backoff and observations of the link, over a [`PeerTransport`];
//! - `transport` and `tcp_transport`: the interface of what carries requests, and the transport in production;
//! - `server`: [`serve_peers`]. What a controller answers is decided in `controller::peer_requests`.

#![warn(missing_docs)]

mod client;
mod frame;
mod server;
mod tcp_transport;
mod transport;
mod wire;

pub use client::{PeerClient, ViewExchange};
pub use server::{PeerRequestHandler, serve_peers};
pub use tcp_transport::TcpTransport;
pub use transport::PeerTransport;
pub use wire::{PeerReply, PeerRequest};
