//! Reading back keys whose revisions were not as expected: an earlier write of this leader that got no
//! answer was applied.

use super::records::{final_key, job_key, parse_done_key};
use super::{DoneRecord, FinalRecord, JOBS_PREFIX, JobView, WATERMARKS_PREFIX};
use crate::controller::Controller;
use crate::provisioning::REGISTRY_PREFIX;
use crate::scheduler::SchedulerState;
use crate::store::{StorePriority, from_value};

impl Controller {
    /// Reads the keys back whose preconditions failed.
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
        match self.store.get(key, StorePriority::Normal) {
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
            Err(error) => log::debug!(key, error:%; "not read back"),
        }
    }

    /// A page that a write without an answer changed is written again over that one, which can't be
    /// applied any more once the page's revision is known.
    fn read_back_page(
        &self,
        term: u64,
        key: &str,
        number: &str,
        set_revision: impl FnOnce(&mut SchedulerState, u32, u64),
    ) {
        let revision = match self.store.get(key, StorePriority::Normal) {
            Ok(row) => row.map_or(0, |row| row.revision),
            Err(error) => {
                log::debug!(key, error:%; "not read back");
                return;
            }
        };
        if let Ok(number) = number.parse() {
            self.with_scheduler(term, |scheduler| set_revision(scheduler, number, revision));
        }
    }

    /// A job whose retirement was applied without an answer is gone from `jobs/`.
    fn read_back_job(&self, term: u64, key: &str) {
        let Some(id) = key.strip_prefix(JOBS_PREFIX) else {
            return;
        };
        let Ok(None) = self.store.get(key, StorePriority::Normal) else {
            return;
        };
        let Ok(Some(row)) = self.store.get(&final_key(id), StorePriority::Normal) else {
            return;
        };
        let Some(record) = from_value::<FinalRecord>(&row.data) else {
            log::error!(key = row.key; "malformed record");
            return;
        };
        let view = JobView::of_final(record.state, record.tasks);
        self.state().terminal_states.insert(id, view);
        self.with_scheduler(term, |scheduler| {
            if let Some(job) = scheduler.jobs.find(id) {
                scheduler.apply_outcome(job, record.state);
                scheduler.forget_job(job);
            }
        });
    }
}
