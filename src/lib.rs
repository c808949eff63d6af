//! aspenreel: a small cluster scheduler with durable outcomes.
//!
//! One controller leads. It takes task outcomes from workers' reports, settles each guarded by
//! its attempt number, and counts a task as done only once that is recorded in the state service.
//! `docs/design.md` tells the whole design and where it comes from.

pub mod cli;
pub mod controller;
pub mod http;
pub mod invariants;
pub mod jobs;
pub mod leadership;
pub mod link_health;
pub mod logging;
pub mod os;
pub mod placement;
pub mod provisioning;
pub mod scheduler;
pub mod settings;
pub mod state_store;
pub use aspenreel_time as time;
pub mod workers;
