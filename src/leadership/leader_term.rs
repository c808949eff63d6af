//! One term as the leader, from the election to the end of the lease.

use super::leader_lease::{LeaderLease, lease_valid_until};
use super::leader_record::{LeaderRecord, PREFERRED_ZONE_KEY, PreferredZone};
use crate::controller::Controller;
use crate::scheduler::SchedulerState;
use crate::store::{Change, StoreError, StorePriority, to_value};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// The share of its duration after which a lease is renewed.
const RENEWAL_SHARE: f64 = 0.25;
/// How long one renewal may take. Then the next one is tried.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// A renewal that is this recent needs no watching.
const JUST_RENEWED: Micros = Micros::from_millis(100);
/// How often it is looked whether the lease has to be renewed, and the longest wait after a renewal.
const RENEWAL_CHECK: Duration = Duration::from_millis(100);
const LONGEST_RENEWAL_WAIT: Duration = Duration::from_millis(500);
/// How often it is tried to end the lease: nobody else can lead before.
const END_LEASE_TRIES: usize = 5;

/// The renewals of the leader lease.
pub(super) struct LeaseRenewal {
    lease_id: u64,
    /// When the last successful renewal, or the grant, was requested at the latest.
    renewed_at: Moment,
}

/// What is known of the leader lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseStatus {
    /// It lives, for all that is known.
    Held,
    /// It has expired or was ended.
    Lost,
}

impl Controller {
    /// Leads until the lease is lost or a step-down is requested, and leaves what the next leader needs.
    pub(super) fn lead_term(&self, leader_lease: LeaderLease) {
        log::info!(
            term = leader_lease.term, fencing_token = leader_lease.term,
            revision = leader_lease.revision, lease_id = leader_lease.lease_id;
            "elected"
        );
        let elected_at = self.now();
        self.begin_term(&leader_lease);
        let handover_planner = self.new_handover_planner();
        let mut renewal = LeaseRenewal {
            lease_id: leader_lease.lease_id,
            renewed_at: elected_at,
        };
        if let Some(scheduler) = self.read_stored_state(&leader_lease, elected_at, &mut renewal) {
            log_stored_state(&scheduler, self.state().jobs_revision);
            {
                let mut state = self.state();
                state.scheduler = Some(scheduler);
                state.handover_planner = handover_planner;
            }
            self.state_changed.notify_all();
            self.keep_lease(&mut renewal);
        }
        self.prepare_next_election(&leader_lease);
        self.end_term(&leader_lease);
    }

    fn begin_term(&self, leader_lease: &LeaderLease) {
        let mut state = self.state();
        state.known_leader = Some(LeaderRecord {
            node: self.settings.node.clone(),
            term: leader_lease.term,
            lease_id: leader_lease.lease_id,
        });
        state.leader_lease = Some(leader_lease.clone());
        state.scheduler = None;
        state.step_down_requested = false;
        state.newest_term = leader_lease.term;
        state.handover = None;
        state.handover_planner = None;
    }

    /// Renews the lease until it is lost or a step-down is requested.
    fn keep_lease(&self, renewal: &mut LeaseRenewal) {
        let renewal_interval = self.leader_lease_duration.scaled(RENEWAL_SHARE).duration();
        loop {
            if self.renew_if_due(renewal) == LeaseStatus::Lost || self.state().step_down_requested {
                return;
            }
            let step_down_requested = self.state().step_down_requested;
            let just_renewed = self.now() - renewal.renewed_at < JUST_RENEWED;
            self.os.sleep(if just_renewed && !step_down_requested {
                renewal_interval.min(LONGEST_RENEWAL_WAIT)
            } else {
                RENEWAL_CHECK
            });
        }
    }

    /// Tries once to renew the lease if it is time to.
    pub(super) fn renew_if_due(&self, renewal: &mut LeaseRenewal) -> LeaseStatus {
        let duration = self.leader_lease_duration;
        let requested_at = self.now();
        if requested_at - renewal.renewed_at < duration.scaled(RENEWAL_SHARE) {
            return LeaseStatus::Held;
        }
        match self.store.renew_lease(renewal.lease_id, RENEWAL_TIMEOUT) {
            Ok(()) => {
                renewal.renewed_at = requested_at;
                if let Some(leader_lease) = &mut self.state().leader_lease {
                    leader_lease.valid_until = lease_valid_until(requested_at, duration);
                }
                LeaseStatus::Held
            }
            Err(StoreError::LeaseExpired) => LeaseStatus::Lost,
            Err(error) => {
                // The store is down, or refuses this controller alone, which can't be told apart. The
                // controller stops acting when the lease may have expired, and goes on if it has not.
                log::debug!(lease_id = renewal.lease_id, error:%; "leader lease not renewed");
                self.pause(150, 300);
                LeaseStatus::Held
            }
        }
    }

    /// Leaves in the store who should lead next: a named peer after a handover, else the zone of the workers
    /// that this leader did not hear.
    fn prepare_next_election(&self, leader_lease: &LeaderLease) {
        let silent_zone = self.silent_zone_of_step_down();
        let handover = self.state().handover.take();
        if let Some(record) = &handover {
            self.hand_over(leader_lease, record, silent_zone.as_deref());
        } else if let Some(zone) = silent_zone {
            let change = Change::write(PREFERRED_ZONE_KEY, to_value(&PreferredZone(zone)));
            let preconditions = [leader_lease.precondition()];
            // It only saves time: without it the next leader may have to step down as well.
            let _ = self
                .store
                .transact(&preconditions, &[change], StorePriority::Leadership);
        }
    }

    /// The zone whose workers are silent, if that is why this leader steps down.
    fn silent_zone_of_step_down(&self) -> Option<String> {
        let state = self.state();
        let now = self.now();
        if !state.step_down_requested || state.candidacy_paused_until <= now {
            return None;
        }
        let scheduler = state.scheduler.as_ref()?;
        scheduler.silent_zone(now)
    }

    fn end_term(&self, leader_lease: &LeaderLease) {
        {
            let mut state = self.state();
            state.leader_lease = None;
            state.scheduler = None;
            state.known_leader = None;
            state.step_down_requested = false;
        }
        self.state_changed.notify_all();
        log::info!(term = leader_lease.term; "term over");
        for _ in 0..END_LEASE_TRIES {
            if self.store.end_lease(leader_lease.lease_id).is_ok() {
                break;
            }
            self.pause(50, 100);
        }
        self.pause(300, 600);
    }
}

fn log_stored_state(scheduler: &SchedulerState, jobs_revision: u64) {
    log::info!(
        term = scheduler.term, jobs = scheduler.jobs.table.len(), jobs_revision,
        machines_unreconciled = scheduler.prior_term.unreconciled.len();
        "stored state read"
    );
}
