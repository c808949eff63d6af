//! What a controller believes about its network links, and what follows from it.
//!
//! A network can fail in one direction, for one peer, or for one kind of request only. This crate turns
//! what calls and heartbeats showed ([`evidence`]) into a state for each link ([`monitor`]), with
//! hysteresis and flap damping, and derives three decisions from the states:
//!
//! - what a leader may decide now ([`permissions`]),
//! - whether it should hand the lead over, and to whom ([`handover`]),
//! - how long a candidate waits before it stands for election ([`election`]).
//!
//! Everything here is deterministic: evidence and the current time go in, states and decisions come
//! out. Nothing in the safety argument leans on it: a wrong belief can cost time, never correctness
//! (`docs/half-cut-links.md`).

#![warn(missing_docs)]

pub mod election;
pub mod evidence;
pub mod handover;
pub mod monitor;
pub mod permissions;
pub mod report;
pub mod settings;
pub mod tracker;
pub mod view;
pub mod workers;

pub use aspenreel_time as time;
