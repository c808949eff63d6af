//! Settings of real controllers whose values tests depend on.

/// Worker lease in seconds (`lease_s`), the same in the settings of all controllers.
pub const LEASE_S: f64 = 4.0;

/// Time within which a cancellation must take effect, in seconds (`cancel_s`), the same in the settings of all
/// controllers.
pub const CANCEL_S: f64 = 8.0;

/// Name of the team whose jobs wait: it may use [`SMALL_TEAM_CPUS`] only.
pub const SMALL_TEAM: &str = "b";

/// CPU limit of the small team, all of it guaranteed.
pub const SMALL_TEAM_CPUS: f64 = 1.0;

/// Settings that differ between tests.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// CPU limit of team `a`; half of it is guaranteed.
    pub team_cpus: f64,
    /// Number of sockets that a controller may have open.
    pub sockets: u32,
    /// Requests a second that the key-value store allows all controllers together.
    pub store_rps: f64,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            team_cpus: 32.0,
            sockets: 500,
            store_rps: 500.0,
        }
    }
}
