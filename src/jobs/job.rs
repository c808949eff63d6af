//! The leader's in-memory state of one accepted job: which of its tasks are done, which are bound to machines, and
//! which may be placed.

use super::{FinalWrite, JobSpec, Outcome, TaskSet};
use crate::time::{Micros, Moment};
use std::collections::{BTreeSet, HashMap};

/// Bytes of memory accounted for a job in addition to its strings and its tasks; 1.3 KB were measured.
const JOB_BYTES: usize = 2048;
/// Bytes of memory that a machine type's name takes in addition to its text.
const NAME_BYTES: usize = 24;
/// Number of tasks per byte of memory: each task takes two bits, one in the set of done tasks and one in the set of
/// recorded tasks.
const TASKS_PER_BYTE: usize = 4;
/// Minimum number of tasks that a new start watermark covers beyond the task to be placed.
const MIN_WATERMARK_AHEAD: u32 = 4;
/// Number of machines on which a job's tasks fail, without a success in between, before the job has to wait for a
/// backoff until it is placed again.
const FAILED_MACHINES_BEFORE_BACKOFF: u32 = 3;
/// First backoff in seconds; it doubles with each further machine on which a task fails.
const FIRST_BACKOFF_S: u64 = 2;
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Number of a job in one leader's memory. Another leader may assign a different number to the same job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(
    /// Numbers increase in the order in which the leader learns of jobs.
    pub u32,
);

/// Observed run times of a job's finished tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// Number of observed run times.
    pub count: u32,
    /// Sum of the observed run times.
    pub total: Micros,
}

/// State of an accepted job in the leader's memory.
#[derive(Debug)]
pub struct Job {
    /// Specification that the user submitted.
    pub spec: JobSpec,
    /// Index of the job's team in the settings; `None` if the team is no longer configured.
    pub team: Option<usize>,
    /// Time of acceptance on this process's clock; it may lie before the start of the process.
    pub accepted_at: Moment,
    /// Tasks numbered below this may have started under an earlier term, and a machine that is not
    /// reconciled yet may still run them. 0 once no unreconciled machine can run them.
    pub unreconciled_below: u32,
    /// Tasks numbered below this may start: this start watermark is recorded in the store.
    pub start_watermark: u32,
    /// Start watermark that the newly bound tasks need; 0 if no new one is needed.
    pub requested_watermark: u32,
    /// Tasks that this leader knows to be done, whether recorded or not.
    pub done: TaskSet,
    /// Tasks that are recorded as done in the store. A subset of `done`.
    pub recorded: TaskSet,
    /// Store revisions of the done set's keys, one per chunk; 0 where there is no key.
    pub revisions: Vec<u64>,
    /// Store revision of the key `jobs/<ref>`.
    pub job_revision: u64,
    /// Final outcome, once it is recorded in the store.
    pub outcome: Option<Outcome>,
    /// Time of the first cancellation request under this leader.
    pub cancel_requested_at: Option<Moment>,
    /// Progress of the write of the final state.
    pub final_write: FinalWrite,
    /// Number of attempts of each task that may be on machines. Tasks without attempts have no entry.
    bound: HashMap<u32, u16>,
    /// Number of tasks in `bound` that are not done.
    bound_remaining: u32,
    /// The sum of the counts in `bound`.
    bound_attempts: u32,
    /// Number of attempts that the newest reports of their machines show as running.
    running_attempts: u32,
    /// True once a task of the job has run long enough for the job to count as begun.
    pub ran_long_enough: bool,
    /// Tasks that lost their last attempt without being done. They are placed first. Some of them may have been bound
    /// or done since.
    requeued: BTreeSet<u32>,
    /// Next task to be considered for its first placement; below it only tasks in `requeued` can be placed. Reset
    /// to 0 when the job's unreconciled tasks become placeable.
    cursor: u32,
    /// Machines on which a task failed since the last success.
    pub failed_on: BTreeSet<String>,
    /// Number of failed attempts of the job's tasks.
    pub failures: u32,
    /// End of the backoff after failures: the job isn't placed before this moment. 0 if it never had a backoff.
    pub retry_after: Moment,
    /// First moment at which no task of the job was waiting to be placed.
    pub fully_placed_at: Option<Moment>,
    /// Run times of the job's finished tasks.
    pub run_times: RunTimes,
}

