//! Communication between controllers: Borsh messages in length-prefixed frames over TCP.
//!
//! - `wire`: message types;
//! - `frame`: reading and writing of one message;
//! - `client`: [`PeerClient`], which adds backoff and observations of the link to a [`PeerTransport`];
//! - `transport`: the interface of transports; `tcp_transport`: the transport used in production;
//! - `server`: [`serve_peers`]. The requests are handled in `controller::peer_requests`.

#![warn(missing_docs)]

mod client;
mod frame;
mod server;
mod tcp_transport;
mod transport;
mod wire;

pub use client::{PeerClient, StatusesReply, ViewExchange};
pub use server::{PeerRequestHandler, serve_peers};
pub use tcp_transport::TcpTransport;
pub use transport::PeerTransport;
pub use wire::{PeerReply, PeerRequest};
