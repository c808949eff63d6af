//! JobTable: what was accepted, which tasks are done, and what is written down about it.
//!
//! An outcome is held in memory until its done set is written; only then is the task done for
//! anybody outside. A job is final (done, cancelled) once that is recorded, never before.

pub mod doneset;
pub mod edge;
pub mod rounds;
pub mod spec;
pub mod users;

use crate::store::paged_map::PagedMap;
use crate::time::{Micros, Moment};
use doneset::TaskSet;
use serde::{Deserialize, Serialize};
use spec::JobSpec;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A job's number within one leader's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u32);

/// How a job ended. Once recorded it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    Done,
    Cancelled,
}

/// The value of `done/<ref>/<chunk>`; the final state stands in chunk 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneRecord {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Outcome>,
    #[serde(default)]
    pub set: String,
}

/// The value of `final/<ref>`, all that stays of a job when nothing of it is left anywhere.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    pub state: Outcome,
    pub tasks: u32,
}

/// The key prefix of accepted jobs.
pub const JOBS_PREFIX: &str = "jobs/";

pub fn job_key(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// The key prefix of done sets and final states.
pub const DONE_PREFIX: &str = "done/";

pub fn done_key(id: &str, chunk: u32) -> String {
    format!("{DONE_PREFIX}{id}/{chunk}")
}

/// There while the leader holds as many jobs as its memory allows; it vanishes with the leader's
/// lease. Every acceptance guards its absence, so that no node accepts what no leader could hold.
pub const FULL_KEY: &str = "full";

/// What a job takes beside its name and its tasks, at least; measured: 1.3 KB.
const JOB_BYTES: usize = 2048;

pub fn final_key(id: &str) -> String {
    format!("final/{id}")
}

/// What is known of a final state that was sent to the record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FinalWrite {
    /// None is on its way.
    #[default]
    Idle,
    /// It is under way.
    Sent,
    /// One got no answer: it may have been applied, or may yet be.
    Unknown,
}

/// What a leader can say of a job by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalStatus {
    View(JobView),
    /// A final state is on its way to the record. Another node may have read it there, and told it
    /// to a user, before its writer knows: until then only the record tells.
    FinalWriteInFlight,
    Nothing,
}

/// What a user may be told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, borsh::BorshSerialize, borsh::BorshDeserialize)]
pub struct JobView {
    pub state: ViewState,
    pub done: u32,
    pub running: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, borsh::BorshSerialize, borsh::BorshDeserialize)]
pub enum ViewState {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl ViewState {
    pub fn name(self) -> &'static str {
        match self {
            ViewState::Queued => "queued",
            ViewState::Running => "running",
            ViewState::Done => "done",
            ViewState::Cancelled => "cancelled",
        }
    }
}

impl JobView {
    pub fn of_final(outcome: Outcome, tasks: u32) -> JobView {
        match outcome {
            Outcome::Done => JobView {
                state: ViewState::Done,
                done: tasks,
                running: 0,
            },
            Outcome::Cancelled => JobView {
                state: ViewState::Cancelled,
                done: 0,
                running: 0,
            },
        }
    }

    pub fn is_final(&self) -> bool {
        matches!(self.state, ViewState::Done | ViewState::Cancelled)
    }
}