impl Job {
    /// Creates a job without an outcome. Its first `start_watermark` tasks may have started under an earlier term.
    pub fn new(
        spec: JobSpec,
        team: Option<usize>,
        job_revision: u64,
        accepted_at: Moment,
        start_watermark: u32,
    ) -> Job {
        let done = TaskSet::new(spec.tasks);
        Job {
            team,
            accepted_at,
            unreconciled_below: start_watermark,
            start_watermark,
            requested_watermark: 0,
            revisions: vec![0; done.chunk_count() as usize],
            recorded: done.clone(),
            done,
            job_revision,
            outcome: None,
            cancel_requested_at: None,
            final_write: FinalWrite::Idle,
            bound: HashMap::new(),
            bound_remaining: 0,
            bound_attempts: 0,
            running_attempts: 0,
            ran_long_enough: false,
            requeued: BTreeSet::new(),
            cursor: 0,
            failed_on: BTreeSet::new(),
            failures: 0,
            retry_after: Moment(0),
            fully_placed_at: None,
            run_times: RunTimes::default(),
            spec,
        }
    }

    /// Estimate of the memory in bytes that the job takes while it waits. The memory for running attempts is not
    /// included: it is bounded by the number of machines.
    pub fn memory_bytes(&self) -> usize {
        let spec = &self.spec;
        let machine_types = spec.machine_types.iter().flatten();
        let names: usize = machine_types.map(|name| name.len() + NAME_BYTES).sum();
        let texts = spec.id.len() + spec.class.len() + spec.team.len() + spec.image.len();
        JOB_BYTES + 2 * texts + names + spec.tasks as usize / TASKS_PER_BYTE
    }

    /// Number of tasks that could be placed now if there were capacity for them.
    pub fn ready(&self) -> u32 {
        if self.is_closed() {
            return 0;
        }
        self.unbound() - self.unreconciled_unbound()
    }

    /// Number of tasks that are neither done nor known to be on a machine.
    fn unbound(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.bound_remaining
    }

    /// Number of unbound tasks that are not done and may be on a machine that is not reconciled yet.
    fn unreconciled_unbound(&self) -> u32 {
        (0..self.unreconciled_below)
            .filter(|task| !self.done.contains(*task) && !self.bound.contains_key(task))
            .count() as u32
    }

    /// Number of unbound tasks that a machine that is not reconciled yet may run. Done tasks count as well: a
    /// command of an earlier term may still start them there once more.
    pub fn maybe_unreconciled(&self) -> u32 {
        (0..self.unreconciled_below)
            .filter(|task| !self.bound.contains_key(task))
            .count() as u32
    }

    /// True if the job is cancelled, or should be, and a machine that is not reconciled yet may run some of its tasks.
    pub fn has_unreconciled_cancelled_tasks(&self) -> bool {
        let is_cancelled = self.is_cancel_requested() || self.outcome == Some(Outcome::Cancelled);
        is_cancelled && self.maybe_unreconciled() > 0
    }

    /// Allows all tasks to be placed; called once no unreconciled machine can have any of them.
    pub fn end_reconciliation(&mut self) {
        if self.unreconciled_below > 0 {
            self.unreconciled_below = 0;
            self.cursor = 0;
        }
    }

    /// True if the cancellation of the job was requested under this leader.
    pub fn is_cancel_requested(&self) -> bool {
        self.cancel_requested_at.is_some()
    }

    /// True if the job is done or cancelled or its cancellation was requested: none of its tasks may start or keep
    /// running.
    pub fn is_closed(&self) -> bool {
        self.is_cancel_requested() || self.outcome.is_some()
    }

    /// True if some task of the job is bound, is done, or has run long enough.
    pub fn has_begun(&self) -> bool {
        self.is_bound() || self.ran_long_enough || !self.done.is_empty()
    }

    /// True if an attempt of the job may be on a machine.
    pub fn is_bound(&self) -> bool {
        self.bound_attempts > 0
    }

    /// Number of attempts of the job that may be on machines.
    pub fn bound_attempts(&self) -> u32 {
        self.bound_attempts
    }

