//! Failures of tasks on one machine, as evidence that the machine is faulty.
//!
//! A task fails because of its machine, or because its job was submitted with a mistake and fails on every machine.
//! Failures of several jobs on one machine point to the machine. The evidence is withdrawn when a job turns out to be
//! at fault, or when its user cancels it. What remains may still be wrong, for example where a job can't fail on enough
//! machines to be found at fault. So the machine is tried again after a while, and the next failure excludes it
//! once more.

use crate::jobs::JobId;
use crate::time::{Micros, Moment};
use std::collections::BTreeSet;

/// Number of jobs of which tasks must have failed on a machine, without a completed task in between, for the machine
/// to be considered faulty.
const MIN_JOBS_OF_FAULTY_MACHINE: usize = 2;
/// Time after which a faulty machine gets tasks again.
const EXCLUSION_TIME: Micros = Micros::from_secs(30);

/// Failures of tasks on a machine since a task last completed on it.
#[derive(Debug, Default)]
pub struct TaskFailures {
    /// Jobs of which a task failed.
    jobs: BTreeSet<JobId>,
    /// Time of the failure since which the machine counts as faulty; `None` while it doesn't.
    faulty_since: Option<Moment>,
}

impl TaskFailures {
    /// True while the machine counts as faulty: no tasks start on it.
    pub fn is_machine_faulty(&self) -> bool {
        self.faulty_since.is_some()
    }

    /// Records that a task of this job failed.
    pub(super) fn note(&mut self, job: JobId, now: Moment) {
        self.jobs.insert(job);
        if self.jobs.len() >= MIN_JOBS_OF_FAULTY_MACHINE {
            self.faulty_since = Some(now);
        }
    }

    /// Forgets all failures, after a task has completed on the machine.
    pub(super) fn clear(&mut self) {
        *self = TaskFailures::default();
    }

    /// Withdraws the failures of a job that say nothing about the machine. Returns true if the machine no longer counts
    /// as faulty.
    pub(super) fn withdraw(&mut self, job: JobId) -> bool {
        self.jobs.remove(&job);
        let was_faulty = self.is_machine_faulty();
        if self.jobs.len() < MIN_JOBS_OF_FAULTY_MACHINE {
            self.faulty_since = None;
        }
        was_faulty && !self.is_machine_faulty()
    }

    /// Ends the exclusion of a machine that has been faulty for long enough. Returns true if it ended.
    pub(super) fn end_exclusion(&mut self, now: Moment) -> bool {
        let has_ended = self
            .faulty_since
            .is_some_and(|since| now - since >= EXCLUSION_TIME);
        if has_ended {
            self.faulty_since = None;
        }
        has_ended
    }
}
