//! One term of this controller as the leader: from winning the election, through lease renewals, to the end of the
//! lease.

use super::leader_lease::{LeaderLease, lease_valid_until};
use super::leader_record::{LeaderRecord, PREFERRED_ZONE_KEY, PreferredZone};
use crate::controller::Controller;
use crate::scheduler::SchedulerState;
use crate::store::{Change, StoreError, StorePriority, to_value};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Fraction of the lease duration after which the lease is renewed.
const RENEWAL_FRACTION: f64 = 0.25;
/// Timeout of one renewal request; after it the renewal is retried.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Age below which the last renewal counts as recent. The next check then comes after [`MAX_RENEWAL_WAIT`] or the
/// renewal interval, whichever is shorter.
const RECENT_RENEWAL: Micros = Micros::from_millis(100);
/// Time between two checks whether the lease is due for renewal, unless it was renewed recently.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time until the next check after a recent renewal.
const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of requests to end the lease at the end of the term. No other controller can be elected before the
/// lease has ended.
const MAX_END_LEASE_ATTEMPTS: usize = 5;

/// Renewal state of the leader lease.
pub(super) struct LeaseRenewal {
    lease_id: u64,
    /// Upper bound of the time at which the last successful renewal, or else the grant, was requested.
    renewed_at: Moment,
}

/// Status of the leader lease after an attempt to renew it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseStatus {
    /// The store has not reported the lease as expired.
    Held,
    /// The lease has expired or was ended.
    Lost,
}

impl Controller {
    /// Runs one term: leads until the lease is lost or a step-down is requested, then writes a preference for the
    /// next leader to the store and ends the lease.
    pub(super) fn lead_term(&self, leader_lease: LeaderLease) {
        log::info!(
            term = leader_lease.term, fencing_token = leader_lease.term,
            revision = leader_lease.revision, lease_id = leader_lease.lease_id;
            "elected as leader"
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
        let renewal_interval = self
            .leader_lease_duration
            .scaled(RENEWAL_FRACTION)
            .duration();
        loop {
            if self.renew_if_due(renewal) == LeaseStatus::Lost || self.state().step_down_requested {
                return;
            }
            let step_down_requested = self.state().step_down_requested;
            let recently_renewed = self.now() - renewal.renewed_at < RECENT_RENEWAL;
            self.os.sleep(if recently_renewed && !step_down_requested {
                renewal_interval.min(MAX_RENEWAL_WAIT)
            } else {
                RENEWAL_CHECK_INTERVAL
            });
        }
    }

    /// Makes one attempt to renew the lease if a renewal is due.
    pub(super) fn renew_if_due(&self, renewal: &mut LeaseRenewal) -> LeaseStatus {
        let duration = self.leader_lease_duration;
        let requested_at = self.now();
        if requested_at - renewal.renewed_at < duration.scaled(RENEWAL_FRACTION) {
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
                // Either the store is down or it refuses only this controller; the two can't be distinguished.
                // The controller stops acting once the lease may have expired, and continues if a later renewal
                // shows that it has not.
                log::debug!(lease_id = renewal.lease_id, error:%; "failed to renew leader lease");
                self.pause(150, 300);
                LeaseStatus::Held
            }
        }
    }

    /// Writes to the store which controller should be elected next: the preferred peer after a handover, otherwise
    /// any controller in the zone whose workers' heartbeats did not reach this leader.
    fn prepare_next_election(&self, leader_lease: &LeaderLease) {
        let silent_zone = self.silent_zone_of_step_down();
        let handover = self.state().handover.take();
        if let Some(record) = &handover {
            self.hand_over(leader_lease, record, silent_zone.as_deref());
        } else if let Some(zone) = silent_zone {
            let change = Change::write(PREFERRED_ZONE_KEY, to_value(&PreferredZone(zone)));
            let preconditions = [leader_lease.precondition()];
            // An optimization: without this record the next leader may have to step down for the same reason.
            let _ = self
                .store
                .transact(&preconditions, &[change], StorePriority::Leadership);
        }
    }

    /// Zone whose workers are silent, if silent workers are the reason for this step-down.
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
        log::info!(term = leader_lease.term; "term ended");
        for _ in 0..MAX_END_LEASE_ATTEMPTS {
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
