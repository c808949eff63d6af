//! Reading back keys whose revisions were not as expected because an earlier write of this leader whose outcome was
//! unknown had been applied.

use super::records::{final_key, job_key, parse_done_key};
use super::{DoneRecord, FinalRecord, JOBS_PREFIX, JobView, WATERMARKS_PREFIX};
use crate::controller::Controller;
use crate::provisioning::REGISTRY_PREFIX;
use crate::scheduler::SchedulerState;
use crate::store::{StorePriority, from_value};

impl Controller {
    /// Reads back the keys whose preconditions failed, and applies their values or revisions to the state of this
    /// term.
    pub(super) fn read_back(&self, term: u64, failed: &[String]) {
        for key in failed {
            if let Some(page) = key.strip_prefix(WATERMARKS_PREFIX) {
                self.read_back_page(term, key, page, |scheduler, number, revision| {
                    let pages = &mut scheduler.jobs.start_watermarks;
                    pages.set_revision(number, revision);
                });
            } else if let Some(page) = key.strip_prefix(REGISTRY_PREFIX) {
                self.read_back_page(term, key, page, |scheduler, number, revision| {
                    let pages = &mut scheduler.provisioning.registry;
                    pages.set_revision(number, revision);
                });
            } else if let Some((id, chunk)) = parse_done_key(key) {
                self.read_back_done_set(term, key, id, chunk);
            } else {
                log::info!(key; "precondition failed");
                self.read_back_job(term, key);
            }
        }
        self.state_changed.notify_all();
    }

    fn read_back_done_set(&self, term: u64, key: &str, id: &str, chunk: u32) {
        match self.store.get(key, StorePriority::Leadership) {
            Ok(Some(row)) => {
                let record: DoneRecord = from_value(&row.data).unwrap_or_default();
                self.with_scheduler(term, |scheduler| {
                    scheduler.apply_done_record(id, chunk, &record, row.revision);
                });
            }
            Ok(None) => {
                self.with_scheduler(term, |scheduler| {
                    scheduler.jobs.note_done_key_absent(id, chunk)
                });
                self.read_back_job(term, &job_key(id));
            }
            Err(error) => log::debug!(key, error:%; "failed to read back done set"),
        }
    }

    /// Reads back the revision of a page that a write of unknown outcome may have changed. The page is then written
    /// again over that write. Once the page's revision is known, the earlier write can't be applied any more.
    fn read_back_page(
        &self,
        term: u64,
        key: &str,
        number: &str,
        set_revision: impl FnOnce(&mut SchedulerState, u32, u64),
    ) {
        let revision = match self.store.get(key, StorePriority::Leadership) {
            Ok(row) => row.map_or(0, |row| row.revision),
            Err(error) => {
                log::debug!(key, error:%; "failed to read back page revision");
                return;
            }
        };
        if let Ok(number) = number.parse() {
            self.with_scheduler(term, |scheduler| set_revision(scheduler, number, revision));
        }
    }

    /// Applies the final record of a job whose key under `jobs/` is absent: its retirement was applied although the
    /// outcome of that write was unknown.
    fn read_back_job(&self, term: u64, key: &str) {
        let Some(id) = key.strip_prefix(JOBS_PREFIX) else {
            return;
        };
        let Ok(None) = self.store.get(key, StorePriority::Leadership) else {
            return;
        };
        let Ok(Some(row)) = self.store.get(&final_key(id), StorePriority::Leadership) else {
            return;
        };
        let Some(record) = from_value::<FinalRecord>(&row.data) else {
            log::error!(key = row.key; "malformed final record");
            return;
        };
        let view = JobView::of_final(record.state, record.tasks);
        self.state().final_states.insert(id, view);
        self.with_scheduler(term, |scheduler| {
            if let Some(job) = scheduler.jobs.find(id) {
                scheduler.apply_outcome(job, record.state);
                scheduler.forget_job(job);
            }
        });
    }
}
