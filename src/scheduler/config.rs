//! What operator and platform set for the scheduler.

use crate::settings::{Objective, TeamSettings};
use crate::time::Micros;

/// What operator and platform set for the scheduler; it doesn't change during a term.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Teams with their quotas. Elsewhere a team is its index here.
    pub teams: Vec<TeamSettings>,
    /// A worker that is not answered for this long, by its own clock, stops its tasks.
    pub worker_lease: Micros,
    /// Within this long after its confirmation a cancellation must be complete.
    pub cancellation_bound: Micros,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// By how much the cloud's machine list may be out of date.
    pub list_lag: Micros,
    /// Machines drawn for a task before all are looked at; more where there are many.
    pub candidate_sample: usize,
    /// A spot machine without work is returned after this long, an on-demand one sooner.
    pub max_idle: Micros,
    /// An on-demand machine is worth requesting for work that may use spot ones if it saves this long a wait.
    pub on_demand_max_wait: Micros,
    /// Capacity kept ready where objectives ask for short waiting times, as a share of the CPUs in use.
    pub headroom: f64,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// A job that has not begun for this long goes before all others with its first tasks.
    pub max_queue_wait: Micros,
    /// Bytes that a value in the key-value store may have.
    pub value_bytes: usize,
    /// Bytes that jobs may take; beyond it none are accepted until some are over.
    pub job_bytes: usize,
    /// Machines that are known at once, at most: heartbeats of others are turned away.
    pub max_machines: usize,
    /// Names of machines that are gone, at most, kept against late copies of their heartbeats.
    pub max_gone_machines: usize,
}
