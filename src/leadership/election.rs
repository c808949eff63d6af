//! One election campaign.

use super::leader_lease::{LeaderLease, lease_valid_until};
use super::leader_record::{LEADER_KEY, LeaderRecord};
use super::term_counter::{TERM_KEY, TermCounter};
use crate::os::Os;
use crate::store::{
    Change, KeyValue, Precondition, Store, StoreError, StorePriority, TransactionOutcome,
    from_value, to_value,
};
use crate::time::Micros;

/// Outcome of an election campaign.
#[derive(Debug)]
pub enum ElectionOutcome {
    /// This controller was elected.
    Won(LeaderLease),
    /// Another controller was elected first, or there already was a leader.
    Lost,
}

/// Makes one attempt to become leader with a lease of `lease_duration`. A failed campaign leaves no record in the
/// store.
///
/// # Errors
///
/// [`StoreError`] if the store doesn't report the outcome; this controller is then guaranteed not to be the leader.
pub fn campaign(
    store: &Store,
    os: &dyn Os,
    node: &str,
    lease_duration: Micros,
) -> Result<ElectionOutcome, StoreError> {
    let stored_counter = store.get(TERM_KEY, StorePriority::Leadership)?;
    let next = TermCounter::read(stored_counter.as_ref())?.next();
    let requested_at = os.now();
    let lease_id = store.grant_lease(lease_duration)?;
    let record = LeaderRecord {
        node: node.to_string(),
        term: next.term,
        lease_id,
    };
    let Some(revision) = write_leadership(store, stored_counter.as_ref(), next, &record)? else {
        return Ok(ElectionOutcome::Lost);
    };
    Ok(ElectionOutcome::Won(LeaderLease {
        term: next.term,
        lease_id,
        revision,
        older_version_led_at: next.older_version_led_at,
        term_counter: next,
        term_counter_revision: revision,
        valid_until: lease_valid_until(requested_at, lease_duration),
    }))
}

/// Writes the incremented term counter and the leader record if there is no leader. Returns the revision of both, or
/// `None` after a conflict. Ends the lease unless the election was won.
fn write_leadership(
    store: &Store,
    stored_counter: Option<&KeyValue>,
    next: TermCounter,
    record: &LeaderRecord,
) -> Result<Option<u64>, StoreError> {
    let counter_revision = stored_counter.map_or(0, |stored| stored.revision);
    let preconditions = [
        Precondition::new(LEADER_KEY, 0),
        Precondition::new(TERM_KEY, counter_revision),
    ];
    let changes = [
        Change::write(TERM_KEY, next.to_value()),
        Change::write_with_lease(LEADER_KEY, to_value(record), record.lease_id),
    ];
    let error = match store.transact(&preconditions, &changes, StorePriority::Leadership) {
        Ok(TransactionOutcome::Committed { revision }) => return Ok(Some(revision)),
        Ok(TransactionOutcome::Conflict { .. }) => None,
        Err(error @ StoreError::OutcomeUnknown { .. }) => {
            match revision_if_elected(store, record) {
                Some(revision) => return Ok(Some(revision)),
                None => Some(error),
            }
        }
        Err(error) => Some(error),
    };
    // Once the lease has ended, the transaction fails even if the store executes it later. If this request gets no
    // answer, the lease expires without it.
    let _ = store.end_lease(record.lease_id);
    error.map_or(Ok(None), Err)
}

/// Revision of the leader record if the stored record is `record`. After a transaction of unknown outcome, reading the
/// key back shows whether the transaction was executed.
fn revision_if_elected(store: &Store, record: &LeaderRecord) -> Option<u64> {
    let stored = store.get(LEADER_KEY, StorePriority::Leadership).ok()??;
    let is_ours = from_value::<LeaderRecord>(&stored.data).as_ref() == Some(record);
    is_ours.then_some(stored.revision)
}
