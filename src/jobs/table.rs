//! The leader's table of jobs.

use super::{Job, JobId};
use crate::store::paged_map::PagedMap;
use std::collections::{BTreeMap, HashMap};

/// Once the table was full, it counts as full while its jobs take more than this many tenths of the memory limit.
const FULL_ABOVE_TENTHS: usize = 9;

/// All jobs in the leader's memory, with their start watermarks.
#[derive(Debug)]
pub struct JobTable {
    /// Number of the next job to be added.
    next_number: u32,
    /// Start watermark of each job by its user-assigned id: tasks numbered below it may have started.
    pub start_watermarks: PagedMap<u32>,
    /// Sum of [`Job::memory_bytes`] over all jobs.
    memory_bytes: usize,
    /// All jobs, in the order in which this leader learned of them.
    pub table: BTreeMap<JobId, Job>,
    /// Number of each job by its user-assigned id.
    numbers_by_id: HashMap<String, JobId>,
}

impl JobTable {
    /// Creates an empty table. Each page of start watermarks takes at most `value_bytes`.
    pub fn new(value_bytes: usize) -> JobTable {
        JobTable {
            next_number: 0,
            start_watermarks: PagedMap::new(value_bytes),
            memory_bytes: 0,
            table: BTreeMap::new(),
            numbers_by_id: HashMap::new(),
        }
    }

    /// Number of the job with this user-assigned id.
    pub fn find(&self, id: &str) -> Option<JobId> {
        self.numbers_by_id.get(id).copied()
    }

    /// The job with this user-assigned id.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.table.get(&self.find(id)?)
    }

    /// Estimate of the memory in bytes that all jobs take.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// True while no more jobs may be accepted. All jobs together may take `limit` bytes. Once the table was full
    /// (`was_full`), it counts as full until a tenth of the limit is free.
    pub fn is_full(&self, limit: usize, was_full: bool) -> bool {
        let threshold = match was_full {
            true => limit / 10 * FULL_ABOVE_TENTHS,
            false => limit,
        };
        self.memory_bytes > threshold
    }

    /// Adds a job, whose user-assigned id must not be in the table.
    pub fn insert(&mut self, job: Job) -> JobId {
        let id = JobId(self.next_number);
        self.next_number += 1;
        self.numbers_by_id.insert(job.spec.id.clone(), id);
        self.memory_bytes += job.memory_bytes();
        self.table.insert(id, job);
        id
    }

    /// Removes the start watermarks of jobs that are not in the table: they were retired.
    pub fn drop_stale_watermarks(&mut self) {
        let stale: Vec<String> = self
            .start_watermarks
            .keys()
            .filter(|id| self.find(id).is_none())
            .cloned()
            .collect();
        for id in stale {
            self.start_watermarks.remove(&id);
        }
    }

    /// Removes a job and its start watermark.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.table.remove(&id)?;
        self.numbers_by_id.remove(&job.spec.id);
        self.memory_bytes -= job.memory_bytes();
        self.start_watermarks.remove(&job.spec.id);
        Some(job)
    }
}
