//! One attempt to run a task on a machine: its desired state and its reported state.

use super::delivery_status::DeliveryStatus;
use super::heartbeat_position::HeartbeatPosition;
use super::wire::{CommandKind, TaskStatus, WorkerCommand};
use crate::jobs::JobId;
use crate::time::{Micros, Moment};
use std::ops::RangeInclusive;

/// Minimum run time of an attempt that counts as the start of its job.
pub(super) const MIN_COUNTED_RUN: Micros = Micros::from_secs(30);

/// Identifies an attempt. Ordered by job, then task, then attempt number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the task within its job, from 0.
    pub task: u32,
    /// Attempt number, which increases from attempt to attempt and from leader to leader.
    pub attempt: u64,
}

impl AttemptKey {
    /// Term of the leader that decided on the attempt.
    pub(super) fn term(self) -> u64 {
        self.attempt >> 32
    }

    /// Range of all possible keys of a job's attempts.
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

/// State of an attempt that the leader wants to reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredState {
    /// The attempt should run until its task is done.
    Run,
    /// The attempt should end.
    Stop {
        /// Time for saving a checkpoint. With zero the task is killed at once.
        grace_period: Micros,
    },
}

impl DesiredState {
    /// Stop without a grace period, for attempts whose results are not needed.
    pub const KILL: DesiredState = DesiredState::Stop {
        grace_period: Micros::ZERO,
    };
}

/// State of one attempt on a machine, in the machine's current agent epoch.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// State that the leader wants to reach.
    pub desired: DesiredState,
    /// Status in the newest report; `None` until a report lists the attempt.
    pub status: Option<TaskStatus>,
    /// Position of the last heartbeat whose reply carried the start command; `None` if no reply did.
    pub(super) start_sent_in_reply_to: Option<HeartbeatPosition>,
    /// Delivery of a start command that was sent in a direct call.
    pub delivery: DeliveryStatus,
    /// Time at which a stop command was first sent.
    pub(super) stop_sent_at: Option<Moment>,
    /// Time at which the attempt was placed, or first reported by the worker.
    pub placed_at: Moment,
    /// Time at which a report first showed the attempt as running.
    pub running_since: Option<Moment>,
    /// True while the attempt may use resources of the machine; its job then counts it as bound.
    pub bound: bool,
    /// True for the first start of a job that waited too long: the attempt isn't preempted.
    pub protected: bool,
    /// True if the task completed in this attempt. Never true for standing jobs.
    pub done: bool,
}

impl Attempt {
    /// Creates an attempt that the leader has just placed.
    pub fn placed(now: Moment) -> Attempt {
        Attempt::new(true, now)
    }

    /// Creates an attempt that was first seen in a report: an earlier leader started it, or its start command was
    /// considered lost. `bound` is false if the attempt has exited.
    pub(super) fn discovered(bound: bool, delivery: DeliveryStatus, now: Moment) -> Attempt {
        Attempt {
            delivery,
            ..Attempt::new(bound, now)
        }
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

    /// True if the newest report of its machine shows the attempt as running.
    pub fn is_running(&self) -> bool {
        self.status == Some(TaskStatus::Running)
    }

    /// True while the attempt may use resources of the machine.
    pub fn holds_resources(&self) -> bool {
        self.bound
    }

    /// True if no start command for the attempt was ever sent, or the only one sent was certainly not delivered.
    pub(super) fn was_never_sent(&self) -> bool {
        self.start_sent_in_reply_to.is_none() && !self.delivery.may_arrive()
    }

    /// Builds a command of this kind for the attempt. `job_id` is the id of its job.
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

/// An attempt that a worker reports although its job no longer has a record, because the job has ended.
#[derive(Clone, Debug)]
pub struct Orphan {
    /// Task in the worker's notation, normally `<job id>/<task number>`.
    pub task_id: String,
    /// Attempt number.
    pub attempt: u64,
    /// True if the worker reports the attempt as exited: it no longer uses resources.
    pub exited: bool,
}
