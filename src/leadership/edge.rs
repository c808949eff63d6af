//! The loop that takes and keeps the lead.

use super::{ElectionOutcome, HINT_KEY, LEADER_KEY, LeaderLease, LeaderRecord, lease_until, take};
use crate::controller::Controller;
use crate::jobs::spec::Submission;
use crate::os::random_pause;
use crate::state_store::{Change, StoreError, Urgency, from_value, to_value};
use crate::time::{Micros, Moment};
use std::time::Duration;

const PAGE: usize = 100;

impl Controller {
    pub(crate) fn pause(&self, low_ms: u64, high_ms: u64) {
        random_pause(&*self.os, low_ms, high_ms);
    }

    pub fn lead_loop(&self) {
        loop {
            match self.store.get(LEADER_KEY, Urgency::LeaderLease) {
                Ok(Some(row)) => self.follow(row.data, row.revision),
                Ok(None) => {
                    self.state().known_leader = None;
                    if !self.may_stand() {
                        continue;
                    }
                    match take(&self.store, &*self.os, &self.settings.node, self.lease_life) {
                        Ok(ElectionOutcome::Taken(lead)) => self.lead(lead),
                        Ok(ElectionOutcome::Lost) => {}
                        Err(e) => {
                            log::debug!("lead not taken: {e}");
                            self.pause(200, 500);
                        }
                    }
                }
                Err(e) => {
                    log::debug!("leader unknown: {e}");
                    self.pause(200, 500);
                }
            }
        }
    }

    /// Waits before standing: whoever workers reach goes first.
    fn may_stand(&self) -> bool {
        let now = self.now();
        let (refused_heartbeats, abstaining) = {
            let state = self.state();
            let recent = |t: &&Moment| now - **t < Micros::from_secs(4);
            let refused_heartbeats = state.refused_heartbeats.iter().filter(recent).count() as u64;
            (refused_heartbeats, state.abstain_until > now)
        };
        if abstaining {
            // Long enough for the others, if there are any, to take it.
            self.pause(1500, 2500);
            return matches!(self.store.get(LEADER_KEY, Urgency::LeaderLease), Ok(None));
        }
        let in_silent_zone = refused_heartbeats == 0
            && matches!(self.store.get(HINT_KEY, Urgency::LeaderLease), Ok(Some(row))
                if from_value::<String>(&row.data).as_ref() == Some(&self.settings.location));
        let wait = match self.campaign_delay(in_silent_zone) {
            Some(wait) => wait.0 / 1000,
            None if in_silent_zone => 50,
            None => 500 / (1 + refused_heartbeats),
        };
        self.pause(wait, wait + 60);
        true
    }

    /// Waits while somebody else leads.
    fn follow(&self, data: ciborium::Value, revision: u64) {
        let record: Option<LeaderRecord> = from_value(&data);
        if let Some(r) = &record
            && r.node == self.settings.node
        {
            // An earlier process of this node: it is dead, so its lease may end now.
            log::info!("ending the lease of an earlier process");
            if self.store.end_lease(r.lease).is_err() {
                self.pause(100, 300);
            }
            return;
        }
        {
            let mut state = self.state();
            if state.known_leader != record {
                log::info!(
                    "leader is {}",
                    record.as_ref().map_or("unknown", |r| r.node.as_str())
                );
            }
            state.newest_term = state.newest_term.max(record.as_ref().map_or(0, |r| r.term));
            state.known_leader = record;
            state.leader_seen = self.now();
        }
        let mut since = revision;
        loop {
            // Short watches: each answer vouches for the leader's name.
            match self.store.changes(LEADER_KEY, since, Micros::from_secs(3)) {
                Ok(changes) if changes.log.is_empty() => {
                    since = changes.revision.max(since);
                    self.state().leader_seen = self.now();
                }
                Ok(_) => return,
                Err(StoreError::TooOld) => return,
                Err(e) => {
                    log::debug!("watch on the leader: {e}");
                    self.pause(200, 500);
                    return;
                }
            }
        }
    }

    fn lead(&self, lead: LeaderLease) {
        log::info!(
            "leading: term={} token={} revision={} lease={}",
            lead.term,
            lead.term,
            lead.revision,
            lead.lease
        );
        let started = self.now();
        let lease = lead.lease;
        {
            let mut state = self.state();
            state.known_leader = Some(LeaderRecord {
                node: self.settings.node.clone(),
                term: lead.term,
                lease,
            });
            state.lead = Some(lead.clone());
            state.scheduler = None;
            state.step_down = false;
            state.newest_term = lead.term;
            state.handover = None;
            state.handover_planner = None;
        }
        let handover_planner = self.new_handover_planner();
        let mut renewed = started;
        let mut scheduler = self.load(&lead, started, &mut renewed);
        if let Some(scheduler) = scheduler.take() {
            log::info!(
                "records read: term={} jobs={} jobs_revision={} machines_unseen={}",
                lead.term,
                scheduler.jobs.table.len(),
                self.state().jobs_revision,
                scheduler.prior_term.unreconciled.len()
            );
            {
                let mut state = self.state();
                state.scheduler = Some(scheduler);
                state.handover_planner = handover_planner;
            }
            self.changed.notify_all();
            self.keep(lease, &mut renewed);
        }
        let silent_zone = {
            let state = self.state();
            let mut zone = None;
            if state.step_down && state.abstain_until > self.now() {
                zone = state
                    .scheduler
                    .as_ref()
                    .and_then(|c| c.silent_zone(self.now()));
            }
            zone
        };
        let handover = self.state().handover.take();
        if let Some(record) = &handover {
            self.hand_over(&lead, record, silent_zone.as_deref());
        } else if let Some(zone) = silent_zone {
            let change = Change::write(HINT_KEY, to_value(&zone));
            let _ = self
                .store
                .transact(&[lead.guard()], &[change], Urgency::LeaderLease);
        }
        {
            let mut state = self.state();
            state.lead = None;
            state.scheduler = None;
            state.known_leader = None;
            state.step_down = false;
        }
        self.changed.notify_all();
        log::info!("lead over: term={}", lead.term);
        // Nobody can lead before the lease has ended, so ending it is worth a few tries.
        for _ in 0..5 {
            if self.store.end_lease(lease).is_ok() {
                break;
            }
            self.pause(50, 100);
        }
        self.pause(300, 600);
    }

