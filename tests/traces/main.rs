//! Traces of a leader: each test plays a sequence of events into a `SchedulerState` and compares the log of what the
//! leader does with a snapshot, or checks the resulting state. Each test covers one guarantee.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod admission;
mod direct_calls;
mod failover;
mod fencing;
mod heartbeats;
mod lease_renewals;
mod outcomes;
mod placement;
mod prior_term_limits;
mod provisioning;
mod replicas;
#[path = "../common/trace.rs"]
mod trace;
mod waiting;
