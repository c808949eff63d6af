//! The platform's settings file: read once, checked whole; unknown fields are ignored.

use crate::time::{Micros, at_least, at_most};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error(transparent)]
    Links(#[from] aspenreel_link_health::settings::SettingsConflict),
    #[error("{0} has no meaning without --half-cut-links")]
    WithoutLinks(&'static str),
    #[error("settings {0}: {1}")]
    Read(String, std::io::Error),
    #[error("settings: {0}")]
    Parse(String),
    #[error("settings: field `{field}`: {problem}")]
    Field { field: String, problem: String },
    #[error("--leader-lease-ms: {0}")]
    LeaderLease(String),
}

/// Added to the times of a cancellation: timers, the ways of the last answer and of the last order.
const CANCEL_MARGIN: Micros = Micros::from_millis(1000);
/// The life of the leader's lease, unless something else is asked for or needed.
const DEFAULT_LEADER_LEASE: Micros = Micros::from_millis(8000);
/// The shortest life of the leader's lease that its flag takes.
const MIN_LEADER_LEASE: Micros = Micros::from_millis(1000);

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub node: String,
    pub location: String,
    pub public_addr: SocketAddr,
    pub peer_listen: SocketAddr,
    #[serde(default)]
    pub members: Vec<Member>,
    pub endpoints: Endpoints,
    pub settings: Site,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub node: String,
    pub location: String,
    pub peer_addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    pub zones: Vec<String>,
    pub skew_ms: f64,
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerSettings,
    pub state: StateSettings,
    pub cloud: CloudSettings,
    pub quota: QuotaSettings,
}

#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What the operator aims at, for a class of jobs or for all.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct WorkerSettings {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

