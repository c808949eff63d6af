//! The lead: taken by one transaction, kept by a lease, fenced by the leader key's revision.

mod election_loop;
mod failover;
pub mod feature_level;
mod fencing_counter;
pub mod term_counter;
pub mod version_rollback;

use crate::os::Os;
use crate::store::{
    Change, Precondition, RequestPriority, Store, StoreError, TransactionOutcome, from_value,
    to_value,
};
use crate::time::{Micros, Moment, at_least};
use serde::{Deserialize, Serialize};
use term_counter::{TERM_KEY, TermCounter};

pub const LEADER_KEY: &str = "leader";
/// The zone whose workers the last leader lost: a node there goes first.
pub const PREFERRED_ZONE_KEY: &str = "hint";

/// The value of `leader`, attached to the leader's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    pub term: u64,
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// A lead that was taken.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    pub term: u64,
    pub lease_id: u64,
    /// Revision at which the lead was taken. Every write of ours guards it, and jobs accepted
    /// later are this term's.
    pub revision: u64,
    /// Revision at which an earlier version last took the lead, 0 if none ever did.
    pub older_version_led_at: u64,
    /// The counter of terms as this leader last knew it, and its revision.
    pub counter: TermCounter,
    pub counter_revision: u64,
    /// The lease surely lives until then; after it, nobody may be answered.
    pub valid_until: Moment,
}

impl LeaderLease {
    pub fn precondition(&self) -> Precondition {
        Precondition::new(LEADER_KEY, self.revision)
    }
}

/// Until when a lease asked for (or renewed) at `sent` surely lives.
pub fn lease_until(sent: Moment, life: Micros) -> Moment {
    sent + at_least(life).saturating_sub(Micros::from_millis(250))
}

#[derive(Debug)]
pub enum ElectionOutcome {
    Won(LeaderLease),
    /// Somebody else was faster.
    Lost,
}

/// Tries once to take the lead. Nothing is left behind when it fails.
pub fn campaign(
    store: &Store,
    os: &dyn Os,
    node: &str,
    life: Micros,
) -> Result<ElectionOutcome, StoreError> {
    let term_row = store.get(TERM_KEY, RequestPriority::Leadership)?;
    let term_revision = term_row.as_ref().map_or(0, |row| row.revision);
    let next = TermCounter::read(term_row.as_ref())?.next();
    let sent = os.now();
    let lease = store.grant_lease(life)?;
    let record = LeaderRecord {
        node: node.to_string(),
        term: next.term,
        lease_id: lease,
    };
    let result = store.transact(
        &[
            Precondition::new(LEADER_KEY, 0),
            Precondition::new(TERM_KEY, term_revision),
        ],
        &[
            Change::write(TERM_KEY, next.to_value()),
            Change::Write {
                write: LEADER_KEY.into(),
                data: to_value(&record),
                lease_id: Some(lease),
            },
        ],
        RequestPriority::Leadership,
    );
    let revision = match result {
        Ok(TransactionOutcome::Committed { revision }) => revision,
        Ok(TransactionOutcome::Conflict { .. }) => {
            let _ = store.end_lease(lease);
            return Ok(ElectionOutcome::Lost);
        }
        Err(e @ StoreError::OutcomeUnknown { .. }) => {
            // It may have been applied: what the key says decides.
            match store.get(LEADER_KEY, RequestPriority::Leadership) {
                Ok(Some(row)) if from_value::<LeaderRecord>(&row.data) == Some(record) => {
                    row.revision
                }
                _ => {
                    // Ending the lease makes a late transaction fail.
                    let _ = store.end_lease(lease);
                    return Err(e);
                }
            }
        }
        Err(e) => {
            let _ = store.end_lease(lease);
            return Err(e);
        }
    };
    Ok(ElectionOutcome::Won(LeaderLease {
        term: next.term,
        lease_id: lease,
        revision,
        older_version_led_at: next.older_version_led_at,
        counter: next,
        counter_revision: revision,
        valid_until: lease_until(sent, life),
    }))
}
