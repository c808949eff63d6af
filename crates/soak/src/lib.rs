//! Soak runs: three real controllers, stand-in workers, key-value store and cloud over loopback, and users that
//! submit, ask and cancel at all nodes, while faults drawn by a seed overlap.
//!
//! The rules are checked from outside by the checker of the simulation crate, from what users are told and what workers do.
//! Leases and delays are scaled: a worker's lease takes 4 s instead of some 20 s, a cancellation 8 s instead of
//! some 45 s, so a message that is 20 s late stands for one that is two minutes late. The machines and their
//! tasks are simulated by threads of the soak.

pub mod controllers;
pub mod run;
pub mod schedule;
