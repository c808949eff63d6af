//! aspenreel: a small cluster scheduler with durable outcomes.
//!
//! A cluster has several controllers, of which at most one leads. Workers send heartbeats to the leader, and the
//! replies contain commands. The leader reads the outcomes of tasks from heartbeats, applies each outcome to the
//! attempt with its attempt number, and counts a task as done only after this has been recorded in the key-value
//! store.
//!
//! Modules:
//!
//! - [`controller`]: the controller process: its state, its threads, and the request handlers for users, workers and
//!   peers;
//! - [`leadership`]: elections, terms and failover; [`peer`]: messages between controllers;
//! - [`scheduler`]: the leader's state; [`jobs`], [`workers`], [`placement`] and [`provisioning`]: the parts of this
//!   state, and the decisions about them;
//! - [`store`]: the client of the key-value store; [`http`]: server, client and message encoding;
//! - [`link_health`]: monitoring of network links, and leadership handover;
//! - [`settings`] and [`cli`]: settings file and command line; [`os`]: interface to the operating system;
//!   [`logging`]; [`invariants`]: checks at run time.
//!
//! `docs/architecture.md` describes how the modules work together, `docs/glossary.md` defines the terms, and
//! `docs/design.md` contains the proofs.

pub mod cli;
pub mod controller;
pub mod http;
pub mod invariants;
pub mod jobs;
pub mod leadership;
pub mod link_health;
pub mod logging;
pub mod os;
pub mod peer;
pub mod placement;
pub mod provisioning;
pub mod scheduler;
pub mod settings;
pub mod store;
pub mod workers;

pub use aspenreel_time as time;
