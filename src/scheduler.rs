//! What the leader holds in memory, and the events that change it.
//!
//! Everything here is deterministic: events, `now` and a seeded generator go in, the wanted
//! state comes out. Threads, sockets and clocks stay outside, so that a test replays a trace.

mod overload;
mod prior_term;
mod reachability;
mod run_times;
mod status;

use crate::jobs::{Job, JobTable};
use crate::placement::PlacementSchedule;
use crate::provisioning::Provisioning;
use crate::settings::{Objective, TeamSettings};
use crate::time::{Micros, Moment, WallTime, at_most};
use crate::workers::fencing::Fencing;
use crate::workers::{CommandQueue, Machine};
use aspenreel_link_health::permissions::Permissions;
use overload::OverloadMonitor;
use prior_term::PriorTerm;
use run_times::ClassStatistics;
use std::collections::BTreeMap;

/// What an operator and the platform set.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    pub teams: Vec<TeamSettings>,
    pub lease: Micros,
    /// Within this long after its confirmation a cancellation must be complete.
    pub cancel: Micros,
    pub report: Micros,
    pub list_lag: Micros,
    pub sample: usize,
    pub idle: Micros,
    /// An ordinary machine is worth renting for work that may use spot ones if it saves this.
    pub on_demand_patience: Micros,
    /// Share of the CPUs in use that is kept ready where objectives tell of waiting times.
    pub reserve: f64,
    pub objectives: Vec<Objective>,
    /// A job that has not begun for this long goes before all others with its first tasks.
    pub patience: Micros,
    /// Bytes that a value in the state service may have.
    pub value_bytes: usize,
    /// Bytes that jobs may take; beyond it none are accepted until some are over.
    pub job_bytes: usize,
    /// Machines that are known at once, at most: reports of others are turned away.
    pub most_machines: usize,
    /// Names of machines that are gone, kept against late copies of their reports.
    pub remembered: usize,
}

/// Beside clock drift, allow for timers and for time between reading a clock and sending.
pub const LEASE_MARGIN: Micros = Micros::from_millis(500);

/// Classes of jobs whose run times are learned.
pub(crate) const MOST_CLASSES: usize = 1000;

/// The leader's state, each part with its owner.
#[derive(Debug)]
pub struct SchedulerState {
    /// What operator and platform set.
    pub config: SchedulerConfig,
    /// The term that this leader won.
    pub term: u64,
    /// Attempt numbers are `term << 32 | attempt_counter`: they rise across leaders with nothing written.
    pub attempt_counter: u32,
    /// When the lead was surely ours: older leaders answered nobody after this.
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

    /// After this long without an answer a worker's session is over.
    pub fn lease_span(&self) -> Micros {
        at_most(self.config.lease) + LEASE_MARGIN
    }

    /// The time of day, as far as this clock tells it.
    pub fn wall(&self, now: Moment) -> WallTime {
        WallTime(self.wall_at_start.0 + (now - self.started).0)
    }

    /// Lets earlier terms' claimed tasks go once no unseen machine can hold them any more.
    ///
    /// A task starts only on a machine that is on the roster, and only once it is claimed. So
    /// tasks that were not claimed never started, and the claimed ones can only be on machines of
    /// the roster. Once each of these was counted in under this term, or its session surely
    /// ended, nothing is unseen, and the wait for a full lease ends early.
    pub fn release_prior_term(&mut self, now: Moment) {
        if self.prior_term.released {
            return;
        }
        let machines = &self.machines;
        let provisioning = &self.provisioning;
        self.prior_term.unreconciled.retain(|name| {
            let seen = machines
                .get(name)
                .is_some_and(|m| m.reconciled || m.epoch_ended);
            !seen && !provisioning.is_gone(name)
        });
        let lease_over = now - self.started >= self.lease_span();
        if !lease_over && !self.prior_term.unreconciled.is_empty() {
            return;
        }
        log::info!(
            "earlier jobs are released, {} machines unseen",
            self.prior_term.unreconciled.len()
        );
        for name in std::mem::take(&mut self.prior_term.unreconciled) {
            if !self.machines.contains_key(&name) {
                self.provisioning.registry.remove(&name);
                self.prior_term.machines.remove(&name);
            }
        }
        self.prior_term.released = true;
        self.placement.due = true;
        for job in self.jobs.table.values_mut() {
            job.end_reconciliation();
        }
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

    /// What time alone changes.
    pub fn on_timer(&mut self, now: Moment) {
        self.expire_leases(now);
        self.check_revocations(now);
        let retry = self.jobs.table.values().any(retry_due(now));
        self.placement.due |= retry;
        self.place_soon(now);
    }
}

fn retry_due(now: Moment) -> impl Fn(&Job) -> bool {
    move |j| j.retry_after > Moment(0) && j.retry_after <= now && j.ready() > 0
}
