//! What the tests of all crates share.
//!
//! - Stand-ins for the state service, the cloud and its workers: [`keys`] is the store itself,
//!   [`servers`] speaks to real processes over loopback.
//! - Relays that cut single directions between real processes ([`relay`]).
//! - A model of whole clusters on simulated time: the production code of several controllers, with all of
//!   its threads, in one process ([`world`], [`sched`], [`net`], [`machines`], [`cloud`], [`users`]).
//! - A digest of all that crosses the network of a model ([`transcript`]).
//! - An independent checker of the protocol's rules ([`checker`]), which knows only what users were
//!   told and what is on machines.

pub mod checker;
pub mod cloud;
pub mod cuts;
pub mod held;
pub mod keys;
pub mod log;
pub mod loopback;
pub mod loopback_users;
pub mod machines;
pub mod net;
pub mod older;
pub mod plans;
pub mod play;
pub mod processes;
pub mod relay;
pub mod sched;
pub mod servers;
pub mod transcript;
pub mod trouble;
pub mod users;
pub mod worker;
pub mod world;