#[derive(Debug)]
pub struct Job {
    pub spec: JobSpec,
    /// Index in the settings' teams; None if the team is no longer there.
    pub team: Option<usize>,
    /// Accepted at this point of this process's clock (may be extrapolated into the past).
    pub accepted_at: Moment,
    /// Tasks numbered below this were claimed under an earlier term: a machine not seen yet may
    /// still run them. 0 once that is settled.
    pub held_below: u32,
    /// Tasks numbered below this may start: the claim is on record.
    pub start_watermark: u32,
    /// What the next claim is to cover.
    pub requested_watermark: u32,
    pub done: TaskSet,
    pub recorded: TaskSet,
    /// Stamps of the done set's keys, 0 where there is none.
    pub revisions: Vec<u64>,
    pub job_revision: u64,
    pub outcome: Option<Outcome>,
    /// When its cancellation was first asked for under this leader.
    pub cancel_asked_at: Option<Moment>,
    pub final_write: FinalWrite,
    /// Attempts that may be on a machine, by task.
    bound: HashMap<u32, u16>,
    /// How many of these tasks have no outcome.
    bound_open: u32,
    /// How many attempts they are.
    bound_attempts: u32,
    /// One of its tasks ran for long enough to count as started.
    pub begun: bool,
    requeued: BTreeSet<u32>,
    cursor: u32,
    /// Machines on which a task failed, since the last success.
    pub failed_on: BTreeSet<String>,
    pub failures: u32,
    pub retry_at: Moment,
    /// When no task was left without a place for the first time.
    pub placed_at: Option<Moment>,
    /// Run times seen of its own tasks: how many, and their sum.
    pub runs: (u32, Micros),
}

impl Job {
    /// Bytes that it takes while it waits, roughly. What runs is bounded by the machines.
    fn weight(&self) -> usize {
        let s = &self.spec;
        let types = s.types.iter().flatten().map(|t| t.len() + 24);
        let text = s.id.len() + s.class.len() + s.team.len() + s.image.len();
        JOB_BYTES + 2 * text + types.sum::<usize>() + s.tasks as usize / 4
    }

    /// Tasks that could start now, if there were a place.
    pub fn ready(&self) -> u32 {
        if self.is_closed() {
            return 0;
        }
        self.unbound() - self.held()
    }

    /// Tasks neither done nor known to be on a machine.
    pub fn unbound(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.bound_open
    }

    /// Of these, the ones that may be on a machine not seen yet.
    pub fn held(&self) -> u32 {
        (0..self.held_below)
            .filter(|t| !self.done.contains(*t) && !self.bound.contains_key(t))
            .count() as u32
    }

    /// No machine that was not seen can have any of its tasks.
    pub fn release(&mut self) {
        if self.held_below > 0 {
            self.held_below = 0;
            self.cursor = 0;
        }
    }

    /// Its cancellation was asked for under this leader.
    pub fn is_cancel_asked(&self) -> bool {
        self.cancel_asked_at.is_some()
    }

    /// It is cancelled, is asked to be, or is done: nothing of it may go on.
    pub fn is_closed(&self) -> bool {
        self.is_cancel_asked() || self.outcome.is_some()
    }

    /// Some task of it has a place, or had one for long enough.
    pub fn begun(&self) -> bool {
        self.bound_attempts > 0 || self.begun || !self.done.is_empty()
    }

    pub fn is_bound(&self) -> bool {
        self.bound_attempts > 0
    }

    /// Attempts that are bound to machines.
    pub fn bound_attempts(&self) -> u32 {
        self.bound_attempts
    }

    /// Tasks that a machine not seen yet may run, done ones as well: an order of an earlier term may
    /// still start them there once more.
    pub fn maybe_unreconciled(&self) -> u32 {
        (0..self.held_below)
            .filter(|t| !self.bound.contains_key(t))
            .count() as u32
    }

    /// Settles a task as done: true the first time.
    pub fn settle(&mut self, task: u32) -> bool {
        let first = self.done.insert(task);
        if first && self.bound.contains_key(&task) {
            self.bound_open -= 1;
        }
        first
    }

