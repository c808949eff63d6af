//! Configuration of the scheduler.

use crate::settings::{Objective, TeamSettings};
use crate::time::Micros;

/// Configuration of the scheduler, set by operator and platform. It doesn't change during a term.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Teams with their quotas. The rest of the scheduler identifies a team by its index in this list.
    pub teams: Vec<TeamSettings>,
    /// Duration of a worker's lease: a worker that gets no reply for this long, by its own clock, stops its tasks.
    pub worker_lease: Micros,
    /// Maximum time from the confirmation of a cancellation to its completion.
    pub cancellation_bound: Micros,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// Time by which the cloud's machine list may be out of date.
    pub list_lag: Micros,
    /// Number of randomly chosen machines to examine for a task before all machines are examined. It is higher if
    /// many machines have free capacity.
    pub candidate_sample: usize,
    /// Idle time after which a spot machine is returned to the cloud; on-demand machines are returned sooner.
    pub max_idle: Micros,
    /// Reduction of the waiting time that justifies an on-demand machine for work that may use spot machines.
    pub on_demand_max_wait: Micros,
    /// Free capacity to reserve if objectives require short waiting times, as a fraction of the CPUs in use.
    pub headroom: f64,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Waiting time after which the first tasks of a job that hasn't started take precedence over all other jobs.
    pub max_queue_wait: Micros,
    /// Maximum size of a value in the key-value store, in bytes.
    pub value_bytes: usize,
    /// Memory limit for jobs, in bytes. Beyond it no jobs are accepted until some have ended.
    pub job_bytes: usize,
    /// Maximum number of known machines: heartbeats of further machines are rejected.
    pub max_machines: usize,
    /// Maximum number of names of former machines, which are kept to reject late duplicates of their heartbeats.
    pub max_gone_machines: usize,
}
