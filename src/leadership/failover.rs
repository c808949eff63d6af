//! Failover: reading the stored state after winning an election.

use super::leader_lease::LeaderLease;
use super::leader_term::{LeaseRenewal, LeaseStatus};
use super::record_loader::{ReadTime, RecordLoader};
use crate::controller::Controller;
use crate::jobs::WATERMARKS_PREFIX;
use crate::jobs::{DONE_PREFIX, JOBS_PREFIX};
use crate::provisioning::REGISTRY_PREFIX;
use crate::scheduler::SchedulerState;
use crate::store::{RangePage, StorePriority};
use crate::time::{Micros, Moment};

/// Maximum number of keys per range read.
const PAGE_SIZE: usize = 100;

/// Key prefixes in the order in which they are read. The machine registry and the start watermarks come before the
/// jobs, since they determine which tasks of a job may have started.
const PREFIXES: [&str; 4] = [REGISTRY_PREFIX, WATERMARKS_PREFIX, JOBS_PREFIX, DONE_PREFIX];

impl Controller {
    /// Reads all records that a leader needs from the store and renews the lease meanwhile. There is no time limit:
    /// failed reads are retried until they succeed. Returns `None` if the lease is lost.
    pub(super) fn read_stored_state(
        &self,
        leader_lease: &LeaderLease,
        elected_at: Moment,
        renewal: &mut LeaseRenewal,
    ) -> Option<SchedulerState> {
        let mut scheduler = self.initial_state(leader_lease, elected_at);
        let mut jobs_revision = None;
        for prefix in PREFIXES {
            let first_revision = self.read_prefix(prefix, &mut scheduler, renewal)?;
            if prefix == JOBS_PREFIX {
                jobs_revision = Some(first_revision);
            }
        }
        scheduler.jobs.drop_stale_watermarks();
        self.state().jobs_revision = jobs_revision.unwrap_or(leader_lease.revision);
        Some(scheduler)
    }

    /// Scheduler state before any stored record has been added.
    fn initial_state(&self, leader_lease: &LeaderLease, elected_at: Moment) -> SchedulerState {
        let seed = fastrand::u64(..);
        let config = self.scheduler_config();
        let mut scheduler = SchedulerState::new(config, leader_lease.term, elected_at, seed);
        if let Some(catalog) = self.catalog() {
            scheduler.provisioning.catalog = catalog.to_vec();
        }
        scheduler.wall_at_start = self.os.wall();
        scheduler.prior_term.older_version_led_at = leader_lease.older_version_led_at;
        scheduler
    }

    /// Reads all keys of a prefix. Returns the revision of the first page: a watch from that revision on misses no
    /// change. Returns `None` if the lease is lost.
    fn read_prefix(
        &self,
        prefix: &str,
        scheduler: &mut SchedulerState,
        renewal: &mut LeaseRenewal,
    ) -> Option<u64> {
        // Maximum difference of two clocks, each of which may deviate from true time by the allowed skew.
        let wall_skew = Micros::from_secs_f64(self.settings.settings.skew_ms / 500.0);
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.read_page(prefix, after.as_deref(), renewal)?;
            let first_revision = *first_revision.get_or_insert(page.revision);
            let time = ReadTime {
                now: self.now(),
                wall: self.os.wall(),
                wall_skew,
            };
            let mut loader = RecordLoader { scheduler, time };
            for stored in &page.rows {
                loader.load(prefix, stored);
            }
            after = page.rows.last().map(|last| last.key.clone()).or(after);
            if !page.more {
                return Some(first_revision);
            }
        }
    }

    /// Reads one page, retrying until it succeeds. Returns `None` if the lease is lost.
    fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        renewal: &mut LeaseRenewal,
    ) -> Option<RangePage> {
        loop {
            if self.renew_if_due(renewal) == LeaseStatus::Lost {
                return None;
            }
            let result = self
                .store
                .range(prefix, after, PAGE_SIZE, StorePriority::Leadership);
            match result {
                Ok(page) => return Some(page),
                Err(error) => {
                    log::debug!(prefix, error:%; "failed to read stored state");
                    self.pause(100, 300);
                }
            }
        }
    }
}
