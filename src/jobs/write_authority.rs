//! The term on whose behalf the record writer writes.

use crate::leadership::LeaderLease;
use crate::store::Precondition;

/// A term in which this controller leads, and the precondition by which writes fail once it doesn't.
pub(super) struct WriteAuthority {
    pub(super) term: u64,
    /// The leader's lease in the store.
    pub(super) lease_id: u64,
    /// The precondition that this controller leads.
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
