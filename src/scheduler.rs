//! What the leader holds in memory, and the events that change it.
//!
//! Everything here is deterministic: events, `now` and a seeded generator go in, the wanted
//! state comes out. Threads, sockets and clocks stay outside, so that a test replays a trace.

mod reachability;
mod run_times;
mod status;

use crate::jobs::spec::Submission;
use crate::jobs::{DoneRecord, FinalWrite, Job, JobId, Jobs, Outcome, new_job};
use crate::provisioning::Provisioning;
use crate::settings::{Objective, TeamSettings};
use crate::state_store::pages::Pages;
use crate::time::{Micros, Moment, WallTime, at_most};
use crate::workers::fencing::Fencing;
use crate::workers::{DesiredState, Machine};
use aspenreel_links::permissions::Permissions;
use std::collections::{BTreeMap, BTreeSet};

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
const MOST_CLASSES: usize = 1000;

#[derive(Debug)]
pub struct SchedulerState {
    pub config: SchedulerConfig,
    pub term: u64,
    /// Attempts are `term << 32 | counter`: they rise across leaders with nothing written.
    pub counter: u32,
    /// When the lead was surely ours: older leaders answered nobody after this.
    pub started: Moment,
    pub jobs: Jobs,
    pub machines: BTreeMap<String, Machine>,
    pub provisioning: Provisioning,
    pub rng: fastrand::Rng,
    /// Jobs of earlier terms may be placed: a full lease passed under this term.
    pub released: bool,
    /// Something changed that a placement pass should look at.
    pub placement_due: bool,
    /// When the last placement pass was.
    pub last_pass: Moment,
    /// How long tasks of a class ran, against their owners' estimates.
    pub estimate_ratio: BTreeMap<String, f64>,
    /// Classes of which an array was seen: aims at their starting times are aims for work that ends.
    pub array_classes: BTreeSet<String>,
    /// Machines on record that may hold tasks of earlier terms, not counted in yet.
    pub unreconciled: BTreeSet<String>,
    /// When the machines that earlier terms recorded existed, at the latest.
    pub prior_term_machines: BTreeMap<String, Moment>,
    /// Which tasks may have started: of each job those numbered below its entry.
    pub start_watermarks: Pages<u32>,
    /// A page of claims could not be read: any task of an earlier job may have started.
    pub watermarks_lost: bool,
    /// Revision at which a controller of an earlier version last took the lead, 0 if none ever did. It
    /// dropped the claims of standing jobs, which it didn't know.
    pub older_version_led_at: u64,
    /// Machines with tasks that wait for their job's claim.
    pub awaiting_watermark: BTreeMap<JobId, BTreeSet<String>>,
    /// The time of day at `started`.
    pub wall_at_start: WallTime,
    /// Machines with orders that go straight to them.
    pub direct_due: BTreeSet<String>,
    /// When the direct calls that are under way began.
    pub calls: Vec<Moment>,
    /// The process falls behind for want of processor time: what heartbeat answers carry as well
    /// isn't sent directly.
    pub(crate) overloaded: bool,
    /// When it was last seen to fall behind.
    overloaded_at: Moment,
    /// A job's final state waits for its record.
    pub writes_due: bool,
    /// Which decisions may be made now.
    permissions: Permissions,
    /// The tokens given out, and the starts in doubt that they fence off.
    pub fencing: Fencing,
}

impl SchedulerState {
    pub fn new(config: SchedulerConfig, term: u64, started: Moment, seed: u64) -> SchedulerState {
        let (start_watermarks, registry) = (
            Pages::new(config.value_bytes),
            Pages::new(config.value_bytes),
        );
        let mut provisioning = Provisioning::default();
        provisioning.registry = registry;
        SchedulerState {
            config,
            term,
            counter: 0,
            started,
            jobs: Jobs::default(),
            machines: BTreeMap::new(),
            provisioning,
            rng: fastrand::Rng::with_seed(seed),
            released: false,
            placement_due: true,
            last_pass: Moment(0),
            estimate_ratio: BTreeMap::new(),
            array_classes: BTreeSet::new(),
            unreconciled: BTreeSet::new(),
            prior_term_machines: BTreeMap::new(),
            start_watermarks,
            watermarks_lost: false,
            older_version_led_at: 0,
            awaiting_watermark: BTreeMap::new(),
            wall_at_start: WallTime(0),
            direct_due: BTreeSet::new(),
            calls: Vec::new(),
            overloaded: false,
            overloaded_at: Moment(0),
            writes_due: false,
            permissions: Permissions::ALL,
            fencing: Fencing::new(term),
        }
    }

