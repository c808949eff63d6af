//! The thread that raises the feature level once all members can read the current record format.
//!
//! Each process announces the format that it can read, in a key under a lease of its own. Once all members announce
//! the current format at the same time, and a controller of this version is the leader, one transaction raises the
//! feature level and rewrites the term counter in a form that earlier versions can't read ([`super::term_counter`]).
//! From then on processes of earlier versions can serve requests, but can't be elected.

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

/// Key prefix of the members' announcements. An announcement is deleted when its process no longer renews its lease.
const ANNOUNCEMENTS_PREFIX: &str = "members/";
/// Duration of the lease of an announcement.
const ANNOUNCEMENT_LEASE: Micros = Micros::from_secs(20);
/// Timeout of one renewal of that lease.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of announcements that are read.
const MAX_ANNOUNCEMENTS: usize = 100;
/// Lower bound of the random pause between two rounds, in milliseconds.
const MIN_ROUND_PAUSE_MS: u64 = 1000;
/// Upper bound of the random pause between two rounds, in milliseconds.
const MAX_ROUND_PAUSE_MS: u64 = 2000;
/// Minimum time between two log lines about members without an announcement of the current format.
const LOG_INTERVAL: Micros = Micros::from_secs(60);

/// This process's announcement of the format that it can read.
#[derive(Default)]
struct OwnAnnouncement {
    /// Id of the announcement's lease; `None` while there is no announcement.
    lease_id: Option<u64>,
    /// Time of the last log line about missing members. Starts at the first round with missing members, which is not
    /// logged itself.
    logged_at: Option<Moment>,
}

/// Announced format of each member, and the revision of the announcement, by member name.
type Announcements = BTreeMap<String, FeatureLevel>;

/// Whether all members announce the current format.
enum MemberReadiness<'a> {
    /// All members announce it; the preconditions hold while the announcements are unchanged.
    AllReady(Vec<Precondition>),
    /// The named members don't announce it.
    Missing(Vec<&'a str>),
}

impl Controller {
    /// Feature level as this process last read or wrote it.
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

    /// Announces the format that this process can read, and raises the feature level once all members announce it.
    /// Returns once the feature level is that of this version.
    pub(crate) fn feature_level_loop(&self) {
        let mut own = OwnAnnouncement::default();
        while self.feature_level().format < CURRENT_FORMAT {
            if let Err(error) = self.raise_feature_level(&mut own) {
                log::debug!(error:%; "feature level update failed");
            }
            if self.feature_level().format < CURRENT_FORMAT {
                self.pause(MIN_ROUND_PAUSE_MS, MAX_ROUND_PAUSE_MS);
            }
        }
        if let Some(lease_id) = own.lease_id {
            // On an error the lease expires without this request.
            let _ = self.store.end_lease(lease_id);
        }
    }

    /// One round: renews this process's announcement, and raises the feature level if all members are ready.
    fn raise_feature_level(&self, own: &mut OwnAnnouncement) -> Result<(), StoreError> {
        let stored = self.store.get(FEATURE_LEVEL_KEY, StorePriority::Normal)?;
        let level = FeatureLevel::read(stored.as_ref());
        self.note_feature_level(level);
        if level.format >= CURRENT_FORMAT {
            return Ok(());
        }
        self.renew_or_create_announcement(own)?;
        let announcements = self.read_announcements()?;
        if !announcements.contains_key(&self.settings.node) {
            // The lease has expired, for example because the process was suspended for a long time. The next round
            // creates a new announcement.
            own.lease_id = None;
        }
        match self.member_readiness(&announcements) {
            MemberReadiness::AllReady(mut preconditions) => {
                preconditions.push(level.precondition());
                self.fence_earlier_versions(preconditions)
            }
            MemberReadiness::Missing(missing) => {
                self.log_missing(&missing, own);
                Ok(())
            }
        }
    }

    /// Renews the lease of this process's announcement, or creates the announcement.
    fn renew_or_create_announcement(&self, own: &mut OwnAnnouncement) -> Result<(), StoreError> {
        if let Some(lease_id) = own.lease_id {
            return match self.store.renew_lease(lease_id, RENEWAL_TIMEOUT) {
                Err(StoreError::LeaseExpired) => {
                    own.lease_id = None;
                    Ok(())
                }
                other => other,
            };
        }
        let lease_id = self.store.grant_lease(ANNOUNCEMENT_LEASE)?;
        let key = announcement_key(&self.settings.node);
        let change = Change::write_with_lease(key, to_value(&CURRENT_FORMAT), lease_id);
        self.store.transact(&[], &[change], StorePriority::Normal)?;
        own.lease_id = Some(lease_id);
        Ok(())
    }

    fn read_announcements(&self) -> Result<Announcements, StoreError> {
        let priority = StorePriority::Normal;
        let page = self
            .store
            .range(ANNOUNCEMENTS_PREFIX, None, MAX_ANNOUNCEMENTS, priority)?;
        let announcement = |stored: &KeyValue| {
            let node = stored.key.strip_prefix(ANNOUNCEMENTS_PREFIX)?;
            Some((node.to_string(), FeatureLevel::read(Some(stored))))
        };
        Ok(page.rows.iter().filter_map(announcement).collect())
    }

    fn member_readiness(&self, announcements: &Announcements) -> MemberReadiness<'_> {
        let peers = self.settings.members.iter().map(|m| m.node.as_str());
        let (mut preconditions, mut missing) = (Vec::new(), Vec::new());
        for node in peers.chain([self.settings.node.as_str()]) {
            match announcements.get(node) {
                Some(announced) if announced.format >= CURRENT_FORMAT => {
                    let key = announcement_key(node);
                    preconditions.push(Precondition::new(key, announced.revision));
                }
                _ => missing.push(node),
            }
        }
        if missing.is_empty() {
            MemberReadiness::AllReady(preconditions)
        } else {
            MemberReadiness::Missing(missing)
        }
    }

    fn log_missing(&self, missing: &[&str], own: &mut OwnAnnouncement) {
        let now = self.now();
        let logged_at = *own.logged_at.get_or_insert(now);
        if now - logged_at > LOG_INTERVAL {
            own.logged_at = Some(now);
            let nodes = missing.join(",");
            log::info!(
                format = CURRENT_FORMAT.0, nodes = nodes.as_str();
                "waiting for members to announce the current format"
            );
        }
    }

    /// Raises the feature level and rewrites the term counter in its fenced form, if a controller of this version is
    /// the leader.
    ///
    /// A controller of an earlier version may be the leader although all members have announced the current format:
    /// an announcement outlives its process until its lease expires, and a process of an earlier version may have
    /// been started in the meantime. That leader would remain the leader, so it is a precondition that a controller
    /// of this version leads. A term counter and a leader record with the same revision were written by the same
    /// election, and only counters written by this version record when an earlier version led. A counter that was
    /// raised later for a fencing token contains the election revision of the leader that raised it.
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
            && counter.was_raised_by_leader(stored_counter.revision, leader.revision);
        if !this_version_leads && !counter.fenced {
            return Ok(());
        }
        preconditions.push(Precondition::new(TERM_KEY, stored_counter.revision));
        preconditions.push(Precondition::new(LEADER_KEY, leader.revision));
        let changes = [
            Change::write(FEATURE_LEVEL_KEY, to_value(&CURRENT_FORMAT)),
            Change::write(TERM_KEY, counter.with_fenced(true).to_value()),
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

fn announcement_key(node: &str) -> String {
    format!("{ANNOUNCEMENTS_PREFIX}{node}")
}
