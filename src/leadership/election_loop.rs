//! The thread that follows a leader, and campaigns when there is none.

use super::election::{ElectionOutcome, campaign};
use super::leader_record::{LEADER_KEY, LeaderRecord, PREFERRED_ZONE_KEY, PreferredZone};
use crate::controller::Controller;
use crate::store::{KeyValue, StoreError, StorePriority, from_value};
use crate::time::Micros;

/// How long one watch of the leader's key lasts: each answer confirms who leads, also if nothing has changed.
const LEADER_WATCH_WAIT: Micros = Micros::from_secs(3);
/// Refused heartbeats count as a sign that workers reach this controller for this long.
const REFUSED_HEARTBEAT_VALIDITY: Micros = Micros::from_secs(4);
/// The wait before a campaign, in milliseconds: in the preferred zone, and elsewhere, where it becomes shorter with
/// each refused heartbeat. Up to [`CANDIDACY_JITTER_MS`] are added.
const PREFERRED_ZONE_WAIT_MS: u64 = 50;
const CANDIDACY_WAIT_MS: u64 = 500;
const CANDIDACY_JITTER_MS: u64 = 60;

impl Controller {
    /// Follows whoever leads, and campaigns when nobody does; a won campaign is followed by the whole term as
    /// the leader. Never returns.
    pub(crate) fn election_loop(&self) {
        loop {
            match self.store.get(LEADER_KEY, StorePriority::Leadership) {
                Ok(Some(stored)) => self.follow(&stored),
                Ok(None) => self.stand_for_election(),
                Err(error) => {
                    log::debug!(error:%; "leader unknown");
                    self.pause_before_retry();
                }
            }
        }
    }

    fn stand_for_election(&self) {
        self.state().known_leader = None;
        if !self.wait_for_candidacy() {
            return;
        }
        let node = &self.settings.node;
        match campaign(&self.store, &*self.os, node, self.leader_lease_duration) {
            Ok(ElectionOutcome::Won(leader_lease)) => self.lead_term(leader_lease),
            Ok(ElectionOutcome::Lost) => {}
            Err(error) => {
                log::debug!(error:%; "campaign failed");
                self.pause_before_retry();
            }
        }
    }

    /// Lets the controllers that workers reach campaign first. False if this one may not campaign now.
    fn wait_for_candidacy(&self) -> bool {
        let now = self.now();
        let (refused_heartbeats, is_paused) = {
            let state = self.state();
            let recent = state
                .refused_heartbeats
                .iter()
                .filter(|at| now - **at < REFUSED_HEARTBEAT_VALIDITY);
            (recent.count() as u64, state.candidacy_paused_until > now)
        };
        if is_paused {
            // Time enough for the other controllers, if there are any, to be elected.
            self.pause(1500, 2500);
            let leader = self.store.get(LEADER_KEY, StorePriority::Leadership);
            return matches!(leader, Ok(None));
        }
        let in_preferred_zone = refused_heartbeats == 0 && self.is_in_preferred_zone();
        let wait_ms = match self.campaign_delay(in_preferred_zone) {
            Some(wait) => wait.0 / 1000,
            None if in_preferred_zone => PREFERRED_ZONE_WAIT_MS,
            None => CANDIDACY_WAIT_MS / (1 + refused_heartbeats),
        };
        self.pause(wait_ms, wait_ms + CANDIDACY_JITTER_MS);
        true
    }

    fn is_in_preferred_zone(&self) -> bool {
        let stored = self
            .store
            .get(PREFERRED_ZONE_KEY, StorePriority::Leadership);
        let Ok(Some(stored)) = stored else {
            return false;
        };
        from_value(&stored.data) == Some(PreferredZone(self.settings.location.clone()))
    }

    /// Waits until the leader changes.
    fn follow(&self, stored: &KeyValue) {
        let record: Option<LeaderRecord> = from_value(&stored.data);
        if let Some(own) = &record
            && own.node == self.settings.node
        {
            self.end_lease_of_earlier_process(own);
            return;
        }
        self.note_leader(record);
        self.watch_leader(stored.revision);
    }

    /// An earlier process of this controller is dead, so its lease may end now.
    fn end_lease_of_earlier_process(&self, own: &LeaderRecord) {
        log::info!(term = own.term, lease_id = own.lease_id; "ending the leader lease of an earlier process");
        if self.store.end_lease(own.lease_id).is_err() {
            self.pause(100, 300);
        }
    }

    fn note_leader(&self, record: Option<LeaderRecord>) {
        let now = self.now();
        let mut state = self.state();
        if state.known_leader != record {
            match &record {
                Some(leader) => {
                    log::info!(node = leader.node.as_str(), term = leader.term; "leader known")
                }
                None => log::info!("leader record malformed"),
            }
        }
        let term = record.as_ref().map_or(0, |leader| leader.term);
        state.newest_term = state.newest_term.max(term);
        state.known_leader = record;
        state.leader_confirmed_at = now;
    }

    /// Returns when the leader's record has changed since the revision, or the store doesn't answer.
    fn watch_leader(&self, mut since: u64) {
        loop {
            match self.store.watch(LEADER_KEY, since, LEADER_WATCH_WAIT) {
                Ok(batch) if batch.events.is_empty() => {
                    since = batch.revision.max(since);
                    self.state().leader_confirmed_at = self.now();
                }
                Ok(_) | Err(StoreError::WatchExpired { .. }) => return,
                Err(error) => {
                    log::debug!(error:%; "watch of the leader failed");
                    self.pause_before_retry();
                    return;
                }
            }
        }
    }
}
