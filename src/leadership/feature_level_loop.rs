//! The thread that raises the feature level once all members can read the current format.
//!
//! Each process states the format that it can read under a lease of its own. Once all members state the current one
//! at the same time, while a controller of this version leads, one transaction raises the feature level and puts the
//! counter of terms into a form that earlier versions can't read ([`super::term_counter`]). From then on processes of
//! earlier versions can serve, but not lead.

use super::feature_level::{CURRENT_FORMAT, FEATURE_LEVEL_KEY, FeatureLevel};
use super::leader_record::LEADER_KEY;
use super::term_counter::{TERM_KEY, TermCounter};
use crate::controller::Controller;
use crate::store::{
    Change, KeyValue, Precondition, StoreError, StorePriority, TransactionOutcome, to_value,
};
use crate::time::{Micros, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// The prefix of the members' statements. A statement disappears with its process.
const STATEMENTS_PREFIX: &str = "members/";
/// The duration of a statement's lease.
const STATEMENT_LEASE: Micros = Micros::from_secs(20);
/// How long a renewal of that lease may take.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Statements that are read, at most.
const MAX_STATEMENTS: usize = 100;
/// The bounds of the random pause between two rounds, in milliseconds.
const MIN_ROUND_PAUSE_MS: u64 = 1000;
const MAX_ROUND_PAUSE_MS: u64 = 2000;
/// How often the log tells which members are waited for.
const LOG_INTERVAL: Micros = Micros::from_secs(60);

/// This process's statement of the format that it can read.
#[derive(Default)]
struct OwnStatement {
    /// The lease of the statement, None while there is none.
    lease_id: Option<u64>,
    /// When the log last told which members are waited for.
    logged_at: Option<Moment>,
}

/// By member, the format that it states and the revision of the statement.
type Statements = BTreeMap<String, FeatureLevel>;

/// What the statements say of all members together.
enum Members<'a> {
    /// All can read the current format, which holds under these preconditions.
    AllCurrent(Vec<Precondition>),
    /// These members don't state it.
    Missing(Vec<&'a str>),
}

impl Controller {
    /// The feature level as this process last read it.
    pub fn feature_level(&self) -> FeatureLevel {
        *self.feature_level.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn note_feature_level(&self, level: FeatureLevel) {
        let before = {
            let mut known = self.feature_level.lock().unwrap_or_else(|e| e.into_inner());
            std::mem::replace(&mut *known, level)
        };
        if level.format != before.format {
            log::info!(format = level.format.0; "feature level changed");
        }
    }

    /// States the format that this process can read, and raises the feature level once all members state it.
    /// Returns when the feature level is that of this version.
    pub(crate) fn feature_level_loop(&self) {
        let mut own = OwnStatement::default();
        while self.feature_level().format < CURRENT_FORMAT {
            if let Err(error) = self.raise_feature_level(&mut own) {
                log::debug!(error:%; "feature level unknown");
            }
            if self.feature_level().format < CURRENT_FORMAT {
                self.pause(MIN_ROUND_PAUSE_MS, MAX_ROUND_PAUSE_MS);
            }
        }
        if let Some(lease_id) = own.lease_id {
            // Otherwise it expires.
            let _ = self.store.end_lease(lease_id);
        }
    }

    /// One round: renews the statement, and raises the feature level if all members are ready.
    fn raise_feature_level(&self, own: &mut OwnStatement) -> Result<(), StoreError> {
        let stored = self.store.get(FEATURE_LEVEL_KEY, StorePriority::Normal)?;
        let level = FeatureLevel::read(stored.as_ref());
        self.note_feature_level(level);
        if level.format >= CURRENT_FORMAT {
            return Ok(());
        }
        self.keep_statement(own)?;
        let statements = self.read_statements()?;
        if !statements.contains_key(&self.settings.node) {
            // Its lease has expired, as after a long stop of the process: the next round states it again.
            own.lease_id = None;
        }
        match self.members(&statements) {
            Members::AllCurrent(mut preconditions) => {
                preconditions.push(level.precondition());
                self.fence_earlier_versions(preconditions)
            }
            Members::Missing(missing) => {
                self.log_missing(&missing, own);
                Ok(())
            }
        }
    }

    /// Renews the lease of the statement, or makes the statement.
    fn keep_statement(&self, own: &mut OwnStatement) -> Result<(), StoreError> {
        if let Some(lease_id) = own.lease_id {
            return match self.store.renew_lease(lease_id, RENEWAL_TIMEOUT) {
                Err(StoreError::LeaseExpired) => {
                    own.lease_id = None;
                    Ok(())
                }
                other => other,
            };
        }
        let lease_id = self.store.grant_lease(STATEMENT_LEASE)?;
        let key = statement_key(&self.settings.node);
        let change = Change::write_with_lease(key, to_value(&CURRENT_FORMAT), lease_id);
        self.store.transact(&[], &[change], StorePriority::Normal)?;
        own.lease_id = Some(lease_id);
        Ok(())
    }

    fn read_statements(&self) -> Result<Statements, StoreError> {
        let priority = StorePriority::Normal;
        let page = self
            .store
            .range(STATEMENTS_PREFIX, None, MAX_STATEMENTS, priority)?;
        let statement = |stored: &KeyValue| {
            let node = stored.key.strip_prefix(STATEMENTS_PREFIX)?;
            Some((node.to_string(), FeatureLevel::read(Some(stored))))
        };
        Ok(page.rows.iter().filter_map(statement).collect())
    }

    fn members(&self, statements: &Statements) -> Members<'_> {
        let peers = self.settings.members.iter().map(|m| m.node.as_str());
        let (mut preconditions, mut missing) = (Vec::new(), Vec::new());
        for node in peers.chain([self.settings.node.as_str()]) {
            match statements.get(node) {
                Some(stated) if stated.format >= CURRENT_FORMAT => {
                    let key = statement_key(node);
                    preconditions.push(Precondition::new(key, stated.revision));
                }
                _ => missing.push(node),
            }
        }
        if missing.is_empty() {
            Members::AllCurrent(preconditions)
        } else {
            Members::Missing(missing)
        }
    }

    fn log_missing(&self, missing: &[&str], own: &mut OwnStatement) {
        let now = self.now();
        let logged_at = *own.logged_at.get_or_insert(now);
        if now - logged_at > LOG_INTERVAL {
            own.logged_at = Some(now);
            let nodes = missing.join(",");
            log::info!(format = CURRENT_FORMAT.0, nodes = nodes.as_str(); "feature level waits for members");
        }
    }

    /// Raises the feature level and puts the counter of terms into its fenced form, if a controller of this
    /// version leads.
    ///
    /// A controller of an earlier version may lead although all members have stated the current format: a
    /// statement outlives its process by its lease, and another process may have been started since. That leader
    /// would go on leading, so the leadership of this version is a precondition: a counter and a leader record
    /// of the same revision were written together, and only this version's counters tell when an earlier version
    /// led. A counter that was raised since for a fencing token names the revision of the leader that raised it.
    fn fence_earlier_versions(
        &self,
        mut preconditions: Vec<Precondition>,
    ) -> Result<(), StoreError> {
        let (Some(stored_counter), Some(leader)) = (
            self.store.get(TERM_KEY, StorePriority::Normal)?,
            self.store.get(LEADER_KEY, StorePriority::Normal)?,
        ) else {
            return Ok(());
        };
        let counter = TermCounter::read(Some(&stored_counter))?;
        let this_version_leads = counter.older_version_led_at < stored_counter.revision
            && counter.is_of_leader(stored_counter.revision, leader.revision);
        if !this_version_leads && !counter.fenced {
            return Ok(());
        }
        preconditions.push(Precondition::new(TERM_KEY, stored_counter.revision));
        preconditions.push(Precondition::new(LEADER_KEY, leader.revision));
        let changes = [
            Change::write(FEATURE_LEVEL_KEY, to_value(&CURRENT_FORMAT)),
            Change::write(TERM_KEY, counter.in_form(true).to_value()),
        ];
        let outcome = self
            .store
            .transact(&preconditions, &changes, StorePriority::Normal)?;
        if let TransactionOutcome::Committed { revision } = outcome {
            self.note_feature_level(FeatureLevel {
                format: CURRENT_FORMAT,
                revision,
            });
        }
        Ok(())
    }
}

fn statement_key(node: &str) -> String {
    format!("{STATEMENTS_PREFIX}{node}")
}
