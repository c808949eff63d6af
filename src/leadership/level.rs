//! Which versions there are among the controllers, and from when on a record of a new kind may be written.
//!
//! While a service is upgraded, processes of two versions serve side by side, and either may lead. A
//! controller that doesn't know a kind of record can't act on it: an older leader would skip a standing
//! job, and stop its replicas as tasks that it knows nothing of. So each process states the format that
//! it knows in the state service, under a lease of its own, and once all members have stated the newer
//! one at the same time that is written down for good. Names and times tell nothing: a process of an
//! older version may be back at any moment until then.

use crate::node::Node;
use crate::os::pause;
use crate::state_store::{Change, Commit, Guard, StoreError, Urgency, from_value, to_value};
use crate::time::{Micros, Moment};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// What this version reads and writes. 1: arrays only. 2: standing jobs as well.
pub const FORMAT: u64 = 2;
/// The format that all controllers know, never lowered.
pub const LEVEL_KEY: &str = "level";
/// What each running process knows: vanishes with it.
const MEMBERS_PREFIX: &str = "members/";
const STATEMENT_LIFE: Micros = Micros::from_secs(20);
const EVERY_MS: u64 = 2000;
/// How often an operator is told for whom standing jobs wait.
const TELL_EVERY: Micros = Micros::from_secs(60);
const RENEW_TIME: Duration = Duration::from_millis(1000);

impl Node {
    /// True once every controller knows this version's format.
    pub fn all_know_format(&self) -> bool {
        self.level.load(Ordering::Relaxed) >= FORMAT
    }

    /// States this process's format until all have stated it.
    pub fn level_loop(&self) {
        let mut statement = None;
        let mut told = self.now();
        while !self.all_know_format() {
            if let Err(e) = self.raise_level(&mut statement, &mut told) {
                log::debug!("level of the controllers unknown: {e}");
            }
            if !self.all_know_format() {
                pause(&*self.os, EVERY_MS / 2, EVERY_MS);
            }
        }
        log::info!("all controllers know format {FORMAT}");
        if let Some(core) = &mut self.core().cluster {
            core.all_know_format();
        }
        if let Some(lease) = statement {
            let _ = self.store.end_lease(lease);
        }
    }

    fn raise_level(
        &self,
        statement: &mut Option<u64>,
        told: &mut Moment,
    ) -> Result<(), StoreError> {
        let level = self.store.get(LEVEL_KEY, Urgency::Normal)?;
        let known = level.as_ref().and_then(|row| from_value(&row.data));
        if let Some(known) = known
            && known >= FORMAT
        {
            self.level.store(known, Ordering::Relaxed);
            return Ok(());
        }
        match *statement {
            Some(lease) => match self.store.renew_lease(lease, RENEW_TIME) {
                Err(StoreError::NoLease) => *statement = None,
                other => other?,
            },
            None => {
                let lease = self.store.grant_lease(STATEMENT_LIFE)?;
                let change = Change::Write {
                    write: format!("{MEMBERS_PREFIX}{}", self.settings.node),
                    data: to_value(&FORMAT),
                    lease: Some(lease),
                };
                self.store.transact(&[], &[change], Urgency::Normal)?;
                *statement = Some(lease);
            }
        }
        let stated = self
            .store
            .range(MEMBERS_PREFIX, None, 100, Urgency::Normal)?
            .rows;
        let stated: BTreeMap<&str, (u64, u64)> = stated
            .iter()
            .filter_map(|row| {
                let node = row.key.strip_prefix(MEMBERS_PREFIX)?;
                Some((node, (from_value(&row.data)?, row.revision)))
            })
            .collect();
        if !stated.contains_key(self.settings.node.as_str()) {
            // Its lease ran out, as after standing still: it is stated anew.
            *statement = None;
        }
        let members = self.settings.members.iter().map(|m| m.node.as_str());
        let mut missing = Vec::new();
        let mut guards = vec![Guard::new(LEVEL_KEY, level.map_or(0, |row| row.revision))];
        for node in members.chain([self.settings.node.as_str()]) {
            match stated.get(node) {
                Some((format, revision)) if *format >= FORMAT => {
                    guards.push(Guard::new(format!("{MEMBERS_PREFIX}{node}"), *revision));
                }
                _ => missing.push(node),
            }
        }
        if !missing.is_empty() {
            let now = self.now();
            if now - *told > TELL_EVERY {
                *told = now;
                let names = missing.join(", ");
                log::info!("standing jobs wait until {names} knows them");
            }
            return Ok(());
        }
        let change = Change::write(LEVEL_KEY, to_value(&FORMAT));
        if let Commit::Done { .. } = self.store.transact(&guards, &[change], Urgency::Normal)? {
            self.level.store(FORMAT, Ordering::Relaxed);
        }
        Ok(())
    }
}