impl WorkerSettings {
    pub fn heartbeat_interval(&self) -> Micros {
        Micros::from_secs_f64(self.report_s)
    }
    pub fn lease(&self) -> Micros {
        Micros::from_secs_f64(self.lease_s)
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateSettings {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<StateLimits>,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct StateLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// What a stored value's quotes and braces may take beside its contents.
const VALUE_SPARE: usize = 16;

impl StateSettings {
    /// The limits that are obeyed: the stricter ones of now and later. What is written today, and what
    /// grows by being written anew, must still be taken after a change that nobody tells of.
    pub fn strictest(&self) -> StateSettings {
        let next = self.next.clone().unwrap_or_default();
        StateSettings {
            rps: self.rps.min(next.rps.unwrap_or(self.rps)),
            write_rps: self.write_rps.min(next.write_rps.unwrap_or(self.write_rps)),
            value_kb: self.value_kb.min(next.value_kb.unwrap_or(self.value_kb)),
            txn_ops: self.txn_ops.min(next.txn_ops.unwrap_or(self.txn_ops)),
            next: None,
        }
    }

    /// Bytes that a value may have, in the form in which limits count them.
    pub fn value_bytes(&self) -> usize {
        ((self.value_kb * 1024.0) as usize).saturating_sub(VALUE_SPARE)
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudSettings {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct QuotaSettings {
    pub sockets: usize,
    /// Part of a core. The process measures what it lacks by itself; the number is only checked.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

/// Below this no fleet is served (at 0.002 of a core two hundred machines get next to nothing done).
const LEAST_CPU_SHARE: f64 = 0.001;
/// Below these it runs, for a small fleet.
const SMALL_CPU_SHARE: f64 = 0.01;
const SMALL_MEMORY_MB: f64 = 16.0;
/// What a thread that waits costs with its stack and buffers, as measured: about 30 KiB.
const THREAD_KB: f64 = 48.0;
/// What an idle connection costs, as measured: below 1 KiB.
const CONNECTION_KB: f64 = 4.0;
/// More threads than these don't make a controller with part of a core any faster.
const MAX_THREADS: usize = 256;
/// Beside what is counted: listeners, the state service, the cloud, peers' kept connections.
const OTHER_SOCKETS: usize = 24;

impl QuotaSettings {
    /// Threads that wait for the network in place of users' requests: at most an eighth of the
    /// memory, and a socket each for the call that they wait for.
    pub fn pool_threads(&self) -> usize {
        let by_memory = self.memory_kb() / 8.0 / THREAD_KB;
        (self.sockets / 16)
            .min(by_memory as usize)
            .clamp(8, MAX_THREADS)
    }

    /// Threads that send orders straight to workers. Silent machines hold one each for a while:
    /// with few threads, a cut of hundreds would keep orders from all the others.
    pub fn direct_threads(&self) -> usize {
        (self.pool_threads() / 4).clamp(4, 48)
    }

    /// Connections that all peers together may have open here.
    pub fn peer_connections(&self) -> usize {
        self.pool_threads().clamp(16, 192)
    }

    fn public_sockets(&self) -> usize {
        let own = self.pool_threads() + self.direct_threads() + self.peer_connections();
        self.sockets.saturating_sub(own + OTHER_SOCKETS)
    }

    /// How many connections of users and workers are served at once: of the sockets that are left
    /// all but a tenth, which is for kept connections to workers.
    pub fn connections(&self) -> usize {
        let by_sockets = self.public_sockets() * 9 / 10;
        let by_memory = self.memory_kb() / 4.0 / CONNECTION_KB;
        by_sockets.min(by_memory as usize).max(16)
    }

    /// How many connections to workers are kept open beside `open` ones of users and workers:
    /// those come first.
    pub fn kept_clients(&self, open: usize) -> usize {
        self.public_sockets().saturating_sub(open)
    }

    /// Bytes of requests and answers under way that are held at once.
    pub fn buffered(&self) -> usize {
        (self.memory_kb() * 1024.0 / 8.0) as usize
    }

    /// So many machines that are gone, and final states, are remembered: some 100 bytes each.
    pub fn max_remembered(&self) -> usize {
        (self.memory_kb() / 8.0) as usize
    }

    /// Bytes that jobs may take in the leader's memory: a quarter of it.
    pub fn job_bytes(&self) -> usize {
        (self.memory_kb() * 1024.0 / 4.0) as usize
    }

    /// Machines that are known at once: some 4 KB each, a quarter of the memory.
    pub fn max_machines(&self) -> usize {
        (self.memory_kb() / 16.0) as usize
    }

    /// What is small, but can be run with.
    pub fn warnings(&self) -> Vec<String> {
        let small = |field: &str, value: Option<f64>, least: f64| {
            value.filter(|v| *v < least).map(|v| {
                format!("settings: field `settings.quota.{field}`: {v} is below {least}, enough only for a small fleet")
            })
        };
        let cpu = small("cpu_share", self.cpu_share, SMALL_CPU_SHARE);
        let memory = small("memory_mb", self.memory_mb, SMALL_MEMORY_MB);
        cpu.into_iter().chain(memory).collect()
    }

    fn memory_kb(&self) -> f64 {
        // Without a limit it is as if there were a gigabyte.
        self.memory_mb.unwrap_or(1024.0) * 1024.0
    }
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Read(path.display().to_string(), e))?;
        Settings::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| {
            // One clear line: the message names the field, the span tells where.
            let message = e.message().replace('\n', " ");
            let at = e.span().map_or(0, |s| s.start);
            let line = text.get(..at).unwrap_or("").matches('\n').count();
            let found: String = text
                .lines()
                .nth(line)
                .unwrap_or("")
                .chars()
                .take(80)
                .collect();
            SettingsError::Parse(format!("line {}, `{}`: {message}", line + 1, found.trim()))
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// The life of the leader's lease: as asked for, else the usual one, or less where a cancellation
    /// could take too long with it. Refuses what could.
    ///
    /// Whoever confirms a cancellation, and whatever the leader knows of it: after that moment the
    /// leader of before answers for no longer than its lease lives, and a worker that nobody answers
    /// kills its tasks when its own lease is over. Both together, with what clocks may drift and a
    /// margin, must fit into the time for a cancellation (`docs/design.md`, *The gap*).
    pub fn leader_lease(&self, asked: Option<Micros>) -> Result<Micros, SettingsError> {
        let w = &self.settings.workers;
        let cancel = Micros::from_secs_f64(w.cancel_s);
        let most = cancel.saturating_sub(at_most(w.lease()) + CANCEL_MARGIN);
        if most < MIN_LEADER_LEASE {
            let left = cancel.saturating_sub(CANCEL_MARGIN + MIN_LEADER_LEASE);
            let most = (at_least(left).as_secs_f64() * 1000.0).floor() / 1000.0;
            return Err(SettingsError::Field {
                field: "settings.workers.lease_s".into(),
                problem: format!(
                    "must be at most {most} for a cancel_s of {}, is {}: tasks of a cancelled job could outlast it",
                    w.cancel_s, w.lease_s
                ),
            });
        }
        match asked {
            Some(asked) if asked > most => Err(SettingsError::LeaderLease(format!(
                "must be at most {} for a lease_s of {} and a cancel_s of {}, is {}: tasks of a cancelled job could outlast it",
                most.0 / 1000,
                w.lease_s,
                w.cancel_s,
                asked.0 / 1000
            ))),
            Some(asked) => Ok(asked),
            None => Ok(DEFAULT_LEADER_LEASE.min(most)),
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bad = |field: &str, problem: &str| {
            Err(SettingsError::Field {
                field: field.into(),
                problem: problem.into(),
            })
        };
        if self.node.is_empty() {
            return bad("node", "must not be empty");
        }
        if self.members.iter().any(|m| m.node == self.node) {
            return bad("members", "must not name this node itself");
        }
        let s = &self.settings;
        if s.zones.is_empty() {
            return bad("settings.zones", "must name at least one zone");
        }
        if !(0.0..=3_600_000.0).contains(&s.skew_ms) {
            return bad("settings.skew_ms", "must be from 0 to 3600000");
        }
        let amounts = [
            ("settings.workers.report_s", s.workers.report_s, 0.1, 600.0),
            ("settings.workers.lease_s", s.workers.lease_s, 1.0, 86_400.0),
            (
                "settings.workers.cancel_s",
                s.workers.cancel_s,
                1.0,
                86_400.0,
            ),
            ("settings.state.rps", s.state.rps, 1.0, 1e7),
            ("settings.state.write_rps", s.state.write_rps, 1.0, 1e7),
            ("settings.state.value_kb", s.state.value_kb, 4.0, 64.0),
            ("settings.cloud.rps", s.cloud.rps, 0.1, 1e7),
            ("settings.cloud.list_lag_s", s.cloud.list_lag_s, 0.0, 3600.0),
        ];
        for (field, value, low, high) in amounts {
            if !(low..=high).contains(&value) {
                return bad(field, &format!("must be from {low} to {high}, is {value}"));
            }
        }
        if s.workers.lease_s <= s.workers.report_s {
            return bad("settings.workers.lease_s", "must be longer than report_s");
        }
        if s.state.txn_ops < 4 {
            return bad("settings.state.txn_ops", "must be at least 4");
        }
        if let Some(next) = &s.state.next {
            for (name, value, low, high) in [
                ("rps", next.rps, 1.0, 1e7),
                ("write_rps", next.write_rps, 1.0, 1e7),
                ("value_kb", next.value_kb, 1.0, 64.0),
            ] {
                if let Some(value) = value
                    && !(low..=high).contains(&value)
                {
                    let problem = format!("must be from {low} to {high}, is {value}");
                    return bad(&format!("settings.state.next.{name}"), &problem);
                }
            }
            if next.txn_ops.is_some_and(|n| n < 4) {
                return bad("settings.state.next.txn_ops", "must be at least 4");
            }
        }
        if s.quota
            .memory_mb
            .is_some_and(|mb| !(4.0..=1e7).contains(&mb))
        {
            return bad("settings.quota.memory_mb", "must be from 4 to 1e7");
        }
        if let Some(share) = s.quota.cpu_share
            && !(LEAST_CPU_SHARE..=1e4).contains(&share)
        {
            let problem = format!("must be from {LEAST_CPU_SHARE} to 10000, is {share}");
            return bad("settings.quota.cpu_share", &problem);
        }
        if s.quota.sockets < 32 {
            return bad("settings.quota.sockets", "must be at least 32");
        }
        let mut names = std::collections::HashSet::new();
        for team in &s.teams {
            let field = |f: &str| format!("settings.teams.{}.{f}", team.name);
            if !names.insert(team.name.as_str()) {
                return bad(&field("name"), "is there twice");
            }
            for (f, low, high) in [
                ("cpus", team.cpus, team.cpus_max),
                ("gpus", team.gpus, team.gpus_max),
            ] {
                if !(0.0..=1e9).contains(&low) || !(0.0..=1e9).contains(&high) {
                    return bad(&field(f), "must be from 0 to 1e9");
                }
                if low > high {
                    return bad(&field(f), "must not be above its limit");
                }
            }
        }
        Ok(())
    }
}
