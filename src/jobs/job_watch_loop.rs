//! The job watch: the loop by which the leader learns of jobs that other controllers accept.

use super::{JOBS_PREFIX, Submission};
use crate::controller::{Controller, TerminalStates};
use crate::scheduler::SchedulerState;
use crate::state_store::{Changes, Page, StoreError, Urgency, from_value};
use crate::time::{Micros, Moment, WallTime};
use ciborium::Value;
use std::time::Duration;

/// While this controller doesn't lead, it looks again after this long, or when something changes.
const STANDBY_TIME: Duration = Duration::from_millis(500);
/// How long the store holds a request until something changes.
const WATCH_TIME: Micros = Micros::from_secs(10);
/// Bounds in milliseconds of the pause after a request that failed.
const RETRY_PAUSE_MS: (u64, u64) = (200, 500);
/// Records that one request asks for.
const PAGE_ROWS: usize = 100;

/// When records were read, by both of this controller's clocks.
#[derive(Clone, Copy)]
struct ReadTime {
    now: Moment,
    wall: WallTime,
}

/// Adds a job that was read from the store, unless it is over. False if its record is malformed.
fn add_recorded_job(
    scheduler: &mut SchedulerState,
    terminal_states: &TerminalStates,
    record: &Value,
    revision: u64,
    read: ReadTime,
) -> bool {
    let Some(submission) = from_value::<Submission>(record) else {
        return false;
    };
    // A job that is retired already must not come back by a late event.
    if terminal_states.get(&submission.id).is_none() {
        scheduler.add_job(&submission, revision, read.now, read.wall);
    }
    true
}

impl Controller {
    /// Watches for jobs that other controllers accept while this one leads, for as long as the process
    /// lives.
    pub fn job_watch_loop(&self) {
        loop {
            let state = self.state();
            let (Some(lead), Some(_)) = (&state.lead, &state.scheduler) else {
                self.await_change(state, STANDBY_TIME);
                continue;
            };
            let (term, since) = (lead.term, state.jobs_revision);
            drop(state);
            match self.store.changes(JOBS_PREFIX, since, WATCH_TIME) {
                Ok(changes) => self.add_changed_jobs(term, since, &changes),
                Err(StoreError::TooOld) => {
                    log::info!(term, since; "job watch too old: reading all jobs");
                    self.read_all_jobs(term);
                }
                Err(error) => {
                    log::debug!(term, error:%; "job watch failed");
                    self.pause_before_retry();
                }
            }
        }
    }

    /// Takes in what the watch tells of jobs after the revision `since`.
    fn add_changed_jobs(&self, term: u64, since: u64, changes: &Changes) {
        let read = self.read_time();
        let mut state = self.state();
        let state = &mut *state;
        let (Some(lead), Some(scheduler)) = (&state.lead, &mut state.scheduler) else {
            return;
        };
        if lead.term != term {
            return;
        }
        state.jobs_revision = changes.revision.max(since);
        for event in &changes.log {
            let (Some(_), Some(record)) = (&event.write, &event.data) else {
                continue;
            };
            let over = &state.terminal_states;
            if !add_recorded_job(scheduler, over, record, event.revision, read) {
                log::error!(revision = event.revision; "malformed job in the watch");
            }
        }
        if read.now < lead.valid_until {
            scheduler.place_soon(read.now);
            self.wake(scheduler);
        }
    }

    /// Reads all jobs, up to the first request that fails or the end of the term. The watch goes on from
    /// there.
    fn read_all_jobs(&self, term: u64) {
        let mut since: Option<String> = None;
        let mut revision = None;
        loop {
            let page = self
                .store
                .range(JOBS_PREFIX, since.as_deref(), PAGE_ROWS, Urgency::Normal);
            let Ok(page) = page else {
                self.pause_before_retry();
                return;
            };
            let revision = *revision.get_or_insert(page.revision);
            if !self.add_page_of_jobs(term, &page, revision) || !page.more {
                return;
            }
            since = page.rows.last().map(|row| row.key.clone()).or(since);
        }
    }

    /// Takes in a page of jobs; false if the term is over. After the last page the watch goes on at
    /// `revision`.
    fn add_page_of_jobs(&self, term: u64, page: &Page, revision: u64) -> bool {
        let read = self.read_time();
        let mut state = self.state();
        let state = &mut *state;
        let (Some(lead), Some(scheduler)) = (&state.lead, &mut state.scheduler) else {
            return false;
        };
        if lead.term != term {
            return false;
        }
        for row in &page.rows {
            let over = &state.terminal_states;
            add_recorded_job(scheduler, over, &row.data, row.revision, read);
        }
        if !page.more {
            state.jobs_revision = revision;
        }
        true
    }

    fn read_time(&self) -> ReadTime {
        ReadTime {
            now: self.now(),
            wall: self.os.wall(),
        }
    }

    fn pause_before_retry(&self) {
        let (low, high) = RETRY_PAUSE_MS;
        self.pause(low, high);
    }
}
