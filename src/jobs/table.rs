//! The jobs that the leader knows.

use super::{Job, JobId};
use crate::store::paged_map::PagedMap;
use std::collections::{BTreeMap, HashMap};

/// Once full, the table counts as full until its jobs take less than this many tenths of the limit.
const TENTHS_UNTIL_FREE: usize = 9;

/// The jobs that the leader knows, and which of their tasks may start.
#[derive(Debug)]
pub struct JobTable {
    next: u32,
    /// Of each job, below which number its tasks may have started.
    pub start_watermarks: PagedMap<u32>,
    /// The sum of the jobs' [`Job::memory_bytes`].
    memory_bytes: usize,
    /// All jobs, in the order in which this leader learned of them.
    pub table: BTreeMap<JobId, Job>,
    numbers: HashMap<String, JobId>,
}

impl JobTable {
    /// An empty table, whose pages of start watermarks hold at most so many bytes.
    pub fn new(value_bytes: usize) -> JobTable {
        JobTable {
            next: 0,
            start_watermarks: PagedMap::new(value_bytes),
            memory_bytes: 0,
            table: BTreeMap::new(),
            numbers: HashMap::new(),
        }
    }

    /// The number of the job with this id.
    pub fn find(&self, id: &str) -> Option<JobId> {
        self.numbers.get(id).copied()
    }

    /// The job with this id.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.table.get(&self.find(id)?)
    }

    /// Bytes of memory that all of them take, roughly.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// True while no more jobs may be accepted, which together may take `limit` bytes. Once full
    /// (`was_full`), it stays so until a tenth of the limit is free.
    pub fn is_full(&self, limit: usize, was_full: bool) -> bool {
        let threshold = match was_full {
            true => limit / 10 * TENTHS_UNTIL_FREE,
            false => limit,
        };
        self.memory_bytes > threshold
    }

    /// Adds a job, whose id must be new.
    pub fn insert(&mut self, job: Job) -> JobId {
        let id = JobId(self.next);
        self.next += 1;
        self.numbers.insert(job.spec.id.clone(), id);
        self.memory_bytes += job.memory_bytes();
        self.table.insert(id, job);
        id
    }

    /// Drops the start watermarks of jobs that were retired: nothing of them is left.
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

    /// Takes a job out, with its start watermark.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.table.remove(&id)?;
        self.numbers.remove(&job.spec.id);
        self.memory_bytes -= job.memory_bytes();
        self.start_watermarks.remove(&job.spec.id);
        Some(job)
    }
}
