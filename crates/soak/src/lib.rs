//! Soak runs: three real controllers with stand-ins for the workers, the key-value store and the cloud on loopback,
//! and users that submit jobs, ask for their status and cancel them through all controllers, while overlapping
//! faults from a seeded schedule are injected.
//!
//! The checker of the simulation crate checks the service rules from outside, against the responses to users and the
//! tasks on workers. Leases and delays are scaled: a worker lease takes 4 s instead of about 20 s, a cancellation 8 s
//! instead of about 45 s, so a message that is 20 s late stands for one that is two minutes late. Threads of the soak
//! process simulate the machines and their tasks.

pub mod controllers;
pub mod run;
pub mod schedule;
mod status_crowd;
