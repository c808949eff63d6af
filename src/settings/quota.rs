//! What the process may use, and what follows from it: threads, connections, bytes in memory.

use serde::Deserialize;

/// Limits of the process.
#[derive(Clone, Debug, Deserialize)]
pub struct QuotaSettings {
    /// Open sockets.
    pub sockets: usize,
    /// Part of a core. The process measures what it lacks by itself; the number is only checked.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Memory, in MiB; as if it were a gigabyte if absent.
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

/// Below this part of a core it runs, for a small fleet.
const SMALL_CPU_SHARE: f64 = 0.01;

/// Below this much memory, in MiB, it runs, for a small fleet.
const SMALL_MEMORY_MB: f64 = 16.0;

/// Memory that is counted with where there is no limit, in MiB.
const UNLIMITED_MEMORY_MB: f64 = 1024.0;

/// What a thread that waits costs with its stack and buffers, as measured: about 30 KiB.
const THREAD_KB: f64 = 48.0;

/// What an idle connection costs, as measured: below 1 KiB.
const CONNECTION_KB: f64 = 4.0;

/// More threads than these don't make a controller with part of a core any faster.
const MAX_THREADS: usize = 256;

/// Beside what is counted: listeners, the key-value store, the cloud, peers' kept connections.
const OTHER_SOCKETS: usize = 24;

impl QuotaSettings {
    /// Threads that wait for the network in place of users' requests: at most an eighth of the
    /// memory, and a socket each for the call that they wait for.
    pub fn max_pool_threads(&self) -> usize {
        let by_memory = self.memory_kb() / 8.0 / THREAD_KB;
        (self.sockets / 16)
            .min(by_memory as usize)
            .clamp(8, MAX_THREADS)
    }

    /// Threads that send commands straight to workers. Silent machines hold one each for a while:
    /// with few threads, a cut of hundreds would keep commands from all the others.
    pub fn command_sender_threads(&self) -> usize {
        (self.max_pool_threads() / 4).clamp(4, 48)
    }

    /// Connections that all peers together may have open here.
    pub fn max_peer_connections(&self) -> usize {
        self.max_pool_threads().clamp(16, 192)
    }

    /// Sockets that are left for users and workers.
    fn public_sockets(&self) -> usize {
        let own =
            self.max_pool_threads() + self.command_sender_threads() + self.max_peer_connections();
        self.sockets.saturating_sub(own + OTHER_SOCKETS)
    }

    /// How many connections of users and workers are served at once: of the sockets that are left
    /// all but a tenth, which is for kept connections to workers.
    pub fn max_connections(&self) -> usize {
        let by_sockets = self.public_sockets() * 9 / 10;
        let by_memory = self.memory_kb() / 4.0 / CONNECTION_KB;
        by_sockets.min(by_memory as usize).max(16)
    }

    /// How many connections to workers are kept open beside `open` ones of users and workers:
    /// those come first.
    pub fn max_worker_connections(&self, open: usize) -> usize {
        self.public_sockets().saturating_sub(open)
    }

    /// Bytes of requests and answers under way that are held at once.
    pub fn max_buffered_bytes(&self) -> usize {
        (self.memory_kb() * 1024.0 / 8.0) as usize
    }

    /// So many machines that are gone, and final states, are remembered: some 100 bytes each.
    pub fn max_retained_entries(&self) -> usize {
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

    /// What is small, but can be run with: one line each.
    pub fn warnings(&self) -> Vec<String> {
        let small = |field: &str, value: Option<f64>, least: f64| {
            value.filter(|v| *v < least).map(|v| {
                format!(
                    "settings: field `settings.quota.{field}`: {v} is below {least}, \
                     enough only for a small fleet"
                )
            })
        };
        let cpu = small("cpu_share", self.cpu_share, SMALL_CPU_SHARE);
        let memory = small("memory_mb", self.memory_mb, SMALL_MEMORY_MB);
        cpu.into_iter().chain(memory).collect()
    }

    fn memory_kb(&self) -> f64 {
        self.memory_mb.unwrap_or(UNLIMITED_MEMORY_MB) * 1024.0
    }
}
