//! What the tests of all crates share.
//!
//! - A simulation of whole clusters: the production code of several controllers, with all of its threads, in one
//!   process on simulated time ([`simulation`], [`scheduler`], [`network`], [`machine`], [`cloud`], [`users`]).
//! - Stand-ins for what real controller processes talk to on loopback, and relays between them that cut single
//!   directions ([`stand_ins`]). Both share the key-value store ([`fake_store`]).
//! - A digest of everything that crosses the network of a simulation ([`transcript`]).
//! - An independent checker of the protocol's rules ([`checker`]), which knows only what users were told and what
//!   runs on machines.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the place where something unexpected happens"
)]

pub mod checker;
pub mod cloud;
pub mod cloud_state;
pub mod controllers;
pub mod delayed_commands;
pub mod directions;
pub mod drawn_faults;
pub mod fake_store;
pub mod faults;
pub mod log;
pub mod machine;
pub mod machine_faults;
pub mod network;
pub mod observations;
pub mod older_version;
mod pending_call;
pub mod run;
pub mod scheduler;
pub mod setup;
mod sim_http;
mod sim_peer;
pub mod simulation;
pub mod stand_ins;
pub mod state;
pub mod store_api;
pub mod summary;
pub mod transcript;
pub mod user_job;
pub mod users;
mod worker_commands;
mod worker_heartbeats;
mod worker_protocol;
mod worker_tasks;
pub mod workloads;
