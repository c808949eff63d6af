//! Configuration of a simulated cluster.

/// Duration of a worker's lease, in seconds.
pub const LEASE_S: f64 = 16.0;

/// Time within which all tasks of a cancelled job must have stopped, in seconds.
pub const CANCEL_S: f64 = 41.0;

/// Interval between two heartbeats of a worker, in seconds.
pub const HEARTBEAT_S: f64 = 3.0;

/// Maximum rate of requests that the cloud accepts, per second.
pub const CLOUD_RPS: f64 = 5.0;

/// Configuration of a simulated cluster.
#[derive(Clone)]
pub struct Setup {
    /// Number of controllers.
    pub nodes: usize,
    /// Machines that are up at the start: machine type, zone, whether they are spot machines, and their number.
    pub machines: Vec<(&'static str, &'static str, bool, usize)>,
    /// Teams and their limits in CPUs. Half of each limit is guaranteed.
    pub teams: Vec<(&'static str, f64)>,
    /// Maximum number of machines that the cloud provides in each zone.
    pub capacity: usize,
    /// Mean boot time of a machine, in seconds; drawn times vary by half of it.
    pub boot_s: f64,
    /// Typical time to fetch an image, in seconds; drawn times are between half and twice of it.
    pub fetch_s: f64,
    /// Maximum rate of changes in the key-value store according to the controllers' settings, per second.
    pub write_rps: f64,
    /// Duration of the leader's lease, in milliseconds.
    pub leader_lease_ms: u64,
    /// Announced next limits of the key-value store, as the fields of `state.next` in the controllers' settings.
    pub next_store_limits: &'static str,
    /// Additional command-line flags of the controller with this number.
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
