//! Leader election, terms and failover.
//!
//! A controller becomes leader by one transaction that increments the term and writes the key `leader` under a lease.
//! It acts as the leader only while that lease is guaranteed to be valid. Every write of a leader has the revision of
//! its `leader` key as a precondition, so delayed writes of an earlier leader are never applied.
//!
//! - [`election`]: one election campaign; [`election_loop`]: following the leader, and campaigning if there is none;
//! - [`leader_term`]: one term as the leader, from winning the election to its end, including lease renewals;
//! - [`failover`]: reading the stored state as a new leader; [`record_loader`]: adding these records to the scheduler
//!   state;
//! - [`job_watch_loop`]: adding jobs that other controllers accept while this one leads;
//! - [`term_counter`]: the stored term counter; [`fencing_counter`]: incrementing it for a new fencing token;
//! - [`feature_level`]: the record format that all members can read; [`feature_level_loop`]: raising it;
//! - [`version_rollback`]: preparing the stored state for a return to an earlier version.

#![warn(missing_docs)]

pub mod election;
pub mod election_loop;
pub mod failover;
pub mod feature_level;
pub mod feature_level_loop;
pub mod fencing_counter;
pub mod job_watch_loop;
pub mod leader_lease;
pub mod leader_record;
pub mod leader_term;
pub mod record_loader;
pub mod term_counter;
pub mod version_rollback;

pub use election::{ElectionOutcome, campaign};
pub use leader_lease::LeaderLease;
pub use leader_record::{LEADER_KEY, LeaderRecord, PREFERRED_ZONE_KEY, PreferredZone};
