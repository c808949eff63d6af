//! The leader's state in memory: one struct for each owner, held together.
//!
//! Everything here is deterministic: events, `now` and a seeded generator go in, the desired
//! state comes out. Threads, sockets and clocks stay outside, so that a test replays a trace. The decisions over
//! the state stand in the slices: [placement](crate::placement), [provisioning](crate::provisioning),
//! [workers](crate::workers) and [jobs](crate::jobs).

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

/// Added to a lease beside clock drift: for timers, and for the time between reading a clock and sending.
pub const LEASE_MARGIN: Micros = Micros::from_millis(500);

/// The leader's state, each part with its owner.
#[derive(Debug)]
pub struct SchedulerState {
    /// What operator and platform set.
    pub config: SchedulerConfig,
    /// The term that this leader won.
    pub term: u64,
    /// Attempt numbers are `term << 32 | attempt_counter`: they rise across leaders with nothing written.
    pub attempt_counter: u32,
    /// When this term surely began: leaders of earlier terms answered nobody after this.
    pub started: Moment,
    /// The time of day at `started`.
    pub wall_at_start: WallTime,
    /// The source of all random choices.
    pub rng: fastrand::Rng,
    /// Accepted jobs, and which of their tasks may start.
    pub jobs: JobTable,
    /// What was learned of each class of jobs.
    pub classes: ClassStatistics,
    /// Machines and the attempts on them, by name.
    pub machines: BTreeMap<String, Machine>,
    /// Machines to which commands go at once.
    pub commands: CommandQueue,
    /// The machine registry, the cloud's catalog and list, and provisioning requests.
    pub provisioning: Provisioning,
    /// What earlier terms left behind.
    pub prior_term: PriorTerm,
    /// The fencing tokens given out, and the unconfirmed starts that they revoke.
    pub fencing: Fencing,
    /// When placement passes run.
    pub placement: PlacementSchedule,
    /// Whether this process gets enough processor time.
    pub overload: OverloadMonitor,
    /// Somebody waits for a record: the writer doesn't wait for its next round.
    pub writes_due: bool,
    /// Which decisions may be made now.
    permissions: Permissions,
}

impl SchedulerState {
    /// The state of a leader that knows nothing yet.
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

    /// After this long without a reply a worker's agent epoch is surely over.
    pub fn lease_span(&self) -> Micros {
        max_with_drift(self.config.worker_lease) + LEASE_MARGIN
    }

    /// The time of day, as far as this clock tells it.
    pub fn wall(&self, now: Moment) -> WallTime {
        WallTime(self.wall_at_start.0 + (now - self.started).0)
    }

    /// Which decisions may be made now. Every slice asks here before it decides what needs a record.
    pub fn permissions(&self) -> Permissions {
        self.permissions
    }

    /// Sets which decisions may be made from now on. True if something is allowed that wasn't.
    pub fn set_permissions(&mut self, permissions: Permissions) -> bool {
        let before = std::mem::replace(&mut self.permissions, permissions);
        // What waited for the permission is looked at again.
        self.placement.due |= permissions.assign && !before.assign;
        let may_record_again = permissions.record && !before.record;
        self.writes_due |= may_record_again;
        may_record_again
    }
}
