//! Adds stored records to the scheduler state of a new leader.

use crate::jobs::Submission;
use crate::jobs::WATERMARKS_PREFIX;
use crate::jobs::{DoneRecord, JOBS_PREFIX};
use crate::provisioning::REGISTRY_PREFIX;
use crate::scheduler::SchedulerState;
use crate::store::{KeyValue, StoreError, from_value};
use crate::time::{Micros, Moment, WallTime};
use serde::de::DeserializeOwned;

/// Time at which a page of records was read.
pub(super) struct ReadTime {
    pub now: Moment,
    pub wall: WallTime,
    /// Largest allowed difference between the wall clocks of two controllers.
    pub wall_skew: Micros,
}

/// Adds records to the scheduler state. A malformed machine registry or start watermark page is replaced by
/// worst-case assumptions.
pub(super) struct RecordLoader<'a> {
    pub scheduler: &'a mut SchedulerState,
    pub time: ReadTime,
}

impl RecordLoader<'_> {
    /// Adds the record of a key that starts with `prefix`.
    pub fn load(&mut self, prefix: &str, stored: &KeyValue) {
        let rest = &stored.key[prefix.len()..];
        let result = match prefix {
            REGISTRY_PREFIX => self.load_registry_page(rest, stored),
            WATERMARKS_PREFIX => self.load_watermarks_page(rest, stored),
            JOBS_PREFIX => self.load_job(stored),
            _ => self.load_done_set(rest, stored),
        };
        if let Err(error) = result {
            log::error!(key = stored.key.as_str(), error:%; "malformed stored record");
            self.assume_worst_case(prefix, stored);
        }
    }

    fn assume_worst_case(&mut self, prefix: &str, stored: &KeyValue) {
        let prior_term = &mut self.scheduler.prior_term;
        if prefix == REGISTRY_PREFIX {
            // The names on the page are unknown, and each of its machines may run any task of any job. The page's key
            // stands for these machines.
            prior_term.note_machine(&stored.key, self.time.now);
        }
        if prefix == REGISTRY_PREFIX || prefix == WATERMARKS_PREFIX {
            prior_term.pages_unreadable = true;
        }
    }

    fn load_registry_page(&mut self, number: &str, stored: &KeyValue) -> Result<(), StoreError> {
        let number = page_number(number, stored)?;
        let entries: Vec<(String, u64)> = decode(stored)?;
        for (machine, registered_at) in &entries {
            let existed_at = self.time.latest_moment_of(WallTime(*registered_at));
            self.scheduler.prior_term.note_machine(machine, existed_at);
        }
        let registry = &mut self.scheduler.provisioning.registry;
        registry.load(number, stored.revision, entries);
        Ok(())
    }

    fn load_watermarks_page(&mut self, number: &str, stored: &KeyValue) -> Result<(), StoreError> {
        let number = page_number(number, stored)?;
        let entries = decode(stored)?;
        let watermarks = &mut self.scheduler.jobs.start_watermarks;
        watermarks.load(number, stored.revision, entries);
        Ok(())
    }

    fn load_job(&mut self, stored: &KeyValue) -> Result<(), StoreError> {
        let submission: Submission = decode(stored)?;
        let ReadTime { now, wall, .. } = self.time;
        self.scheduler
            .add_job(&submission, stored.revision, now, wall);
        Ok(())
    }

    fn load_done_set(&mut self, rest: &str, stored: &KeyValue) -> Result<(), StoreError> {
        let chunk_of_job = rest
            .split_once('/')
            .and_then(|(id, chunk)| Some((id, chunk.parse().ok()?)));
        // Keys in another format were not written by this program.
        let Some((id, chunk)) = chunk_of_job else {
            return Ok(());
        };
        let record: DoneRecord = decode(stored)?;
        self.scheduler
            .apply_done_record(id, chunk, &record, stored.revision);
        Ok(())
    }
}

impl ReadTime {
    /// Latest moment of this controller's monotonic clock that another controller's wall-clock time can stand for,
    /// given the allowed clock skew.
    fn latest_moment_of(&self, wall: WallTime) -> Moment {
        let age = self.wall.0.saturating_sub(wall.0);
        let least_age = age.saturating_sub(self.wall_skew.0);
        Moment(self.now.0.saturating_sub(least_age))
    }
}

fn decode<T: DeserializeOwned>(stored: &KeyValue) -> Result<T, StoreError> {
    from_value(&stored.data).ok_or_else(|| malformed(stored))
}

fn page_number(number: &str, stored: &KeyValue) -> Result<u32, StoreError> {
    number.parse().map_err(|_| malformed(stored))
}

fn malformed(stored: &KeyValue) -> StoreError {
    StoreError::MalformedValue {
        key: stored.key.clone(),
    }
}
