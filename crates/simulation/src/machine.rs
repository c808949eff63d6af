//! Simulated machine and the state of its worker, according to the published protocol.

use crate::checker::{JobPlan, Place};
use crate::scheduler::Time;
use aspenreel::http::cbor::Number;
use aspenreel::workers::wire::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use aspenreel::workers::{AgentEpoch, FencingToken};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time for which the cloud still lists a machine that has died, in seconds.
pub(crate) const LISTED_AFTER_DEATH_S: f64 = 30.0;

/// Attempt of a task on a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedTask {
    /// Current phase of the attempt.
    pub(crate) status: TaskStatus,
    /// Reason of the exit, once it has exited.
    pub(crate) exit_reason: Option<ExitReason>,
    /// Time at which the current phase ends.
    pub(crate) phase_ends_at: Time,
    /// Number of the timer for the end of the phase. Timers with other numbers are out of date.
    pub(crate) timer: u64,
}

/// Machine and its worker.
#[derive(Debug)]
pub struct Machine {
    /// Name, assigned by the cloud.
    pub name: String,
    /// Machine type.
    pub(crate) type_name: String,
    /// Zone.
    pub zone: String,
    /// True for a spot machine.
    pub(crate) spot: bool,
    /// Number of CPUs.
    pub(crate) cpus: f64,
    /// Address of the worker for direct commands.
    pub(crate) addr: SocketAddr,
    /// Time of the machine's creation, by a provisioning request or at the start of the simulation.
    pub(crate) created: Time,
    /// Time at which the machine has booted.
    pub(crate) up_at: Time,
    /// Time at which the machine was returned, or taken back by the cloud.
    pub(crate) gone_at: Option<Time>,
    /// Time at which the machine failed for good.
    pub(crate) died_at: Option<Time>,
    /// Current agent epoch of the worker.
    pub(crate) agent_epoch: AgentEpoch,
    /// Sequence number of the last heartbeat.
    pub(crate) sequence: u64,
    /// Highest fencing token that the worker has accepted.
    pub(crate) fencing_token: FencingToken,
    /// Start of the worker's lease: time at which the last accepted heartbeat was sent, or the agent epoch began.
    pub(crate) lease_started_at: Time,
    /// Attempts that the worker knows, by task id and attempt number.
    pub(crate) tasks: BTreeMap<(String, u64), SimulatedTask>,
    /// Images that have been fetched.
    pub(crate) images: BTreeSet<String>,
    /// Number of the controller that the worker sends heartbeats to.
    pub(crate) node: usize,
    /// Number of the heartbeat that awaits an answer, if there is one.
    pub(crate) in_flight: Option<u64>,
    /// Time at which the last heartbeat was sent.
    pub(crate) last_sent_at: Time,
    /// Number of heartbeats sent so far.
    pub(crate) sent_heartbeats: u64,
    /// Number of the timer for the next heartbeat. Timers with other numbers are out of date.
    pub(crate) heartbeat_timer: u64,
    /// Number of task timers created so far.
    pub(crate) timers: u64,
    /// Time until which the machine is frozen.
    pub frozen_until: Time,
    /// Time at which the last freeze began.
    pub(crate) frozen_since: Time,
    /// Time until which the machine's network is cut in both directions.
    pub cut_until: Time,
    /// True if messages that a cut stops are delivered after it, false if they are lost.
    pub(crate) delivers_after_cut: bool,
    /// Time until which all messages that the machine sends are lost.
    pub outbound_dropped_until: Time,
    /// Time until which all messages to the machine are lost.
    pub inbound_dropped_until: Time,
    /// Time at which the cloud takes the machine back, once it has given notice.
    pub(crate) preempted_at: Option<Time>,
}

impl Machine {
    /// True if the machine has neither been taken back nor failed.
    pub(crate) fn alive(&self) -> bool {
        self.gone_at.is_none() && self.died_at.is_none()
    }

    /// True if the machine has booted and is alive.
    pub(crate) fn up(&self, now: Time) -> bool {
        self.alive() && self.up_at <= now
    }

    /// Number of CPUs that no attempt uses. `cpus_of` returns the CPUs of a task.
    pub(crate) fn free_cpus(&self, cpus_of: impl Fn(&str) -> f64) -> f64 {
        let held = self.tasks.iter();
        let held = held.filter(|(_, task)| task.status != TaskStatus::Exited);
        self.cpus - held.map(|((task_id, _), _)| cpus_of(task_id)).sum::<f64>()
    }

    /// Creates the next heartbeat.
    pub(crate) fn heartbeat(&mut self, now: Time) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.to_string(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: self
                .preempted_at
                .map(|at| Number(at.saturating_sub(now) as f64 / 1e6)),
            tasks: self
                .tasks
                .iter()
                .map(|((task_id, attempt), task)| ReportedTask {
                    task_id: task_id.clone(),
                    attempt: *attempt,
                    status: task.status,
                    exit_reason: task.exit_reason,
                    checkpointed: None,
                })
                .collect(),
        }
    }

    /// Place of the tasks on this machine, as the checker sees it.
    pub(crate) fn place(&self) -> Place {
        Place {
            machine: self.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    /// True if the worker serves, the job allows the machine, and there is room for one more task of the job.
    pub fn has_room_for(&self, plan: &JobPlan) -> bool {
        let serves =
            self.alive() && self.lease_started_at > 0 && self.fencing_token > FencingToken::NONE;
        // Each active attempt is counted as 8 CPUs, the size of a small machine, so the room may be underestimated.
        // This is good enough for a limit on waits.
        let held = self.tasks.values();
        let held = held
            .filter(|task| task.status != TaskStatus::Exited)
            .count() as f64;
        serves
            && plan.zone.as_ref().is_none_or(|z| *z == self.zone)
            && (plan.spot || !self.spot)
            && self.cpus - held * 8.0 >= plan.cpus
    }
}

/// True if the task has its image and has not exited.
pub(crate) fn is_active(task: &SimulatedTask) -> bool {
    matches!(task.status, TaskStatus::Running | TaskStatus::Flushing)
}
