//! Leadership: which controller may act, and what a new leader does before it acts.
//!
//! A controller becomes leader by one transaction that raises the term and writes the key `leader` under a lease. It
//! acts while that lease surely lives. Every write of a leader has the revision of its `leader` key as a
//! precondition, so that what an earlier leader sends late is never applied.
//!
//! - [`election`]: one campaign; [`election_loop`]: following a leader and campaigning;
//! - [`leader_term`]: one term as the leader, from the election to its end, with the renewals of the lease;
//! - [`failover`]: reading the store as a new leader; [`record_loader`]: adding what was read to the scheduler state;
//! - [`job_watch_loop`]: jobs that other controllers accept while this one leads;
//! - [`term_counter`]: the stored counter of terms; [`fencing_counter`]: raising it for a fencing token;
//! - [`feature_level`]: the record format that all members can read; [`feature_level_loop`]: how it rises;
//! - [`version_rollback`]: the way back to an earlier version.

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
