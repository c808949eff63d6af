//! One accepted job in the leader's memory: which of its tasks are done, which are on machines, and
//! which may be placed.

use super::{FinalWrite, JobSpec, Outcome, TaskSet};
use crate::time::{Micros, Moment};
use std::collections::{BTreeSet, HashMap};

/// Bytes of memory that a job takes at least, beside its texts and its tasks; 1.3 KB were measured.
const JOB_BYTES: usize = 2048;
/// Bytes of memory that a machine type's name takes beside its text.
const NAME_BYTES: usize = 24;
/// Each task takes a quarter of a byte: two bits, in the sets of done and of recorded tasks.
const TASKS_PER_BYTE: usize = 4;
/// At least so many tasks beyond the one to be placed are covered by a new start watermark.
const MIN_WATERMARK_AHEAD: u32 = 4;
/// A job whose tasks fail on so many machines in a row waits before it is placed again.
const FAILED_MACHINES_BEFORE_BACKOFF: u32 = 3;
/// The first such wait, in seconds; it doubles with each further machine.
const FIRST_BACKOFF_S: u64 = 2;
/// How often it doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A job's number in one leader's memory. Another leader may give the job another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(
    /// Numbers rise in the order in which the leader learns of jobs.
    pub u32,
);

/// Run times seen of a job's own finished tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// How many were seen.
    pub count: u32,
    /// Their sum.
    pub total: Micros,
}

/// One accepted job.
#[derive(Debug)]
pub struct Job {
    /// What its user asked for.
    pub spec: JobSpec,
    /// Index in the settings' teams; `None` if the team is no longer there.
    pub team: Option<usize>,
    /// When it was accepted, on this process's clock: before the process began, if need be.
    pub accepted_at: Moment,
    /// Tasks numbered below this may have started under an earlier term, and a machine that is not
    /// reconciled yet may still run them. 0 once that is settled.
    pub unreconciled_below: u32,
    /// Tasks numbered below this may start: the start watermark is on record.
    pub start_watermark: u32,
    /// What the next start watermark is to cover.
    pub requested_watermark: u32,
    /// Tasks that are done, as far as this leader knows.
    pub done: TaskSet,
    /// Tasks whose being done is on record. A subset of `done`.
    pub recorded: TaskSet,
    /// Revisions of the done set's keys, one a chunk; 0 where there is no key.
    pub revisions: Vec<u64>,
    /// The revision of the job's own key.
    pub job_revision: u64,
    /// How it ended, once that is recorded.
    pub outcome: Option<Outcome>,
    /// When its cancellation was first requested under this leader.
    pub cancel_requested_at: Option<Moment>,
    /// Whether its final state is under way to the store.
    pub final_write: FinalWrite,
    /// How many attempts of each task may be on a machine. No entry is 0.
    bound: HashMap<u32, u16>,
    /// How many of the tasks in `bound` are not done.
    bound_open: u32,
    /// The sum of the counts in `bound`.
    bound_attempts: u32,
    /// One of its tasks ran for long enough for the job to count as begun.
    pub ran_long_enough: bool,
    /// Tasks that lost their last attempt without being done: they go first. Some may have been bound or
    /// done since.
    requeued: BTreeSet<u32>,
    /// No task below this may be placed, but those in `requeued`. Where tasks may still be unreconciled, it
    /// begins anew at 0 once they aren't.
    cursor: u32,
    /// Machines on which a task failed, since the last success.
    pub failed_on: BTreeSet<String>,
    /// How many of its tasks' attempts failed.
    pub failures: u32,
    /// After failures it isn't placed before this moment; 0 if it never had to wait.
    pub retry_after: Moment,
    /// When no task was left without a place for the first time.
    pub fully_placed_at: Option<Moment>,
    /// Run times of its finished tasks.
    pub run_times: RunTimes,
}

impl Job {
    /// A job without any outcome. Its first `start_watermark` tasks may have started under an earlier
    /// term.
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
            bound_open: 0,
            bound_attempts: 0,
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

