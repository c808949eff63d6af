//! The way back to an earlier version: takes back what [`super::feature_level_loop`] has written.
//!
//! An operator runs it while all controllers are stopped. Earlier versions don't know standing jobs, so there must be
//! none.

use super::feature_level::FEATURE_LEVEL_KEY;
use super::leader_record::{LEADER_KEY, LeaderRecord};
use super::term_counter::{TERM_KEY, TermCounter};
use crate::jobs::JOBS_PREFIX;
use crate::jobs::{JobKind, Submission};
use crate::store::{
    Change, KeyValue, Precondition, Store, StoreError, StorePriority, TransactionOutcome,
    from_value,
};

/// Keys that one request asks for.
const PAGE_SIZE: usize = 100;

/// Why earlier versions can't be allowed to lead.
#[derive(Debug, thiserror::Error)]
pub enum RollbackError {
    /// This controller leads.
    #[error("{0} leads: stop all controllers first")]
    StillLed(String),
    /// There is a standing job with this id.
    #[error("standing jobs are on record: cancel {0} first, and wait until nothing of it runs")]
    StandingJob(String),
    /// A controller has written something while the records were read.
    #[error("the records have changed meanwhile: stop all controllers first")]
    Changed,
    /// A request to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Lets controllers of earlier versions lead again. New standing jobs are refused from then on, until all members can
/// read them once more.
///
/// # Errors
///
/// [`RollbackError`] if a controller runs, if there are standing jobs, or if the store doesn't answer. With
/// [`StoreError::OutcomeUnknown`] it may have been done; it can be repeated.
pub fn allow_earlier_versions(store: &Store) -> Result<(), RollbackError> {
    refuse_leader(store)?;
    let stored_level = store.get(FEATURE_LEVEL_KEY, StorePriority::Leadership)?;
    let stored_counter = store.get(TERM_KEY, StorePriority::Leadership)?;
    refuse_standing_jobs(store)?;
    let counter = TermCounter::read(stored_counter.as_ref())?;
    let preconditions = [
        Precondition::new(LEADER_KEY, 0),
        Precondition::new(TERM_KEY, revision_of(stored_counter.as_ref())),
        Precondition::new(FEATURE_LEVEL_KEY, revision_of(stored_level.as_ref())),
    ];
    let changes = [
        Change::write(TERM_KEY, counter.in_form(false).to_value()),
        Change::delete(FEATURE_LEVEL_KEY),
    ];
    match store.transact(&preconditions, &changes, StorePriority::Leadership)? {
        // A controller that still runs may have accepted one between the read and the write.
        TransactionOutcome::Committed { .. } => refuse_standing_jobs(store),
        TransactionOutcome::Conflict { .. } => Err(RollbackError::Changed),
    }
}

fn revision_of(stored: Option<&KeyValue>) -> u64 {
    stored.map_or(0, |stored| stored.revision)
}

fn refuse_leader(store: &Store) -> Result<(), RollbackError> {
    let Some(leader) = store.get(LEADER_KEY, StorePriority::Leadership)? else {
        return Ok(());
    };
    let record: Option<LeaderRecord> = from_value(&leader.data);
    let node = record.map_or_else(|| "a controller".to_string(), |leader| leader.node);
    Err(RollbackError::StillLed(node))
}

fn refuse_standing_jobs(store: &Store) -> Result<(), RollbackError> {
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
