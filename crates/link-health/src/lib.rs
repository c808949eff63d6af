//! Health of a controller's network links, and the decisions that depend on it.
//!
//! A network can fail in one direction, for one peer, or for one kind of request only. This crate turns
//! the outcomes of calls and heartbeats ([`observation`]) into a state for each link ([`monitor`] for one
//! link, [`tracker`] for all), with hysteresis and flap damping, and derives three decisions from the states:
//!
//! - which decisions a leader may make now ([`permissions`]),
//! - whether the leader should hand leadership over, and to which peer ([`handover`]),
//! - how long a candidate waits before it campaigns ([`election`]).
//!
//! Controllers send each other their link states as [`view`]s, and operators get them in a [`report`].
//!
//! The crate is deterministic: its inputs are observations and the current time, its outputs are states and
//! decisions. No safety property depends on them: a wrong state or decision can cost time, but not
//! correctness (`docs/half-cut-links.md`).

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
