//! The leader term in which the record writer sends its writes.

use crate::leadership::LeaderLease;
use crate::store::Precondition;

/// Term in which this controller leads, with the precondition that makes writes fail once it no longer does.
pub(super) struct WriteAuthority {
    /// Number of the term.
    pub(super) term: u64,
    /// Id of the leader's lease in the store; keys that are attached to it are deleted when it ends.
    pub(super) lease_id: u64,
    /// Precondition that holds while this controller leads in the term.
    pub(super) precondition: Precondition,
}

impl WriteAuthority {
    pub(super) fn of(lease: &LeaderLease) -> WriteAuthority {
        WriteAuthority {
            term: lease.term,
            lease_id: lease.lease_id,
            precondition: lease.precondition(),
        }
    }
}
