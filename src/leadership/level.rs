//! Which record formats all controllers know, and from when on an earlier version can't lead any more.
//!
//! While a service is upgraded, processes of two versions serve side by side, and either may lead. A
//! controller that doesn't know a kind of record can't act on it: an earlier leader skips a standing
//! job, and stops its replicas as tasks that it knows nothing of. So each process states the format that
//! it knows in the state service, under a lease of its own. Once all members have stated this version's
//! format at the same time, while a controller of this version leads, one transaction writes that down
//! and puts the counter of terms into a form that earlier versions can't read ([`super::term`]). From then
//! on they can serve, but not lead, even if a process comes back in an earlier version.

use super::LEADER_KEY;
use super::term::{TERM_KEY, TermRecord};
use crate::controller::Controller;
use crate::os::random_pause;
use crate::state_store::{Change, Commit, Guard, Row, StoreError, Urgency, from_value, to_value};
use crate::time::{Micros, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// What this version reads and writes. 1: arrays only. 2: standing jobs as well. 3: terms in the form
/// that earlier versions can't read.
pub const FORMAT: u64 = 3;
/// The first format with standing jobs.
const STANDING_FORMAT: u64 = 2;
/// The format that all controllers know. Only [`super::rollback`] takes it away.
pub const LEVEL_KEY: &str = "level";
/// What each running process knows: vanishes with it.
const MEMBERS_PREFIX: &str = "members/";
const STATEMENT_LIFE: Micros = Micros::from_secs(20);
const EVERY_MS: u64 = 2000;
/// How often an operator is told for whom the newest format waits.
const TELL_EVERY: Micros = Micros::from_secs(60);
const RENEW_TIME: Duration = Duration::from_millis(1000);

/// The stored level, as this process last read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level {
    /// All controllers know this format.
    pub format: u64,
    /// The revision of [`LEVEL_KEY`], 0 while it is absent.
    pub revision: u64,
}

impl Level {
    fn read(row: Option<&Row>) -> Level {
        let known = row.and_then(|row| Some((from_value(&row.data)?, row.revision)));
        let (format, revision) = known.unwrap_or((0, row.map_or(0, |row| row.revision)));
        Level { format, revision }
    }

    /// Standing jobs may be accepted.
    pub fn has_standing_jobs(self) -> bool {
        self.format >= STANDING_FORMAT
    }

    /// Holds as long as the level was not taken back. Every acceptance of a standing job carries it.
    pub fn guard(self) -> Guard {
        Guard::new(LEVEL_KEY, self.revision)
    }
}

/// This process's statement of the format that it knows.
#[derive(Default)]
struct Statement {
    lease: Option<u64>,
    /// When an operator was last told for whom the newest format waits.
    told: Option<Moment>,
}

