//! aspenreel: a small cluster scheduler with durable outcomes.
//!
//! Several controllers run, and at most one of them leads. Workers send heartbeats to it; the replies carry commands.
//! The leader takes the outcomes of tasks from heartbeats, settles each under its attempt number, and counts a task as
//! done only once that is recorded in the key-value store.
//!
//! A request or a thread is found here:
//!
//! - [`controller`]: one process: its state, threads, routes of users, workers and peers;
//! - [`leadership`]: elections, terms, failover; [`peer`]: messages between controllers;
//! - [`scheduler`]: the leader's state; [`jobs`], [`workers`], [`placement`] and [`provisioning`]: its parts and the
//!   decisions on them;
//! - [`store`]: the key-value store's client; [`http`]: server, client and message encoding;
//! - [`link_health`]: which links work, and handovers;
//! - [`settings`] and [`cli`]; [`os`], [`logging`], [`invariants`].
//!
//! `docs/architecture.md` shows how they work together, `docs/glossary.md` has the terms, `docs/design.md` the proofs.

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