    /// Bytes of memory that it takes while it waits, roughly. What runs is bounded by the machines.
    pub fn memory_bytes(&self) -> usize {
        let spec = &self.spec;
        let machine_types = spec.machine_types.iter().flatten();
        let names: usize = machine_types.map(|name| name.len() + NAME_BYTES).sum();
        let texts = spec.id.len() + spec.class.len() + spec.team.len() + spec.image.len();
        JOB_BYTES + 2 * texts + names + spec.tasks as usize / TASKS_PER_BYTE
    }

    /// How many of its tasks could start now, if there were room for them.
    pub fn ready(&self) -> u32 {
        if self.is_closed() {
            return 0;
        }
        self.unbound() - self.unreconciled_unbound()
    }

    /// Tasks neither done nor known to be on a machine.
    fn unbound(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.bound_open
    }

    /// Of these, the ones that may be on a machine that is not reconciled yet.
    fn unreconciled_unbound(&self) -> u32 {
        (0..self.unreconciled_below)
            .filter(|task| !self.done.contains(*task) && !self.bound.contains_key(task))
            .count() as u32
    }

    /// Tasks that a machine which is not reconciled yet may run, done ones as well: a command of an
    /// earlier term may still start them there once more.
    pub fn maybe_unreconciled(&self) -> u32 {
        (0..self.unreconciled_below)
            .filter(|task| !self.bound.contains_key(task))
            .count() as u32
    }

    /// No machine that is not reconciled can have any of its tasks: all of them may be placed.
    pub fn end_reconciliation(&mut self) {
        if self.unreconciled_below > 0 {
            self.unreconciled_below = 0;
            self.cursor = 0;
        }
    }

    /// True if its cancellation was requested under this leader.
    pub fn is_cancel_requested(&self) -> bool {
        self.cancel_requested_at.is_some()
    }

    /// True if it is done or cancelled, or is to be cancelled: nothing of it may go on.
    pub fn is_closed(&self) -> bool {
        self.is_cancel_requested() || self.outcome.is_some()
    }

    /// True if some task of it has a place, is done, or ran for long enough.
    pub fn has_begun(&self) -> bool {
        self.is_bound() || self.ran_long_enough || !self.done.is_empty()
    }

    /// True if an attempt of it may be on a machine.
    pub fn is_bound(&self) -> bool {
        self.bound_attempts > 0
    }

    /// How many attempts of it may be on machines.
    pub fn bound_attempts(&self) -> u32 {
        self.bound_attempts
    }

    /// How many of its tasks are not done.
    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }

    /// True if all tasks are done in memory; the record may still be missing.
    pub fn is_complete(&self) -> bool {
        self.done.is_full()
    }

    /// When the job should be complete, if it has a deadline.
    pub fn deadline(&self) -> Option<Moment> {
        self.spec.deadline.map(|time| self.accepted_at + time)
    }

    /// Marks a task as done: true the first time.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let first = self.done.insert(task);
        if first && self.bound.contains_key(&task) {
            self.bound_open -= 1;
        }
        first
    }

    /// Requests a start watermark that covers the task. Somewhat more is covered than is placed, so that
    /// a job that starts bit by bit needs few records.
    pub fn request_watermark(&mut self, task: u32) {
        if task < self.start_watermark.max(self.requested_watermark) {
            return;
        }
        let ahead = (task / 2).max(MIN_WATERMARK_AHEAD);
        self.requested_watermark = (task + 1).saturating_add(ahead).min(self.spec.tasks);
    }

    /// The next task to be placed; the same one is given until it is bound.
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

    /// One more attempt of the task may be on a machine.
    pub fn bind(&mut self, task: u32) {
        let attempts = self.bound.entry(task).or_insert(0);
        *attempts += 1;
        self.bound_attempts += 1;
        if *attempts == 1 && !self.done.contains(task) {
            self.bound_open += 1;
        }
    }

    /// An attempt of the task is surely over.
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
            self.bound_open -= 1;
            self.requeued.insert(task);
        }
    }

    /// Waits longer after each failure on yet another machine, so that a job that was submitted with a
    /// mistake doesn't starve the others.
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
