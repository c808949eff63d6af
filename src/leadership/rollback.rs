//! Going back to an earlier version: what [`super::level`] wrote is taken back.
//!
//! Meant for an operator, with all controllers stopped. Earlier versions don't know standing jobs, so none
//! may be on record.

use super::level::LEVEL_KEY;
use super::term::{TERM_KEY, TermRecord};
use super::{LEADER_KEY, LeaderRecord};
use crate::jobs::JOBS_PREFIX;
use crate::jobs::{JobKind, Submission};
use crate::state_store::{Change, Commit, Guard, Store, StoreError, Urgency, from_value};

const PAGE: usize = 100;

/// Why earlier versions can't be let in.
#[derive(Debug, thiserror::Error)]
pub enum RollbackError {
    #[error("{0} leads: stop all controllers first")]
    StillLed(String),
    #[error("standing jobs are on record: cancel {0} first, and wait until nothing of it runs")]
    StandingJob(String),
    #[error("the records have changed meanwhile: stop all controllers first")]
    Changed,
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Lets controllers of earlier versions take the lead again. New standing jobs are refused from then on,
/// until all controllers know them once more.
pub fn allow_earlier_versions(store: &Store) -> Result<(), RollbackError> {
    if let Some(leader) = store.get(LEADER_KEY, Urgency::LeaderLease)? {
        let record: Option<LeaderRecord> = from_value(&leader.data);
        let node = record.map_or("a controller".into(), |r| r.node);
        return Err(RollbackError::StillLed(node));
    }
    let level = store.get(LEVEL_KEY, Urgency::LeaderLease)?;
    let term_row = store.get(TERM_KEY, Urgency::LeaderLease)?;
    refuse_standing_jobs(store)?;
    let term = TermRecord::read(term_row.as_ref())?;
    let guards = [
        Guard::new(LEADER_KEY, 0),
        Guard::new(TERM_KEY, term_row.map_or(0, |row| row.revision)),
        Guard::new(LEVEL_KEY, level.map_or(0, |row| row.revision)),
    ];
    let changes = [
        Change::write(TERM_KEY, term.in_form(false).to_value()),
        Change::delete(LEVEL_KEY),
    ];
    match store.transact(&guards, &changes, Urgency::LeaderLease)? {
        // A controller that still runs may have accepted one between the look and the write.
        Commit::Done { .. } => refuse_standing_jobs(store),
        Commit::Conflict { .. } => Err(RollbackError::Changed),
    }
}

fn refuse_standing_jobs(store: &Store) -> Result<(), RollbackError> {
    let mut since: Option<String> = None;
    loop {
        let page = store.range(JOBS_PREFIX, since.as_deref(), PAGE, Urgency::LeaderLease)?;
        let jobs = page.rows.iter();
        let mut jobs = jobs.filter_map(|row| from_value::<Submission>(&row.data));
        if let Some(job) = jobs.find(|job| job.kind == JobKind::Standing) {
            return Err(RollbackError::StandingJob(job.id));
        }
        since = page.rows.last().map(|row| row.key.clone());
        if !page.more {
            return Ok(());
        }
    }
}
