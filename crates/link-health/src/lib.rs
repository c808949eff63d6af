//! What a controller concludes about its network links, and what follows from it.
//!
//! A network can fail in one direction, for one peer, or for one kind of request only. This package turns
//! the outcomes of calls and heartbeats ([`observation`]) into a state for each link ([`monitor`], for all
//! links [`tracker`]), with hysteresis and flap damping, and derives three decisions from the states:
//!
//! - what a leader may decide now ([`permissions`]),
//! - whether it should hand leadership over, and to whom ([`handover`]),
//! - how long a candidate waits before it campaigns ([`election`]).
//!
//! Controllers tell each other what they see as [`view`]s, and operators in a [`report`].
//!
//! Everything here is deterministic: observations and the current time go in, states and decisions come
//! out. No safety property depends on it: a wrong conclusion can cost time, never correctness
//! (`docs/half-cut-links.md`).

#![warn(missing_docs)]

pub mod election;
pub mod handover;
pub mod link;
pub mod monitor;
pub mod observation;
pub mod peer_views;
pub mod permissions;
pub mod reachability;
pub mod refused_heartbeats;
pub mod report;
pub mod settings;
pub mod tracker;
pub mod view;

pub use aspenreel_time as time;
