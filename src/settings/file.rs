//! The contents of the settings file, under the names used in the file.

use super::{QuotaSettings, StoreSettings};
use crate::time::Micros;
use serde::Deserialize;
use std::net::SocketAddr;

/// The contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub node: String,
    /// Name of the location in which this controller runs.
    pub location: String,
    /// Address at which users and workers reach this controller.
    pub public_addr: SocketAddr,
    /// Address at which this controller accepts connections of its peers.
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the platform's services.
    pub endpoints: Endpoints,
    /// Settings shared by all controllers.
    pub settings: Site,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Name of the controller.
    pub node: String,
    /// Location in which the controller runs.
    pub location: String,
    /// Address at which peers reach the controller.
    pub peer_addr: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    pub state: SocketAddr,
}

/// Settings shared by all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// Names of the cloud's zones.
    pub zones: Vec<String>,
    /// Maximum deviation of a clock from true time, in milliseconds. Two clocks may differ by twice as much.
    pub skew_ms: f64,
    /// Teams and their quotas.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    pub state: StoreSettings,
    /// Limits of the cloud.
    pub cloud: CloudSettings,
    /// Limits of this process.
    pub quota: QuotaSettings,
}

/// A team and its quota: the guaranteed amounts, and the limits up to which it may borrow.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    /// The team's name, unique.
    pub name: String,
    /// Guaranteed number of CPUs.
    pub cpus: f64,
    /// Maximum number of CPUs, borrowed ones included.
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs, borrowed ones included.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for a class of jobs or for all jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// The event that must happen in time: `wait` is a job's start, `finished` its end; other kinds are ignored.
    pub kind: String,
    /// The class of jobs; all classes if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// Maximum time from a job's acceptance to the event, in seconds.
    #[serde(default)]
    pub within_s: f64,
}

/// Timing of the workers.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerSettings {
    /// Time between two heartbeats, in seconds.
    pub report_s: f64,
    /// Time without an answer after which a worker stops its tasks, in seconds.
    pub lease_s: f64,
    /// Maximum time from the confirmation of a cancellation to its completion, in seconds.
    pub cancel_s: f64,
}

impl WorkerSettings {
    /// Time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Micros {
        Micros::from_secs_f64(self.report_s)
    }

    /// The length of a worker's lease.
    pub fn lease(&self) -> Micros {
        Micros::from_secs_f64(self.lease_s)
    }
}

/// Limits that the cloud sets.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudSettings {
    /// Maximum number of calls per second.
    pub rps: f64,
    /// Time by which a machine list may be out of date, in seconds.
    pub list_lag_s: f64,
}
