//! What a simulation is made of.

/// A worker's lease, in seconds.
pub const LEASE_S: f64 = 16.0;

/// The time for a cancellation, in seconds.
pub const CANCEL_S: f64 = 41.0;

/// Time between two heartbeats of a worker, in seconds.
pub const HEARTBEAT_S: f64 = 3.0;

/// Requests per second that the cloud takes.
pub const CLOUD_RPS: f64 = 5.0;

/// What a simulation is made of.
#[derive(Clone)]
pub struct Setup {
    /// How many controllers there are.
    pub nodes: usize,
    /// (type, zone, spot, how many) that are up at the start.
    pub machines: Vec<(&'static str, &'static str, bool, usize)>,
    /// Team and its limit in CPUs; half of it is guaranteed.
    pub teams: Vec<(&'static str, f64)>,
    /// Machines that the cloud has at most, of each kind and zone.
    pub capacity: usize,
    /// How long a machine boots, about, in seconds.
    pub boot_s: f64,
    /// How long an image takes to arrive, about, in seconds.
    pub fetch_s: f64,
    /// Changes per second, by the controllers' settings.
    pub write_rps: f64,
    /// The leader's lease, in milliseconds.
    pub leader_lease_ms: u64,
    /// Limits of the key-value store to come, as the settings tell them.
    pub next_store_limits: &'static str,
    /// Further flags of the controllers with these numbers.
    pub flags: fn(usize) -> &'static [&'static str],
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            nodes: 3,
            machines: vec![("small", "east", true, 4), ("small", "west", true, 4)],
            teams: vec![("a", 48.0), ("b", 24.0)],
            capacity: 8,
            boot_s: 8.0,
            fetch_s: 1.5,
            write_rps: 60.0,
            leader_lease_ms: 8000,
            next_store_limits: "value_kb = 2.0, txn_ops = 4",
            flags: |_| &[],
        }
    }
}
