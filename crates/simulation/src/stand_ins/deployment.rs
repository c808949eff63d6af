//! What the platform hands over to controllers: the values of their settings that tests depend on.

/// The workers' lease in the settings of all processes.
pub const LEASE_S: f64 = 4.0;

/// The time for a cancellation in the settings of all processes.
pub const CANCEL_S: f64 = 8.0;

/// What differs between tests in what the platform hands over.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The limit of the only team; half of it is guaranteed.
    pub team_cpus: f64,
    /// Sockets that a controller may have open.
    pub sockets: u32,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            team_cpus: 32.0,
            sockets: 500,
        }
    }
}