    /// After this long without an answer a worker's session is over.
    pub fn lease_span(&self) -> Micros {
        at_most(self.config.lease) + LEASE_MARGIN
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
        if !spec.standing && self.array_classes.len() < MOST_CLASSES {
            self.array_classes.insert(spec.class.clone());
        }
        let team = self.config.teams.iter().position(|t| t.name == spec.team);
        let age = wall.0.saturating_sub(spec.accepted.0);
        let accepted_at = Moment(now.0.saturating_sub(age));
        self.placement_due = true;
        let mut start_watermark = self.start_watermarks.get(&spec.id).copied().unwrap_or(0);
        if self.watermarks_lost || (spec.standing && revision <= self.older_version_led_at) {
            // Any of its tasks may have started, whatever the pages say.
            start_watermark = spec.tasks;
        }
        let mut job = new_job(spec, team, revision, accepted_at, start_watermark);
        if self.released {
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
                    leeway: Micros::ZERO,
                };
            }
            if any {
                m.rooms.set(None);
                self.direct_due.insert(m.name.clone());
            }
        }
        self.placement_due = true;
    }

    /// Claims of jobs that were retired: nothing of them is left.
    pub fn drop_stale_watermarks(&mut self) {
        let jobs = &self.jobs;
        let stale: Vec<String> = self
            .start_watermarks
            .keys()
            .filter(|id| jobs.find(id).is_none())
            .cloned()
            .collect();
        for id in stale {
            self.start_watermarks.remove(&id);
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
        if self.released {
            return;
        }
        let machines = &self.machines;
        let provisioning = &self.provisioning;
        self.unreconciled.retain(|name| {
            let seen = machines
                .get(name)
                .is_some_and(|m| m.reconciled || m.session_over);
            !seen && !provisioning.is_gone(name)
        });
        let lease_over = now - self.started >= self.lease_span();
        if !lease_over && !self.unreconciled.is_empty() {
            return;
        }
        log::info!(
            "earlier jobs are released, {} machines unseen",
            self.unreconciled.len()
        );
        for name in std::mem::take(&mut self.unreconciled) {
            if !self.machines.contains_key(&name) {
                self.provisioning.registry.remove(&name);
                self.prior_term_machines.remove(&name);
            }
        }
        self.released = true;
        self.placement_due = true;
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
        self.placement_due |= permissions.assign && !before.assign;
        let may_record_again = permissions.record && !before.record;
        self.writes_due |= may_record_again;
        may_record_again
    }

    /// Notes whether the process falls behind.
    pub fn note_overload(&mut self, overloaded: bool, now: Moment) {
        self.overloaded = overloaded;
        if overloaded {
            self.overloaded_at = now;
        }
    }

    /// True if the process fell behind within that time.
    pub(crate) fn was_overloaded_within(&self, now: Moment, span: Micros) -> bool {
        self.overloaded || (self.overloaded_at > Moment(0) && now - self.overloaded_at < span)
    }

    /// A machine that an earlier term recorded, and when it existed at the latest.
    pub fn note_unreconciled(&mut self, name: &str, since: Moment) {
        self.unreconciled.insert(name.to_string());
        self.prior_term_machines.insert(name.to_string(), since);
    }

    /// What time alone changes.
    pub fn tick(&mut self, now: Moment) {
        self.expire_leases(now);
        self.check_revocations(now);
        let retry = self.jobs.table.values().any(retry_due(now));
        self.placement_due |= retry;
        self.place_soon(now);
    }
}

fn retry_due(now: Moment) -> impl Fn(&Job) -> bool {
    move |j| j.retry_at > Moment(0) && j.retry_at <= now && j.ready() > 0
}