    /// Number of the job's tasks that are not done.
    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }

    /// True if the leader knows all tasks to be done; the record in the store may still be missing.
    pub fn is_complete(&self) -> bool {
        self.done.is_full()
    }

    /// True if a worker that starts this task once more does no harm: the task is recorded as done, so that the worker
    /// only reports the result that it has kept, and no user expects that nothing of the job starts.
    pub fn is_restart_harmless(&self, task: u32) -> bool {
        match self.outcome {
            Some(Outcome::Done) => true,
            Some(Outcome::Cancelled) => false,
            None => !self.is_cancel_requested() && self.recorded.contains(task),
        }
    }

    /// Moment by which the job should be complete, if it has a deadline.
    pub fn deadline(&self) -> Option<Moment> {
        self.spec.deadline.map(|time| self.accepted_at + time)
    }

    /// Marks a task as done. True if it was not done before.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let first = self.done.insert(task);
        if first && self.bound.contains_key(&task) {
            self.bound_remaining -= 1;
        }
        first
    }

    /// Requests a start watermark that covers the task. It covers further tasks as well, so that a job whose tasks
    /// are placed a few at a time needs few writes.
    pub fn request_watermark(&mut self, task: u32) {
        if task < self.start_watermark.max(self.requested_watermark) {
            return;
        }
        let ahead = (task / 2).max(MIN_WATERMARK_AHEAD);
        self.requested_watermark = (task + 1).saturating_add(ahead).min(self.spec.tasks);
    }

    /// The next task to be placed. Returns the same task until it is bound.
    pub fn next_ready(&mut self) -> Option<u32> {
        self.next_requeued().or_else(|| self.next_never_bound())
    }

    fn next_requeued(&mut self) -> Option<u32> {
        while let Some(&task) = self.requeued.range(self.unreconciled_below..).next() {
            if !self.is_done_or_bound(task) {
                return Some(task);
            }
            self.requeued.remove(&task);
        }
        None
    }

    fn next_never_bound(&mut self) -> Option<u32> {
        self.cursor = self.cursor.max(self.unreconciled_below);
        while self.cursor < self.spec.tasks {
            if !self.is_done_or_bound(self.cursor) {
                return Some(self.cursor);
            }
            self.cursor += 1;
        }
        None
    }

    fn is_done_or_bound(&self, task: u32) -> bool {
        self.done.contains(task) || self.bound.contains_key(&task)
    }

    /// Counts one more attempt of the task that may be on a machine.
    pub fn bind(&mut self, task: u32) {
        let attempts = self.bound.entry(task).or_insert(0);
        *attempts += 1;
        self.bound_attempts += 1;
        if *attempts == 1 && !self.done.contains(task) {
            self.bound_remaining += 1;
        }
    }

    /// Removes an attempt of the task that is known to have ended.
    pub fn unbind(&mut self, task: u32) {
        let Some(attempts) = self.bound.get_mut(&task) else {
            return;
        };
        *attempts -= 1;
        self.bound_attempts -= 1;
        if *attempts > 0 {
            return;
        }
        self.bound.remove(&task);
        if !self.done.contains(task) {
            self.bound_remaining -= 1;
            self.requeued.insert(task);
        }
    }

    /// Number of attempts that are running, according to the newest reports of workers.
    pub fn running_attempts(&self) -> u32 {
        self.running_attempts
    }

    /// Counts a change of whether an attempt is running.
    pub fn count_running(&mut self, was_running: bool, is_running: bool) {
        match (was_running, is_running) {
            (false, true) => self.running_attempts += 1,
            (true, false) => self.running_attempts = self.running_attempts.saturating_sub(1),
            _ => {}
        }
    }

    /// Records the failure of a task. The backoff grows with each further machine on which a task fails, so that a
    /// job with a faulty submission doesn't starve the others.
    pub fn note_task_failure(&mut self, machine: &str, now: Moment) {
        self.failures += 1;
        self.failed_on.insert(machine.to_string());
        let machines = self.failed_on.len() as u32;
        if machines >= FAILED_MACHINES_BEFORE_BACKOFF {
            let doublings = (machines - FAILED_MACHINES_BEFORE_BACKOFF).min(MAX_BACKOFF_DOUBLINGS);
            self.retry_after = now + Micros::from_secs(FIRST_BACKOFF_S << doublings);
        }
    }
}
