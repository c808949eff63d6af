//! Preparation for a rollback to an earlier version: reverts what [`super::feature_level_loop`] has written.
//!
//! An operator runs it while all controllers are stopped. Earlier versions don't know standing jobs, so none may be
//! stored.

use super::feature_level::FEATURE_LEVEL_KEY;
use super::leader_record::{LEADER_KEY, LeaderRecord};
use super::term_counter::{TERM_KEY, TermCounter};
use crate::jobs::JOBS_PREFIX;
use crate::jobs::{JobKind, Submission};
use crate::store::{
    Change, KeyValue, Precondition, Store, StoreError, StorePriority, TransactionOutcome,
    from_value,
};

/// Maximum number of keys per range read.
const PAGE_SIZE: usize = 100;

/// Reason why controllers of earlier versions can't be allowed to become leader.
#[derive(Debug, thiserror::Error)]
pub enum RollbackError {
    /// The named controller is the leader.
    #[error("{0} leads: stop all controllers first")]
    LeaderExists(String),
    /// A standing job with this id is stored.
    #[error("standing jobs are stored: cancel {0} first, and wait until none of its replicas runs")]
    StandingJob(String),
    /// A controller changed the leader key, the term counter or the feature level while the records were read.
    #[error("stored records changed during the check: stop all controllers first")]
    Changed,
    /// A request to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Lets controllers of earlier versions be elected again: stores the term counter in its open form and deletes the
/// feature level. From then on new standing jobs are refused until all members can read them again.
///
/// # Errors
///
/// [`RollbackError`] if there is a leader, if standing jobs are stored, if records change meanwhile, or if a request
/// to the store fails. After [`StoreError::OutcomeUnknown`] the change may have been made; the call can be repeated.
pub fn allow_earlier_versions(store: &Store) -> Result<(), RollbackError> {
    ensure_no_leader(store)?;
    let stored_level = store.get(FEATURE_LEVEL_KEY, StorePriority::Leadership)?;
    let stored_counter = store.get(TERM_KEY, StorePriority::Leadership)?;
    ensure_no_standing_jobs(store)?;
    let counter = TermCounter::read(stored_counter.as_ref())?;
    let preconditions = [
        Precondition::new(LEADER_KEY, 0),
        Precondition::new(TERM_KEY, revision_of(stored_counter.as_ref())),
        Precondition::new(FEATURE_LEVEL_KEY, revision_of(stored_level.as_ref())),
    ];
    let changes = [
        Change::write(TERM_KEY, counter.with_fenced(false).to_value()),
        Change::delete(FEATURE_LEVEL_KEY),
    ];
    match store.transact(&preconditions, &changes, StorePriority::Leadership)? {
        // A controller that is still running may have accepted a standing job between the read and the write.
        TransactionOutcome::Committed { .. } => ensure_no_standing_jobs(store),
        TransactionOutcome::Conflict { .. } => Err(RollbackError::Changed),
    }
}

fn revision_of(stored: Option<&KeyValue>) -> u64 {
    stored.map_or(0, |stored| stored.revision)
}

fn ensure_no_leader(store: &Store) -> Result<(), RollbackError> {
    let Some(leader) = store.get(LEADER_KEY, StorePriority::Leadership)? else {
        return Ok(());
    };
    let record: Option<LeaderRecord> = from_value(&leader.data);
    let node = record.map_or_else(|| "a controller".to_string(), |leader| leader.node);
    Err(RollbackError::LeaderExists(node))
}

fn ensure_no_standing_jobs(store: &Store) -> Result<(), RollbackError> {
    let mut after: Option<String> = None;
    loop {
        let page = store.range(
            JOBS_PREFIX,
            after.as_deref(),
            PAGE_SIZE,
            StorePriority::Leadership,
        )?;
        let mut submissions = page
            .rows
            .iter()
            .filter_map(|stored| from_value::<Submission>(&stored.data));
        if let Some(job) = submissions.find(|job| job.kind == JobKind::Standing) {
            return Err(RollbackError::StandingJob(job.id));
        }
        after = page.rows.last().map(|last| last.key.clone());
        if !page.more {
            return Ok(());
        }
    }
}
