//! A machine and the state of its worker, as the protocol's page tells of them.

use crate::checker::{JobPlan, Place};
use crate::scheduler::Time;
use aspenreel::http::cbor::Number;
use aspenreel::workers::wire::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use aspenreel::workers::{AgentEpoch, FencingToken};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A machine that dies stays listed for this long.
pub(crate) const LISTED_AFTER_DEATH_S: f64 = 30.0;

#[derive(Clone, Debug)]
pub(crate) struct SimulatedTask {
    pub(crate) status: TaskStatus,
    pub(crate) exit_reason: Option<ExitReason>,
    /// When what it does now ends, and a count that tells its timers apart.
    pub(crate) phase_ends_at: Time,
    pub(crate) timer: u64,
}

/// A machine and its worker.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    pub(crate) type_name: String,
    /// Its zone.
    pub zone: String,
    pub(crate) spot: bool,
    pub(crate) cpus: f64,
    pub(crate) addr: SocketAddr,
    pub(crate) created: Time,
    pub(crate) up_at: Time,
    pub(crate) gone_at: Option<Time>,
    pub(crate) died_at: Option<Time>,
    pub(crate) agent_epoch: AgentEpoch,
    pub(crate) sequence: u64,
    pub(crate) fencing_token: FencingToken,
    /// When the last answered report was sent, or the agent epoch began.
    pub(crate) lease_started_at: Time,
    pub(crate) tasks: BTreeMap<(String, u64), SimulatedTask>,
    pub(crate) images: BTreeSet<String>,
    /// The node that it reports to.
    pub(crate) node: usize,
    pub(crate) in_flight: Option<u64>,
    pub(crate) last_sent_at: Time,
    pub(crate) sent_heartbeats: u64,
    pub(crate) heartbeat_timer: u64,
    pub(crate) timers: u64,
    /// The machine stands still until then.
    pub frozen_until: Time,
    pub(crate) frozen_since: Time,
    /// Its network is cut in both directions until then.
    pub cut_until: Time,
    /// Whether what a cut stops is held back and delivered in the end.
    pub(crate) delivers_after_cut: bool,
    /// What it sends is lost until then.
    pub outbound_dropped_until: Time,
    /// What is sent to it is lost until then.
    pub inbound_dropped_until: Time,
    /// When the cloud takes it, once it has said so.
    pub(crate) preempted_at: Option<Time>,
}

impl Machine {
    pub(crate) fn alive(&self) -> bool {
        self.gone_at.is_none() && self.died_at.is_none()
    }

    pub(crate) fn up(&self, now: Time) -> bool {
        self.alive() && self.up_at <= now
    }

    pub(crate) fn free_cpus(&self, plans: impl Fn(&str) -> f64) -> f64 {
        let held = self.tasks.iter();
        let held = held.filter(|(_, task)| task.status != TaskStatus::Exited);
        self.cpus - held.map(|((task_id, _), _)| plans(task_id)).sum::<f64>()
    }

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

    pub(crate) fn place(&self) -> Place {
        Place {
            machine: self.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    /// True if the job could start one more task here: the worker serves and has room.
    pub fn has_room_for(&self, plan: &JobPlan) -> bool {
        let serves =
            self.alive() && self.lease_started_at > 0 && self.fencing_token > FencingToken::NONE;
        // Whatever runs here takes as much at least: good enough for a bound on waits.
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

/// It has its image and has not ended.
pub(crate) fn is_active(task: &SimulatedTask) -> bool {
    matches!(task.status, TaskStatus::Running | TaskStatus::Flushing)
}
