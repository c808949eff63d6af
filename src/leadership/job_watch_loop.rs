//! The leader's thread that watches the store for jobs accepted by other controllers.

use crate::controller::{Controller, ControllerState};
use crate::jobs::JOBS_PREFIX;
use crate::jobs::Submission;
use crate::store::{StoreError, StorePriority, WatchBatch, from_value};
use crate::time::Micros;
use std::time::Duration;

/// Longest wait of one watch if nothing changes.
const WATCH_WAIT: Micros = Micros::from_secs(10);
/// Maximum number of keys per range read when the jobs are read again.
const PAGE_SIZE: usize = 100;

/// Position in the store's change history from which the jobs are watched.
#[derive(Clone, Copy)]
struct WatchPosition {
    /// Term of the leader that watches; changes are ignored once this term is over.
    term: u64,
    /// Store revision up to which the leader knows all accepted jobs.
    since: u64,
}

impl Controller {
    /// Watches the accepted jobs while this controller leads. Never returns.
    pub(crate) fn job_watch_loop(&self) {
        loop {
            let Some(position) = self.job_watch_position() else {
                continue;
            };
            match self.store.watch(JOBS_PREFIX, position.since, WATCH_WAIT) {
                Ok(batch) => self.add_watched_jobs(position, &batch),
                Err(StoreError::WatchExpired { .. }) => {
                    log::info!(term = position.term, revision = position.since; "job watch expired");
                    self.read_jobs_again(position.term);
                }
                Err(error) => {
                    log::debug!(term = position.term, error:%; "job watch failed");
                    self.pause_before_retry();
                }
            }
        }
    }

    /// Position from which the watch continues. If this controller isn't the leader, waits for a change of state and
    /// returns `None`.
    fn job_watch_position(&self) -> Option<WatchPosition> {
        let state = self.state();
        match (&state.leader_lease, &state.scheduler) {
            (Some(leader_lease), Some(_)) => Some(WatchPosition {
                term: leader_lease.term,
                since: state.jobs_revision,
            }),
            _ => {
                self.wait_for_change(state, Duration::from_millis(500));
                None
            }
        }
    }

    /// Adds the jobs of a batch to the scheduler state, unless the term has ended.
    fn add_watched_jobs(&self, position: WatchPosition, batch: &WatchBatch) {
        let (now, wall) = (self.now(), self.os.wall());
        let mut state = self.state();
        let ControllerState {
            leader_lease: Some(leader_lease),
            scheduler: Some(scheduler),
            final_states,
            jobs_revision,
            ..
        } = &mut *state
        else {
            return;
        };
        if leader_lease.term != position.term {
            return;
        }
        *jobs_revision = batch.revision.max(position.since);
        for event in &batch.events {
            let (Some(key), Some(data)) = (&event.write, &event.data) else {
                continue;
            };
            let Some(submission) = from_value::<Submission>(data) else {
                log::error!(key = key.as_str(); "malformed stored record");
                continue;
            };
            // A delayed event must not add a finished job again.
            if final_states.get(&submission.id).is_none() {
                scheduler.add_job(&submission, event.revision, now, wall);
            }
        }
        if now < leader_lease.valid_until {
            scheduler.place_if_due(now);
            self.wake_loops(scheduler);
        }
    }

    /// Reads all jobs and sets the revision from which the watch continues. If a read fails the revision stays as it
    /// is, so the next watch expires as well and the jobs are read again.
    fn read_jobs_again(&self, term: u64) {
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.store.range(
                JOBS_PREFIX,
                after.as_deref(),
                PAGE_SIZE,
                StorePriority::Leadership,
            );
            let Ok(page) = page else {
                self.pause_before_retry();
                return;
            };
            let first_revision = *first_revision.get_or_insert(page.revision);
            let (now, wall) = (self.now(), self.os.wall());
            let mut state = self.state();
            let ControllerState {
                leader_lease: Some(leader_lease),
                scheduler: Some(scheduler),
                final_states,
                jobs_revision,
                ..
            } = &mut *state
            else {
                return;
            };
            if leader_lease.term != term {
                return;
            }
            for stored in &page.rows {
                if let Some(submission) = from_value::<Submission>(&stored.data)
                    && final_states.get(&submission.id).is_none()
                {
                    scheduler.add_job(&submission, stored.revision, now, wall);
                }
            }
            if !page.more {
                *jobs_revision = first_revision;
                return;
            }
            after = page.rows.last().map(|last| last.key.clone()).or(after);
        }
    }
}
