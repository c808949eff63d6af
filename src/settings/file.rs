//! The file as it stands: its fields under its own names.

use super::{QuotaSettings, StoreSettings};
use crate::time::Micros;
use serde::Deserialize;
use std::net::SocketAddr;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub node: String,
    /// The name of the location in which it runs.
    pub location: String,
    /// Where users and workers reach it.
    pub public_addr: SocketAddr,
    /// Where its peers reach it.
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the platform's services.
    pub endpoints: Endpoints,
    /// What holds for all controllers alike.
    pub settings: Site,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: String,
    /// The location in which it runs.
    pub location: String,
    /// Where peers reach it.
    pub peer_addr: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The key-value store.
    pub state: SocketAddr,
}

/// What holds for all controllers alike.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// The cloud's zones.
    pub zones: Vec<String>,
    /// By how much two clocks may differ, in milliseconds.
    pub skew_ms: f64,
    /// Teams and their quotas.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the workers.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    pub state: StoreSettings,
    /// Limits of the cloud.
    pub cloud: CloudSettings,
    /// Limits of this process.
    pub quota: QuotaSettings,
}

/// A team and its quota: what it is guaranteed, and the limit up to which it may borrow.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    /// The team's name, unique.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// The limit of CPUs.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// The limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective, for a class of jobs or for all.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is to happen in time: `wait` is a start, `finished` an end; others are ignored.
    pub kind: String,
    /// The class of jobs; all if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// In this time after a job's acceptance, in seconds.
    #[serde(default)]
    pub within_s: f64,
}

/// Times of the workers.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerSettings {
    /// Time between two heartbeats, in seconds.
    pub report_s: f64,
    /// A worker that is not answered for this long stops its tasks, in seconds.
    pub lease_s: f64,
    /// Within this time after its confirmation a cancellation must be complete, in seconds.
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

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudSettings {
    /// Calls a second.
    pub rps: f64,
    /// By how much a machine list may be out of date, in seconds.
    pub list_lag_s: f64,
}
