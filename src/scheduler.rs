//! The leader's in-memory state, made up of one struct for each area of responsibility.
//!
//! The scheduler is deterministic: its inputs are events, the current time `now` and a seeded random generator, and
//! its output is the desired state. Threads, sockets and clocks are kept out of it so that tests can replay
//! traces. The decisions on this state are made in the modules [placement](crate::placement),
//! [provisioning](crate::provisioning), [workers](crate::workers) and [jobs](crate::jobs).

mod class_statistics;
mod config;
mod overload;
mod prior_term;
mod prior_term_release;
mod reachability;
mod run_times;
mod status;
mod timer;

use crate::jobs::JobTable;
use crate::placement::PlacementSchedule;
use crate::provisioning::Provisioning;
use crate::time::{Micros, Moment, WallTime, max_with_drift};
use crate::workers::fencing::Fencing;
use crate::workers::{CommandQueue, Machine};
use aspenreel_link_health::permissions::Permissions;
use class_statistics::ClassStatistics;
use overload::OverloadMonitor;
use prior_term::PriorTerm;
use std::collections::BTreeMap;

pub use config::SchedulerConfig;

/// Margin added to a lease on top of clock drift. It covers timer delays, and the time between reading a clock and
/// sending a message.
pub const LEASE_MARGIN: Micros = Micros::from_millis(500);

/// The leader's in-memory state. Each part is managed by its own type or module.
#[derive(Debug)]
pub struct SchedulerState {
    /// Configuration set by operator and platform.
    pub config: SchedulerConfig,
    /// Term that this leader won.
    pub term: u64,
    /// Number of attempts created in this term. Attempt numbers are `term << 32 | attempt_counter`, so that they
    /// increase across leaders without being stored.
    pub attempt_counter: u32,
    /// Time at which this term has certainly begun: leaders of earlier terms sent no replies after it.
    pub started: Moment,
    /// Time of day at `started`.
    pub wall_at_start: WallTime,
    /// Source of all random choices.
    pub rng: fastrand::Rng,
    /// Accepted jobs, and which of their tasks may start.
    pub jobs: JobTable,
    /// Learned statistics of each job class.
    pub classes: ClassStatistics,
    /// Machines and the attempts on them, by machine name.
    pub machines: BTreeMap<String, Machine>,
    /// Machines that get commands in direct calls.
    pub commands: CommandQueue,
    /// Machine registry, the cloud's catalog and machine list, and provisioning requests.
    pub provisioning: Provisioning,
    /// Machines and tasks of earlier terms that are not reconciled yet.
    pub prior_term: PriorTerm,
    /// Issued fencing tokens, and the unconfirmed starts that they revoke.
    pub fencing: Fencing,
    /// Schedule of placement passes.
    pub placement: PlacementSchedule,
    /// Whether this process gets enough processor time.
    pub overload: OverloadMonitor,
    /// True if records must be written without waiting for the record writer's next round.
    pub writes_due: bool,
    /// Decisions that may be made at present.
    permissions: Permissions,
}

impl SchedulerState {
    /// Creates the state of a new leader, without any jobs or machines.
    pub fn new(config: SchedulerConfig, term: u64, started: Moment, seed: u64) -> SchedulerState {
        let value_bytes = config.value_bytes;
        SchedulerState {
            config,
            term,
            attempt_counter: 0,
            started,
            wall_at_start: WallTime(0),
            rng: fastrand::Rng::with_seed(seed),
            jobs: JobTable::new(value_bytes),
            classes: ClassStatistics::default(),
            machines: BTreeMap::new(),
            commands: CommandQueue::default(),
            provisioning: Provisioning::new(value_bytes),
            prior_term: PriorTerm::default(),
            fencing: Fencing::new(term),
            placement: PlacementSchedule::default(),
            overload: OverloadMonitor::default(),
            writes_due: false,
            permissions: Permissions::ALL,
        }
    }

    /// Time without a reply after which a worker's agent epoch has certainly ended: the lease, with clock drift and
    /// margin.
    pub fn max_lease_duration(&self) -> Micros {
        max_with_drift(self.config.worker_lease) + LEASE_MARGIN
    }

    /// Wall-clock time at `now`, computed from the wall-clock time at the start of the term.
    pub fn wall(&self, now: Moment) -> WallTime {
        WallTime(self.wall_at_start.0 + (now - self.started).0)
    }

    /// Decisions that may be made at present. All modules check this before a decision that must be recorded.
    pub fn permissions(&self) -> Permissions {
        self.permissions
    }

    /// Sets the decisions that may be made from now on. Returns true if recording is allowed again.
    pub fn set_permissions(&mut self, permissions: Permissions) -> bool {
        let before = std::mem::replace(&mut self.permissions, permissions);
        // Reconsider work that waited for a permission.
        self.placement.due |= permissions.assign && !before.assign;
        let may_record_again = permissions.record && !before.record;
        self.writes_due |= may_record_again;
        may_record_again
    }
}
