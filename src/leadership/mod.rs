//! The lead: taken by one transaction, kept by a hold, fenced by the leader key's stamp.

mod edge;
pub mod peer;

use crate::os::Os;
use crate::state_store::{Change, Commit, Guard, Store, StoreError, Urgency, from_value, to_value};
use crate::time::{Micros, Moment, at_least};
use serde::{Deserialize, Serialize};

pub const LEADER_KEY: &str = "leader";
pub const TERM_KEY: &str = "term";

/// The value of `leader`, attached to the leader's hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    pub term: u64,
    pub permit: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct TermRecord {
    term: u64,
}

/// A lead that was taken.
#[derive(Clone, Debug)]
pub struct Lead {
    pub term: u64,
    pub permit: u64,
    /// Revision at which the lead was taken. Every write of ours guards it, and jobs accepted
    /// later are this term's.
    pub stamp: u64,
    /// The hold surely lives until then; after it, nobody may be answered.
    pub valid_until: Moment,
}

impl Lead {
    pub fn guard(&self) -> Guard {
        Guard::new(LEADER_KEY, self.stamp)
    }
}

/// Until when a hold asked for (or renewed) at `sent` surely lives.
pub fn hold_until(sent: Moment, life: Micros) -> Moment {
    sent + at_least(life).saturating_sub(Micros::from_millis(250))
}

#[derive(Debug)]
pub enum Take {
    Taken(Lead),
    /// Somebody else was faster.
    Lost,
}

/// Tries once to take the lead. Nothing is left behind when it fails.
pub fn take(store: &Store, os: &dyn Os, node: &str, life: Micros) -> Result<Take, StoreError> {
    let term_row = store.get(TERM_KEY, Urgency::Lead)?;
    let (term, term_stamp) = match &term_row {
        Some(row) => (
            from_value::<TermRecord>(&row.data)
                .map(|t| t.term)
                .ok_or_else(|| StoreError::Unknown("malformed term".into()))?,
            row.stamp,
        ),
        None => (0, 0),
    };
    let sent = os.now();
    let permit = store.new_hold(life)?;
    let record = LeaderRecord {
        node: node.to_string(),
        term: term + 1,
        permit,
    };
    let result = store.multi(
        &[Guard::new(LEADER_KEY, 0), Guard::new(TERM_KEY, term_stamp)],
        &[
            Change::write(TERM_KEY, to_value(&TermRecord { term: term + 1 })),
            Change::Write {
                write: LEADER_KEY.into(),
                data: to_value(&record),
                permit: Some(permit),
            },
        ],
        Urgency::Lead,
    );
    let stamp = match result {
        Ok(Commit::Done { epoch }) => epoch,
        Ok(Commit::Conflict { .. }) => {
            let _ = store.end_hold(permit);
            return Ok(Take::Lost);
        }
        Err(StoreError::Unknown(e)) => {
            // It may have been applied: what the key says decides.
            match store.get(LEADER_KEY, Urgency::Lead) {
                Ok(Some(row)) if from_value::<LeaderRecord>(&row.data) == Some(record) => row.stamp,
                _ => {
                    // Ending the hold makes a late transaction fail.
                    let _ = store.end_hold(permit);
                    return Err(StoreError::Unknown(e));
                }
            }
        }
        Err(e) => {
            let _ = store.end_hold(permit);
            return Err(e);
        }
    };
    Ok(Take::Taken(Lead {
        term: term + 1,
        permit,
        stamp,
        valid_until: hold_until(sent, life),
    }))
}