    /// Asks for a claim that covers the task. Somewhat more is claimed than is placed, so that a
    /// job that starts bit by bit needs few records.
    pub fn request_watermark(&mut self, task: u32) {
        if task < self.start_watermark.max(self.requested_watermark) {
            return;
        }
        let ahead = (task / 2).max(4);
        self.requested_watermark = (task + 1).saturating_add(ahead).min(self.spec.tasks);
    }

    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }

    /// The next task without a place; it stays ready until it is bound.
    pub fn next_ready(&mut self) -> Option<u32> {
        while let Some(&task) = self.requeued.range(self.held_below..).next() {
            if self.done.contains(task) || self.bound.contains_key(&task) {
                self.requeued.remove(&task);
            } else {
                return Some(task);
            }
        }
        self.cursor = self.cursor.max(self.held_below);
        while self.cursor < self.spec.tasks {
            if self.done.contains(self.cursor) || self.bound.contains_key(&self.cursor) {
                self.cursor += 1;
            } else {
                return Some(self.cursor);
            }
        }
        None
    }

    pub fn bind(&mut self, task: u32) {
        let n = self.bound.entry(task).or_insert(0);
        *n += 1;
        self.bound_attempts += 1;
        if *n == 1 && !self.done.contains(task) {
            self.bound_open += 1;
        }
    }

    pub fn unbind(&mut self, task: u32) {
        let Some(n) = self.bound.get_mut(&task) else {
            return;
        };
        *n -= 1;
        self.bound_attempts -= 1;
        if *n == 0 {
            self.bound.remove(&task);
            if !self.done.contains(task) {
                self.bound_open -= 1;
                self.requeued.insert(task);
            }
        }
    }

    /// When the job must be complete.
    pub fn due_at(&self) -> Option<Moment> {
        self.spec.due.map(|d| self.accepted_at + d)
    }

    /// All tasks have an outcome in memory; the record may still be missing.
    pub fn complete(&self) -> bool {
        self.done.is_full()
    }

    /// Waits longer after each failure on yet another machine, so that a job that was submitted
    /// with a mistake doesn't starve the others.
    pub fn note_failure(&mut self, machine: &str, now: Moment) {
        self.failures += 1;
        self.failed_on.insert(machine.to_string());
        if self.failed_on.len() >= 3 {
            let exponent = (self.failed_on.len() as u32 - 3).min(5);
            self.retry_at = now + Micros::from_secs(2 << exponent);
        }
    }
}

/// The jobs that the leader knows, and which of their tasks may start.
#[derive(Debug)]
pub struct JobTable {
    next: u32,
    /// Of each job, below which number its tasks may have started.
    pub start_watermarks: PagedMap<u32>,
    /// The sum of the jobs' weights.
    weight: usize,
    pub table: BTreeMap<JobId, Job>,
    by_ref: HashMap<String, JobId>,
}

impl JobTable {
    /// No jobs yet; pages of start watermarks hold at most so many bytes.
    pub fn new(value_bytes: usize) -> JobTable {
        JobTable {
            next: 0,
            start_watermarks: PagedMap::new(value_bytes),
            weight: 0,
            table: BTreeMap::new(),
            by_ref: HashMap::new(),
        }
    }

    pub fn find(&self, id: &str) -> Option<JobId> {
        self.by_ref.get(id).copied()
    }

    pub fn get(&self, id: &str) -> Option<&Job> {
        self.table.get(&self.find(id)?)
    }

    /// Bytes that all of them take, roughly.
    pub fn weight(&self) -> usize {
        self.weight
    }

    pub fn insert(&mut self, job: Job) -> JobId {
        let id = JobId(self.next);
        self.next += 1;
        self.by_ref.insert(job.spec.id.clone(), id);
        self.weight += job.weight();
        self.table.insert(id, job);
        id
    }

    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.table.remove(&id)?;
        self.by_ref.remove(&job.spec.id);
        self.weight -= job.weight();
        Some(job)
    }
}

/// Builds a job without any outcome.
pub fn new_job(
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
        held_below: start_watermark,
        start_watermark,
        requested_watermark: 0,
        revisions: vec![0; done.chunks() as usize],
        recorded: done.clone(),
        done,
        job_revision,
        outcome: None,
        cancel_asked_at: None,
        final_write: FinalWrite::Idle,
        bound: HashMap::new(),
        bound_open: 0,
        bound_attempts: 0,
        begun: false,
        requeued: BTreeSet::new(),
        cursor: 0,
        failed_on: BTreeSet::new(),
        failures: 0,
        retry_at: Moment(0),
        placed_at: None,
        runs: (0, Micros::ZERO),
        spec,
    }
}
