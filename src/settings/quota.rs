//! Limits of the process, and the numbers of threads, connections and bytes in memory derived from them.

use serde::Deserialize;

/// Resource limits of the process.
#[derive(Clone, Debug, Deserialize)]
pub struct QuotaSettings {
    /// Maximum number of open sockets.
    pub sockets: usize,
    /// CPU limit, as a fraction of a core. The value is only checked: the process itself measures whether it lacks
    /// processor time.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Memory limit, in MiB; 1024 if absent.
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

/// CPU share, as a fraction of a core, below which a controller can serve a small fleet only.
const SMALL_CPU_SHARE: f64 = 0.01;

/// Memory, in MiB, below which a controller can serve a small fleet only.
const SMALL_MEMORY_MB: f64 = 16.0;

/// Memory assumed where there is no limit, in MiB.
const UNLIMITED_MEMORY_MB: f64 = 1024.0;

/// Memory counted for a waiting thread with its stack and buffers, in KiB; it uses about 30 KiB.
const THREAD_KB: f64 = 48.0;

/// Memory counted for an idle connection, in KiB; it uses less than 1 KiB.
const CONNECTION_KB: f64 = 4.0;

/// Upper limit of pool threads: more don't make a controller with a fraction of a core any faster.
const POOL_THREADS_CAP: usize = 256;

/// Sockets reserved for listeners, the key-value store, the cloud, and kept connections of peers.
const OTHER_SOCKETS: usize = 24;

impl QuotaSettings {
    /// Maximum number of threads that wait for the network on behalf of users' requests. Together they use at most an
    /// eighth of the memory, and each needs a socket for the call that it waits for.
    pub fn max_pool_threads(&self) -> usize {
        let by_memory = self.memory_kb() / 8.0 / THREAD_KB;
        (self.sockets / 16)
            .min(by_memory as usize)
            .clamp(8, POOL_THREADS_CAP)
    }

    /// Number of threads that send commands directly to workers. A machine that doesn't answer occupies one thread
    /// for a while: with few threads, a partition from hundreds of machines would block the commands for all others.
    pub fn command_sender_threads(&self) -> usize {
        (self.max_pool_threads() / 4).clamp(4, 48)
    }

    /// Maximum number of connections that all peers together may have open to this controller.
    pub fn max_peer_connections(&self) -> usize {
        self.max_pool_threads().clamp(16, 192)
    }

    /// Number of sockets that are left for users and workers.
    fn public_sockets(&self) -> usize {
        let own =
            self.max_pool_threads() + self.command_sender_threads() + self.max_peer_connections();
        self.sockets.saturating_sub(own + OTHER_SOCKETS)
    }

    /// Maximum number of connections of users and workers that are served at once: nine tenths of the sockets that
    /// are left for them, since the last tenth is for kept connections to workers.
    pub fn max_connections(&self) -> usize {
        let by_sockets = self.public_sockets() * 9 / 10;
        let by_memory = self.memory_kb() / 4.0 / CONNECTION_KB;
        by_sockets.min(by_memory as usize).max(16)
    }

    /// Maximum number of connections to workers that are kept open beside `open` connections of users and workers,
    /// which take precedence.
    pub fn max_worker_connections(&self, open: usize) -> usize {
        self.public_sockets().saturating_sub(open)
    }

    /// Maximum number of bytes of requests and responses in progress that are held in memory.
    pub fn max_buffered_bytes(&self) -> usize {
        (self.memory_kb() * 1024.0 / 8.0) as usize
    }

    /// Maximum number of machines that are gone, and of jobs' final states, that are kept in memory, at some 100
    /// bytes each.
    pub fn max_retained_entries(&self) -> usize {
        (self.memory_kb() / 8.0) as usize
    }

    /// Maximum number of bytes that jobs may use in the leader's memory: a quarter of it.
    pub fn job_bytes(&self) -> usize {
        (self.memory_kb() * 1024.0 / 4.0) as usize
    }

    /// Maximum number of machines known at once: a quarter of the memory, at some 4 KB each.
    pub fn max_machines(&self) -> usize {
        (self.memory_kb() / 16.0) as usize
    }

    /// A warning of one line for each limit that is small but sufficient to run.
    pub fn warnings(&self) -> Vec<String> {
        let small = |field: &str, value: Option<f64>, min: f64| {
            value.filter(|v| *v < min).map(|v| {
                format!(
                    "settings: field `settings.quota.{field}`: {v} is below {min}, \
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
