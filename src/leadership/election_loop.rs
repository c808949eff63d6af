//! The thread that follows the leader, and campaigns for election while there is none.

use super::election::{ElectionOutcome, campaign};
use super::leader_record::{LEADER_KEY, LeaderRecord, PREFERRED_ZONE_KEY, PreferredZone};
use crate::controller::Controller;
use crate::store::{KeyValue, StoreError, StorePriority, from_value};
use crate::time::Micros;

/// Longest wait of one watch of the leader key. Each response confirms the current leader, even if nothing has
/// changed.
const LEADER_WATCH_WAIT: Micros = Micros::from_secs(3);
/// Time for which a refused heartbeat counts as evidence that workers reach this controller.
const REFUSED_HEARTBEAT_VALIDITY: Micros = Micros::from_secs(4);
/// Wait before a campaign in the preferred zone, in milliseconds, without jitter.
const PREFERRED_ZONE_WAIT_MS: u64 = 50;
/// Wait before a campaign outside the preferred zone, in milliseconds, without jitter. It is divided by one plus the
/// number of recently refused heartbeats.
const CANDIDACY_WAIT_MS: u64 = 500;
/// Upper bound of the random time added to the wait before a campaign, in milliseconds.
const CANDIDACY_JITTER_MS: u64 = 60;

impl Controller {
    /// Follows the current leader, and campaigns while there is none. After winning an election, runs the whole term
    /// as the leader. Never returns.
    pub(crate) fn election_loop(&self) {
        loop {
            match self.store.get(LEADER_KEY, StorePriority::Leadership) {
                Ok(Some(stored)) => self.follow(&stored),
                Ok(None) => self.stand_for_election(),
                Err(error) => {
                    log::debug!(key = LEADER_KEY, error:%; "failed to read leader record");
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
                log::debug!(error:%; "election campaign failed");
                self.pause_before_retry();
            }
        }
    }

    /// Waits so that controllers which workers can reach campaign first. Returns false if this controller must not
    /// campaign now: its candidacy was paused, and after the wait there is a leader or the store can't be read.
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
            // Long enough for another controller, if one is running, to be elected.
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

    /// Waits until the leader changes. Ends the lease of the record instead if it names this controller.
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

    /// Ends the leader lease of an earlier process of this controller, which can't be running any more.
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
                    log::info!(node = leader.node.as_str(), term = leader.term; "following leader")
                }
                None => log::info!(key = LEADER_KEY; "malformed leader record"),
            }
        }
        let term = record.as_ref().map_or(0, |leader| leader.term);
        state.newest_term = state.newest_term.max(term);
        state.known_leader = record;
        state.leader_confirmed_at = now;
    }

    /// Returns once the leader record has changed after revision `since`, or the store doesn't answer.
    fn watch_leader(&self, mut since: u64) {
        loop {
            match self.store.watch(LEADER_KEY, since, LEADER_WATCH_WAIT) {
                Ok(batch) if batch.events.is_empty() => {
                    since = batch.revision.max(since);
                    self.state().leader_confirmed_at = self.now();
                }
                Ok(_) | Err(StoreError::WatchExpired { .. }) => return,
                Err(error) => {
                    log::debug!(error:%; "leader watch failed");
                    self.pause_before_retry();
                    return;
                }
            }
        }
    }
}
