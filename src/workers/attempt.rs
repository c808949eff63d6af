//! One attempt of a task on one machine: what is wanted of it and what heartbeats show of it.

use super::delivery_status::DeliveryStatus;
use super::heartbeat_position::HeartbeatPosition;
use super::wire::{CommandKind, TaskStatus, WorkerCommand};
use crate::jobs::JobId;
use crate::time::{Micros, Moment};
use std::ops::RangeInclusive;

/// An attempt that ran for less than this doesn't count as the start of its job.
pub(super) const MIN_COUNTED_RUN: Micros = Micros::from_secs(30);

/// Which attempt of which task. Ordered by job, then task, then attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's number within its job, from 0.
    pub task: u32,
    /// The attempt's number: it rises from attempt to attempt, also from leader to leader.
    pub attempt: u64,
}

impl AttemptKey {
    /// The range of all keys that the attempts of a job may have.
    pub fn range_of_job(job: JobId) -> RangeInclusive<AttemptKey> {
        let first = AttemptKey {
            job,
            task: 0,
            attempt: 0,
        };
        let last = AttemptKey {
            job,
            task: u32::MAX,
            attempt: u64::MAX,
        };
        first..=last
    }
}

/// What the leader wants of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredState {
    /// It should run until its task is done.
    Run,
    /// It should end.
    Stop {
        /// The time that the task has for saving a checkpoint. Zero: it is killed at once.
        grace_period: Micros,
    },
}

impl DesiredState {
    /// Stop without a grace period, for attempts whose results nobody needs.
    pub const KILL: DesiredState = DesiredState::Stop {
        grace_period: Micros::ZERO,
    };
}

/// One attempt of a task on one machine, in the machine's current agent epoch.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What the leader wants of it.
    pub desired: DesiredState,
    /// Its status in the newest heartbeat; `None` until a heartbeat shows it.
    pub status: Option<TaskStatus>,
    /// The heartbeat whose reply carried the start command last; `None` if no reply did.
    pub(super) start_sent_in_reply_to: Option<HeartbeatPosition>,
    /// What became of a start command that went directly to the worker.
    pub delivery: DeliveryStatus,
    /// When a stop command was first sent.
    pub(super) stop_sent_at: Option<Moment>,
    /// When the attempt was decided on, or first seen in a heartbeat.
    pub placed_at: Moment,
    /// When a heartbeat first showed it running.
    pub running_since: Option<Moment>,
    /// True while it may use resources of the machine; its job then counts it as bound.
    pub bound: bool,
    /// True for the first start of a job that waited too long: it isn't preempted.
    pub protected: bool,
    /// True if the task completed in this attempt. Never true for standing jobs.
    pub done: bool,
}

impl Attempt {
    /// An attempt that the leader has just decided on.
    pub fn placed(now: Moment) -> Attempt {
        Attempt::new(true, now)
    }

    /// An attempt that was first seen in a heartbeat, of an earlier leader or of a start that was taken for
    /// lost. `bound`: it hasn't exited.
    pub(super) fn discovered(bound: bool, now: Moment) -> Attempt {
        Attempt::new(bound, now)
    }

    fn new(bound: bool, now: Moment) -> Attempt {
        Attempt {
            desired: DesiredState::Run,
            status: None,
            start_sent_in_reply_to: None,
            delivery: DeliveryStatus::Settled,
            stop_sent_at: None,
            placed_at: now,
            running_since: None,
            bound,
            protected: false,
            done: false,
        }
    }

    /// True while it may use resources of the machine.
    pub fn holds_resources(&self) -> bool {
        self.bound
    }

    /// True if no start command for it was ever sent, or the only one sent surely wasn't delivered.
    pub(super) fn was_never_sent(&self) -> bool {
        self.start_sent_in_reply_to.is_none() && !self.delivery.may_arrive()
    }

    /// The command of this kind for it. `job_id` is the id of its job.
    pub(super) fn command(
        &self,
        job_id: &str,
        key: AttemptKey,
        kind: CommandKind,
    ) -> WorkerCommand {
        let grace_period = match self.desired {
            DesiredState::Stop { grace_period } if kind == CommandKind::Stop => Some(grace_period),
            _ => None,
        };
        WorkerCommand {
            kind,
            task_id: format!("{job_id}/{}", key.task),
            attempt: key.attempt,
            grace_period_s: grace_period.map(Micros::as_secs_f64),
        }
    }
}

/// An attempt that a worker reports although its job has no record any more: the job is over.
#[derive(Clone, Debug)]
pub struct Orphan {
    /// The task, as the worker names it.
    pub task_id: String,
    /// The attempt's number.
    pub attempt: u64,
    /// True if the worker reports it as exited: it uses no resources any more.
    pub exited: bool,
}
