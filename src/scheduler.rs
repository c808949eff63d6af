//! What the leader holds in memory, and the events that change it.
//!
//! Everything here is deterministic: events, `now` and a seeded generator go in, the wanted
//! state comes out. Threads, sockets and clocks stay outside, so that a test replays a trace.

mod overload;
mod prior_term;
mod reachability;
mod run_times;
mod status;

use crate::jobs::spec::Submission;
use crate::jobs::{DoneRecord, FinalWrite, Job, JobId, JobTable, Outcome, new_job};
use crate::placement::PlacementSchedule;
use crate::provisioning::Provisioning;
use crate::settings::{Objective, TeamSettings};
use crate::time::{Micros, Moment, WallTime, at_most};
use crate::workers::fencing::Fencing;
use crate::workers::{CommandQueue, DesiredState, Machine};
use aspenreel_link_health::permissions::Permissions;
use overload::OverloadMonitor;
use prior_term::PriorTerm;
use run_times::ClassStatistics;
use std::collections::BTreeMap;

/// What an operator and the platform set.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    pub teams: Vec<TeamSettings>,
    pub worker_lease: Micros,
    /// Within this long after its confirmation a cancellation must be complete.
    pub cancellation_bound: Micros,
    pub heartbeat_interval: Micros,
    pub list_lag: Micros,
    pub candidate_sample: usize,
    pub max_idle: Micros,
    /// An ordinary machine is worth renting for work that may use spot ones if it saves this.
    pub on_demand_max_wait: Micros,
    /// Share of the CPUs in use that is kept ready where objectives tell of waiting times.
    pub headroom: f64,
    pub objectives: Vec<Objective>,
    /// A job that has not begun for this long goes before all others with its first tasks.
    pub max_queue_wait: Micros,
    /// Bytes that a value in the state service may have.
    pub value_bytes: usize,
    /// Bytes that jobs may take; beyond it none are accepted until some are over.
    pub job_bytes: usize,
    /// Machines that are known at once, at most: reports of others are turned away.
    pub max_machines: usize,
    /// Names of machines that are gone, kept against late copies of their reports.
    pub max_gone_machines: usize,
}

/// Beside clock drift, allow for timers and for time between reading a clock and sending.
pub const LEASE_MARGIN: Micros = Micros::from_millis(500);

/// Classes of jobs whose run times are learned.
const MAX_CLASSES: usize = 1000;

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
        at_most(self.config.worker_lease) + LEASE_MARGIN
    }

    /// Adds an accepted job. What an earlier term claimed of it is known from the pages.
    pub fn add_job(
        &mut self,
        submission: &Submission,
        revision: u64,
        now: Moment,
        wall: WallTime,
    ) -> JobId {
        if let Some(id) = self.jobs.find(&submission.id) {
            return id;
        }
        let spec = submission.spec();
        if !spec.standing && self.classes.with_arrays.len() < MAX_CLASSES {
            self.classes.with_arrays.insert(spec.class.clone());
        }
        let team = self.config.teams.iter().position(|t| t.name == spec.team);
        let age = wall.0.saturating_sub(spec.accepted.0);
        let accepted_at = Moment(now.0.saturating_sub(age));
        self.placement.due = true;
        let mut start_watermark = self
            .jobs
            .start_watermarks
            .get(&spec.id)
            .copied()
            .unwrap_or(0);
        if self.prior_term.watermarks_lost
            || (spec.standing && revision <= self.prior_term.older_version_led_at)
        {
            // Any of its tasks may have started, whatever the pages say.
            start_watermark = spec.tasks;
        }
        let mut job = new_job(spec, team, revision, accepted_at, start_watermark);
        if self.prior_term.released {
            job.release();
        }
        self.jobs.insert(job)
    }

    /// Takes in a done set's key, read at takeover or after a conflict.
    pub fn load_done(&mut self, id: &str, chunk: u32, record: &DoneRecord, revision: u64) {
        let Some(job_id) = self.jobs.find(id) else {
            return;
        };
        let Some(job) = self.jobs.table.get_mut(&job_id) else {
            return;
        };
        let Some(known) = job.revisions.get_mut(chunk as usize) else {
            return;
        };
        if *known != revision && chunk == 0 {
            // What got no answer was guarded by the revision before: it can't be applied any more.
            job.final_write = FinalWrite::Idle;
        }
        *known = revision;
        let mut set = job.recorded.clone();
        if set.add_chunk(chunk, &record.set).is_none() {
            log::error!("done set of {id}: malformed chunk {chunk}");
            return;
        }
        job.recorded = set;
        for task in job.recorded.iter().collect::<Vec<_>>() {
            job.settle(task);
        }
        if let Some(outcome) = record.state {
            self.finish(job_id, outcome);
        }
    }

    /// A job's final state is recorded: nothing of it may run any more.
    pub fn finish(&mut self, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.final_write = FinalWrite::Idle;
        log::debug!(
            "{} of {}: {outcome:?}, {} tasks, first all placed {:?} s after acceptance",
            job.spec.id,
            job.spec.class,
            job.spec.tasks,
            job.placed_at.map(|t| (t - job.accepted_at).as_secs_f64())
        );
        self.stop_attempts_of(id);
    }

    /// Stops whatever there is of a job. Not even time to save: nobody has a use for what it does.
    fn stop_attempts_of(&mut self, id: JobId) {
        for m in self.machines.values_mut() {
            let own = (id, 0, 0)..=(id, u32::MAX, u64::MAX);
            let mut any = false;
            for (_, attempt) in m.attempts.range_mut(own) {
                any = true;
                attempt.desired = DesiredState::Stop {
                    grace_period: Micros::ZERO,
                };
            }
            if any {
                m.free_capacity.set(None);
                self.commands.due.insert(m.name.clone());
            }
        }
        self.placement.due = true;
    }

    /// Claims of jobs that were retired: nothing of them is left.
    pub fn drop_stale_watermarks(&mut self) {
        let jobs = &self.jobs;
        let stale: Vec<String> = self
            .jobs
            .start_watermarks
            .keys()
            .filter(|id| jobs.find(id).is_none())
            .cloned()
            .collect();
        for id in stale {
            self.jobs.start_watermarks.remove(&id);
        }
    }

    /// The time of day, as far as this clock tells it.
    pub fn wall(&self, now: Moment) -> WallTime {
        WallTime(self.wall_at_start.0 + (now - self.started).0)
    }

    /// From here on nothing of the job starts, and what runs is stopped: its user has no use for it,
    /// whatever becomes of the record. It is cancelled once that is written.
    pub fn ask_cancel(&mut self, id: &str, now: Moment) -> bool {
        let Some(job_id) = self.jobs.find(id) else {
            return false;
        };
        if let Some(job) = self.jobs.table.get_mut(&job_id)
            && job.outcome.is_none()
            && !job.complete()
        {
            let first = job.cancel_asked_at.is_none();
            job.cancel_asked_at.get_or_insert(now);
            self.writes_due = true;
            if first {
                self.stop_attempts_of(job_id);
            }
        }
        true
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
                .is_some_and(|m| m.reconciled || m.epoch_over);
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
            job.release();
        }
    }

    /// True while no more jobs may be accepted; once full, until a tenth of the room is free.
    pub fn is_full(&self, was: bool) -> bool {
        let most = self.config.job_bytes;
        self.jobs.weight() > if was { most / 10 * 9 } else { most }
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
        self.place_if_due(now);
    }
}

fn retry_due(now: Moment) -> impl Fn(&Job) -> bool {
    move |j| j.retry_at > Moment(0) && j.retry_at <= now && j.ready() > 0
}
