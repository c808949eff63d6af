//! Jobs: what was accepted, which tasks are done, and what is written down about it.
//!
//! An outcome is held in memory until its done set is written; only then is the task done for
//! anybody outside. A job is final (done, cancelled) once that is recorded, never before.

pub mod doneset;
mod edge;
pub mod rounds;
pub mod spec;
pub mod users;

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

pub fn job_key(id: &str) -> String {
    format!("jobs/{id}")
}

pub fn done_key(id: &str, chunk: u32) -> String {
    format!("done/{id}/{chunk}")
}

pub fn final_key(id: &str) -> String {
    format!("final/{id}")
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
    /// Accepted under an earlier term: an unseen machine may still run its tasks.
    pub held: bool,
    pub done: TaskSet,
    pub recorded: TaskSet,
    /// Stamps of the done set's keys, 0 where there is none.
    pub stamps: Vec<u64>,
    pub job_stamp: u64,
    pub outcome: Option<Outcome>,
    pub cancel_asked: bool,
    /// Attempts that may be on a machine, by task.
    pub bound: HashMap<u32, u16>,
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
    /// Tasks that could start now, if there were a place.
    pub fn ready(&self) -> u32 {
        if self.held || self.cancel_asked || self.outcome.is_some() {
            return 0;
        }
        self.unbound()
    }

    /// Tasks neither done nor known to be on a machine.
    pub fn unbound(&self) -> u32 {
        let bound = self.bound.keys().filter(|t| !self.done.contains(**t));
        self.spec.tasks - self.done.len() - bound.count() as u32
    }

    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len()
    }

    /// The next task without a place; it stays ready until it is bound.
    pub fn next_ready(&mut self) -> Option<u32> {
        while let Some(&task) = self.requeued.first() {
            if self.done.contains(task) || self.bound.contains_key(&task) {
                self.requeued.remove(&task);
            } else {
                return Some(task);
            }
        }
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
        *self.bound.entry(task).or_insert(0) += 1;
    }

    pub fn unbind(&mut self, task: u32) {
        if let Some(n) = self.bound.get_mut(&task) {
            *n -= 1;
            if *n == 0 {
                self.bound.remove(&task);
                if !self.done.contains(task) && task < self.cursor {
                    self.requeued.insert(task);
                }
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

#[derive(Debug, Default)]
pub struct Jobs {
    next: u32,
    pub table: BTreeMap<JobId, Job>,
    by_ref: HashMap<String, JobId>,
}

impl Jobs {
    pub fn find(&self, id: &str) -> Option<JobId> {
        self.by_ref.get(id).copied()
    }

    pub fn get(&self, id: &str) -> Option<&Job> {
        self.table.get(&self.find(id)?)
    }

    pub fn insert(&mut self, job: Job) -> JobId {
        let id = JobId(self.next);
        self.next += 1;
        self.by_ref.insert(job.spec.id.clone(), id);
        self.table.insert(id, job);
        id
    }

    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.table.remove(&id)?;
        self.by_ref.remove(&job.spec.id);
        Some(job)
    }
}

/// Builds a job without any outcome.
pub fn new_job(
    spec: JobSpec,
    team: Option<usize>,
    job_stamp: u64,
    accepted_at: Moment,
    held: bool,
) -> Job {
    let done = TaskSet::new(spec.tasks);
    Job {
        team,
        accepted_at,
        held,
        stamps: vec![0; done.chunks() as usize],
        recorded: done.clone(),
        done,
        job_stamp,
        outcome: None,
        cancel_asked: false,
        bound: HashMap::new(),
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
