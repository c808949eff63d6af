//! Kept traces: what a leader does, event by event. Each guards one promise.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod admission;
mod direct_calls;
mod failover;
mod fencing;
mod heartbeats;
mod outcomes;
mod placement;
mod prior_term_limits;
mod provisioning;
mod replicas;
#[path = "../common/trace.rs"]
mod trace;
mod waiting;
