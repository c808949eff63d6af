//! Size of a worker's report, which must stay below the maximum size of a request body.
//!
//! A report lists all attempts on its machine, exited ones until they are cleared. A controller refuses a report that is too
//! large, so that nothing on the machine is cleared any more, and all of its work ends with its lease. Attempts are
//! therefore placed on a machine only while its report has room for them.

use super::Machine;
use crate::http::MAX_REQUEST_BODY_BYTES;
use crate::jobs::JobTable;

/// Bytes that are kept free for the report's other fields, and for attempts that this leader doesn't know.
const RESERVED_BYTES: usize = 4 * 1024;
/// Bytes for attempts in the report of an empty machine.
pub const EMPTY_REPORT_BYTES: usize = MAX_REQUEST_BODY_BYTES - RESERVED_BYTES;
/// Maximum size of an attempt's entry in JSON, with the longest numbers and names, without the id of its job.
const ENTRY_BYTES: usize = r#"{"piece":"/99999","try":18446744073709551615,"status":"fetching","cause":"stopped","stored":false},"#.len();

/// Longest job id for which a report must have room, so that it doesn't count as full.
const LONG_JOB_ID_BYTES: usize = 64;

/// Maximum size of the entry of an attempt whose job has this id.
pub fn entry_bytes(job_id: &str) -> usize {
    ENTRY_BYTES + job_id.len()
}

impl Machine {
    /// Number of bytes that the machine's report has left for more attempts.
    pub fn report_bytes_left(&self, jobs: &JobTable) -> usize {
        let attempts = self.attempts.keys().map(|key| {
            let job = jobs.table.get(&key.job);
            entry_bytes(job.map_or("", |job| &job.spec.id))
        });
        let orphans = self
            .orphans
            .iter()
            .map(|orphan| entry_bytes(&orphan.task_id));
        let listed: usize = attempts.chain(orphans).sum();
        EMPTY_REPORT_BYTES.saturating_sub(listed)
    }

    /// True if the machine's report may have no room for another attempt.
    pub(super) fn is_report_full(&self, jobs: &JobTable) -> bool {
        self.report_bytes_left(jobs) < ENTRY_BYTES + LONG_JOB_ID_BYTES
    }
}