    /// Renews once if it is time; false when the lead is lost.
    pub(super) fn renew_if_due(&self, lease: u64, renewed: &mut Moment) -> bool {
        let life = self.lease_life;
        let sent = self.now();
        if sent - *renewed < life.scaled(0.25) {
            return true;
        }
        match self.store.renew_lease(lease, Duration::from_millis(1000)) {
            Ok(()) => {
                *renewed = sent;
                if let Some(lead) = &mut self.state().lead {
                    lead.valid_until = lease_until(sent, life);
                }
                true
            }
            Err(StoreError::NoLease) => false,
            Err(e) => {
                // An outage, or a refusal of this node alone: nobody can tell which. The node
                // stops acting when the lease could have run out, and goes on if it did not.
                log::debug!("lease not renewed: {e}");
                self.pause(150, 300);
                true
            }
        }
    }

    fn keep(&self, lease: u64, renewed: &mut Moment) {
        let wait = self.lease_life.scaled(0.25).duration();
        loop {
            if !self.renew_if_due(lease, renewed) || self.state().step_down {
                return;
            }
            let state = self.state();
            if self.now() - *renewed < Micros::from_millis(100) && !state.step_down {
                drop(state);
                self.os.sleep(wait.min(Duration::from_millis(500)));
            } else {
                drop(state);
                self.os.sleep(Duration::from_millis(100));
            }
        }
    }

    /// Watches for jobs that other nodes accept.
    pub fn jobs_loop(&self) {
        loop {
            let (term, since) = {
                let state = self.state();
                match (&state.lead, &state.scheduler) {
                    (Some(lead), Some(_)) => (lead.term, state.jobs_revision),
                    _ => {
                        self.await_change(state, Duration::from_millis(500));
                        continue;
                    }
                }
            };
            match self.store.changes("jobs/", since, Micros::from_secs(10)) {
                Ok(changes) => {
                    let (now, wall) = (self.now(), self.os.wall());
                    let mut state = self.state();
                    let state = &mut *state;
                    let (Some(lead), Some(scheduler)) = (&state.lead, &mut state.scheduler) else {
                        continue;
                    };
                    if lead.term != term {
                        continue;
                    }
                    state.jobs_revision = changes.revision.max(since);
                    for event in &changes.log {
                        let (Some(_), Some(data)) = (&event.write, &event.data) else {
                            continue;
                        };
                        let Some(s) = from_value::<Submission>(data) else {
                            log::error!("malformed job in the watch");
                            continue;
                        };
                        // A job that is retired already must not come back by a late event.
                        if state.terminal_states.get(&s.id).is_none() {
                            scheduler.add_job(&s, event.revision, now, wall);
                        }
                    }
                    if now < lead.valid_until {
                        scheduler.place_if_due(now);
                        self.wake(scheduler);
                    }
                }
                Err(StoreError::TooOld) => {
                    log::info!("the watch on jobs is too old: reading again");
                    self.reread_jobs(term);
                }
                Err(e) => {
                    log::debug!("watch on jobs: {e}");
                    self.pause(200, 500);
                }
            }
        }
    }

    fn reread_jobs(&self, term: u64) {
        let mut since: Option<String> = None;
        let mut revision = None;
        loop {
            let Ok(page) = self
                .store
                .range("jobs/", since.as_deref(), PAGE, Urgency::Normal)
            else {
                self.pause(200, 500);
                return;
            };
            revision.get_or_insert(page.revision);
            let (now, wall) = (self.now(), self.os.wall());
            let mut state = self.state();
            let state = &mut *state;
            let (Some(lead), Some(scheduler)) = (&state.lead, &mut state.scheduler) else {
                return;
            };
            if lead.term != term {
                return;
            }
            for row in &page.rows {
                since = Some(row.key.clone());
                if let Some(s) = from_value::<Submission>(&row.data)
                    && state.terminal_states.get(&s.id).is_none()
                {
                    scheduler.add_job(&s, row.revision, now, wall);
                }
            }
            if !page.more {
                state.jobs_revision = revision.unwrap_or(state.jobs_revision);
                return;
            }
        }
    }
}