impl Controller {
    /// The format that all controllers are known to know.
    pub fn level(&self) -> Level {
        *self.level.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn note_level(&self, level: Level) {
        let before = std::mem::replace(
            &mut *self.level.lock().unwrap_or_else(|e| e.into_inner()),
            level,
        );
        if level.format != before.format {
            log::info!("all controllers know format {}", level.format);
        }
    }

    /// States this process's format until all have stated it.
    pub fn level_loop(&self) {
        let mut statement = Statement::default();
        while self.level().format < FORMAT {
            if let Err(e) = self.raise_level(&mut statement) {
                log::debug!("level of the controllers unknown: {e}");
            }
            if self.level().format < FORMAT {
                random_pause(&*self.os, EVERY_MS / 2, EVERY_MS);
            }
        }
        if let Some(lease) = statement.lease {
            let _ = self.store.end_lease(lease);
        }
    }

    fn raise_level(&self, statement: &mut Statement) -> Result<(), StoreError> {
        let row = self.store.get(LEVEL_KEY, Urgency::Normal)?;
        let level = Level::read(row.as_ref());
        self.note_level(level);
        if level.format >= FORMAT {
            return Ok(());
        }
        self.keep_statement(statement)?;
        let stated = self.read_statements()?;
        if !stated.contains_key(&self.settings.node) {
            // Its lease ran out, as after standing still: it is stated anew.
            statement.lease = None;
        }
        match self.guards_of_all(&stated) {
            Ok(mut guards) => {
                guards.push(level.guard());
                self.fence_earlier_versions(guards)
            }
            Err(missing) => {
                self.tell_missing(&missing, statement);
                Ok(())
            }
        }
    }

    /// Renews the statement's lease, or makes the statement.
    fn keep_statement(&self, statement: &mut Statement) -> Result<(), StoreError> {
        if let Some(lease) = statement.lease {
            return match self.store.renew_lease(lease, RENEW_TIME) {
                Err(StoreError::NoLease) => {
                    statement.lease = None;
                    Ok(())
                }
                other => other,
            };
        }
        let lease = self.store.grant_lease(STATEMENT_LIFE)?;
        let change = Change::Write {
            write: format!("{MEMBERS_PREFIX}{}", self.settings.node),
            data: to_value(&FORMAT),
            lease: Some(lease),
        };
        self.store.transact(&[], &[change], Urgency::Normal)?;
        statement.lease = Some(lease);
        Ok(())
    }

    /// By member, the format that it states and the revision of the statement.
    fn read_statements(&self) -> Result<BTreeMap<String, Level>, StoreError> {
        let page = self
            .store
            .range(MEMBERS_PREFIX, None, 100, Urgency::Normal)?;
        let statement = |row: &Row| {
            let node = row.key.strip_prefix(MEMBERS_PREFIX)?;
            Some((node.to_string(), Level::read(Some(row))))
        };
        Ok(page.rows.iter().filter_map(statement).collect())
    }

    /// Guards that hold while all members state this version's format; else those that don't.
    fn guards_of_all(&self, stated: &BTreeMap<String, Level>) -> Result<Vec<Guard>, Vec<&str>> {
        let members = self.settings.members.iter().map(|m| m.node.as_str());
        let (mut guards, mut missing) = (Vec::new(), Vec::new());
        for node in members.chain([self.settings.node.as_str()]) {
            match stated.get(node) {
                Some(statement) if statement.format >= FORMAT => {
                    let key = format!("{MEMBERS_PREFIX}{node}");
                    guards.push(Guard::new(key, statement.revision));
                }
                _ => missing.push(node),
            }
        }
        if missing.is_empty() {
            Ok(guards)
        } else {
            Err(missing)
        }
    }

    fn tell_missing(&self, missing: &[&str], statement: &mut Statement) {
        let now = self.now();
        let last = *statement.told.get_or_insert(now);
        if now - last > TELL_EVERY {
            statement.told = Some(now);
            let names = missing.join(", ");
            log::info!("format {FORMAT} waits until {names} knows it");
        }
    }

    /// Writes the level and fences earlier versions off, if a controller of this version leads.
    ///
    /// An earlier version may lead although all have stated the newest format: a statement outlives its
    /// process by its lease, and another process may have come back since. That leader would go on
    /// behind the fence, so the transaction guards the lead of this version: a term and a leader of the
    /// same revision were written together, and only this version's terms tell when earlier ones led. A
    /// term that was raised since names the revision of the leader that raised it.
    fn fence_earlier_versions(&self, mut guards: Vec<Guard>) -> Result<(), StoreError> {
        let (Some(term_row), Some(leader_row)) = (
            self.store.get(TERM_KEY, Urgency::Normal)?,
            self.store.get(LEADER_KEY, Urgency::Normal)?,
        ) else {
            return Ok(());
        };
        let term = TermRecord::read(Some(&term_row))?;
        let led_by_this_version = term.older_version_led_at < term_row.revision
            && term.is_of_leader(term_row.revision, leader_row.revision);
        if !led_by_this_version && !term.fenced {
            return Ok(());
        }
        guards.push(Guard::new(TERM_KEY, term_row.revision));
        guards.push(Guard::new(LEADER_KEY, leader_row.revision));
        let changes = [
            Change::write(LEVEL_KEY, to_value(&FORMAT)),
            Change::write(TERM_KEY, term.in_form(true).to_value()),
        ];
        if let Commit::Done { revision } =
            self.store.transact(&guards, &changes, Urgency::Normal)?
        {
            self.note_level(Level {
                format: FORMAT,
                revision,
            });
        }
        Ok(())
    }
}
