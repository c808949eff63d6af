//! Test support shared by all crates.
//!
//! - A deterministic simulation of whole clusters: the production code of several controllers, with all of its
//!   threads, runs in one process on simulated time ([`simulation`], [`scheduler`], [`network`], [`machine`],
//!   [`cloud`], [`users`]).
//! - Stand-ins for the services that real controller processes talk to over loopback, and relays that cut single
//!   directions of the links between them ([`stand_ins`]). The simulation and the stand-ins use the same key-value
//!   store ([`fake_store`]).
//! - A digest of all messages that cross the network of a simulation ([`transcript`]).
//! - An independent checker of the protocol's rules ([`checker`]), which sees only the answers that users get and
//!   the tasks that run on machines.

#![allow(
    clippy::unwrap_used,
    reason = "a test should panic where the unexpected value appears"
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
pub mod repeated_commands;
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
