//! The loop that writes records.

use super::rounds::{WATERMARKS_PREFIX, Write, WriteKind, affordable, pack};
use super::{DoneRecord, FULL_KEY, FinalRecord, JobView};
use crate::controller::{Controller, ControllerState};
use crate::provisioning::REGISTRY_PREFIX;
use crate::scheduler::SchedulerState;
use crate::state_store::bucket::TokenBucket;
use crate::state_store::{Change, Commit, Guard, StoreError, Urgency, from_value, to_value};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// What the writes of one transaction may have: the state service takes 64 KiB in all, with the leader's
/// guard and what surrounds them.
const TRANSACTION_BYTES: usize = 60 * 1024;
/// Final states that complete within this long share a transaction.
const GATHER: Duration = Duration::from_millis(25);
/// New machines are written down at most once in so many tokens' time.
const ROSTER_TOKENS: f64 = 5.0;

/// Whether the record says that no more jobs are accepted.
#[derive(Debug, Default)]
pub struct Fullness {
    pub term: u64,
    pub told: bool,
    /// The key's revision, 0 while it is absent.
    pub revision: u64,
    /// What was written last without an answer. It is written until it is known: the opposite, written
    /// over it, could be undone by it, and no node would accept anything any more.
    pub unconfirmed: Option<bool>,
}

impl Fullness {
    /// What is to be written now, if anything.
    pub fn next(&self, is_full: bool) -> Option<bool> {
        self.unconfirmed
            .or((is_full != self.told).then_some(is_full))
    }

    pub fn known(&mut self, told: bool, revision: u64) {
        if told != self.told {
            log::warn!(
                "{}",
                match told {
                    true => "jobs take all the memory they may: no more are accepted",
                    false => "jobs are accepted again",
                }
            );
        }
        (self.told, self.revision, self.unconfirmed) = (told, revision, None);
    }
}

impl Controller {
    pub fn rounds_loop(&self) {
        let site = self.settings.settings.state.strictest();
        let rate = site.write_rps * self.options.write_budget as f64 / 100.0;
        let round = Micros::from_millis(self.options.record_round_ms);
        let mut tokens = TokenBucket::new(rate, rate.max(site.txn_ops as f64), self.now());
        let mut next_round = self.now();
        let mut not_before = Moment(0);
        // Machines come up one by one: they share pages, and leave most of the tokens to claims.
        let roster_every = Micros::from_secs_f64(ROSTER_TOKENS / rate);
        let mut next_roster = self.now();
        let mut fullness = Fullness::default();
        loop {
            self.os.sleep(GATHER);
            let now = self.now();
            let (writes, guard, term) = {
                let mut state = self.state();
                let Some((lead, scheduler)) = state.acting(now) else {
                    self.await_change(state, Duration::from_millis(500));
                    continue;
                };
                if !scheduler.permissions().record {
                    self.await_change(state, Duration::from_millis(500));
                    continue;
                }
                let guard = lead.guard();
                let (term, lease) = (lead.term, lead.lease);
                if fullness.term != term {
                    fullness = Fullness {
                        term,
                        ..Fullness::default()
                    };
                }
                if scheduler.token_raise_due(now) && tokens.available(now) >= 1.0 {
                    let lead = lead.clone();
                    drop(state);
                    tokens.force(1.0, now);
                    self.raise_fencing_token(&lead);
                    continue;
                }
                let is_full = scheduler.is_full(fullness.told);
                if let Some(target) = fullness.next(is_full) {
                    drop(state);
                    self.tell_full(&guard, lease, &mut fullness, target);
                    continue;
                }
                let mut left = tokens.available(now).max(0.0) as usize;
                let mut writes = Vec::new();
                // First what somebody waits for: starts for the first two, users for the last.
                if now >= next_roster {
                    writes.extend(affordable(
                        scheduler.pending_registry_writes(false),
                        &mut left,
                    ));
                    if !writes.is_empty() {
                        next_roster = now + roster_every;
                    }
                }
                writes.extend(affordable(scheduler.pending_watermark_writes(), &mut left));
                let terminal_states = scheduler.pending_final_writes(site.txn_ops);
                writes.extend(affordable(terminal_states, &mut left));
                if now >= next_round {
                    next_round = now + round;
                    writes.extend(affordable(scheduler.pending_done_sets(left), &mut left));
                    let retired = scheduler.pending_retirements(left, site.txn_ops);
                    writes.extend(affordable(retired, &mut left));
                    if !writes.iter().any(Write::is_registry) {
                        writes.extend(affordable(
                            scheduler.pending_registry_writes(true),
                            &mut left,
                        ));
                    }
                }
                if writes.is_empty() || now < not_before {
                    let mut wait = (next_round - now).max(not_before - now);
                    if scheduler.records_wait(site.txn_ops) {
                        // Until there are tokens for the smallest write again.
                        wait = wait.min(Micros::from_secs_f64(1.0 / rate));
                    }
                    let wait = wait
                        .duration()
                        .clamp(Duration::from_millis(20), Duration::from_millis(2000));
                    self.await_change(state, wait);
                    continue;
                }
                // From here on nobody is told anything older than what may be on record soon.
                scheduler.sending(&writes);
                (writes, guard, term)
            };
            let mut packs = pack(writes, site.txn_ops, TRANSACTION_BYTES).into_iter();
            for pack in packs.by_ref() {
                let mut guards = vec![guard.clone()];
                guards.extend(pack.iter().flat_map(|w| w.guards.iter().cloned()));
                let changes: Vec<_> = pack.iter().flat_map(|w| w.changes.clone()).collect();
                tokens.force(changes.len() as f64, self.now());
                match self.store.transact(&guards, &changes, Urgency::Granted) {
                    Ok(Commit::Done { revision }) => self.note_written(term, &pack, revision),
                    Ok(Commit::Conflict { failed }) => {
                        if failed.contains(&guard.key) {
                            self.lose_lead(term);
                        } else {
                            self.read_back(term, &failed);
                            self.with_scheduler(term, |scheduler| scheduler.not_written(&pack));
                        }
                    }
                    Err(e) => {
                        log::debug!("records not written: {e}");
                        not_before = self.now() + Micros::from_millis(200);
                        if matches!(e, StoreError::Refused(_)) {
                            self.with_scheduler(term, |scheduler| scheduler.not_written(&pack));
                        } else {
                            // Whether it was applied shows at the next try: the guards' revisions fail.
                            not_before = self.now() + Micros::from_millis(50);
                            self.with_scheduler(term, |scheduler| scheduler.unanswered(&pack));
                        }
                        break;
                    }
                }
            }
            // What was not sent after all.
            for pack in packs {
                self.with_scheduler(term, |scheduler| scheduler.not_written(&pack));
            }
            self.changed.notify_all();
        }
    }

    /// A guard on the lead failed: it is somebody else's by now.
    pub(crate) fn lose_lead(&self, term: u64) {
        self.under(term, |state| {
            log::info!("the lead is another's: standing down");
            state.step_down = true;
        });
    }

    /// Writes that no more jobs are to be accepted, or that they are again.
    fn tell_full(&self, guard: &Guard, lease: u64, fullness: &mut Fullness, target: bool) {
        let change = match target {
            true => Change::Write {
                write: FULL_KEY.into(),
                data: to_value(&true),
                lease: Some(lease),
            },
            false => Change::delete(FULL_KEY),
        };
        let guards = [guard.clone(), Guard::new(FULL_KEY, fullness.revision)];
        match self.store.transact(&guards, &[change], Urgency::Granted) {
            Ok(Commit::Done { revision }) => {
                fullness.known(target, if target { revision } else { 0 })
            }
            Ok(Commit::Conflict { failed }) if failed == [FULL_KEY] => {
                // One without an answer was carried out.
                if let Ok(row) = self.store.get(FULL_KEY, Urgency::Normal) {
                    fullness.known(row.is_some(), row.map_or(0, |r| r.revision));
                }
            }
            Ok(Commit::Conflict { .. }) | Err(StoreError::Refused(_)) => {}
            Err(e) => {
                log::debug!("not told whether jobs are accepted: {e}");
                fullness.unconfirmed = Some(target);
            }
        }
    }

    /// Does something with what this node knows as the leader of that term. While an answer was on
    /// its way the lead may have ended and begun anew: in the new term's memory other jobs have the
    /// numbers by which the writes name theirs.
    fn under(&self, term: u64, work: impl FnOnce(&mut ControllerState)) {
        let mut state = self.state();
        if state.scheduler.as_ref().is_some_and(|c| c.term == term) {
            work(&mut state);
        }
    }

    pub(crate) fn with_scheduler(&self, term: u64, work: impl FnOnce(&mut SchedulerState)) {
        self.under(term, |state| {
            if let Some(scheduler) = &mut state.scheduler {
                work(scheduler);
            }
        });
    }

    fn note_written(&self, term: u64, pack: &[Write], revision: u64) {
        self.under(term, |state| self.note_written_in(state, pack, revision));
        self.changed.notify_all();
    }

    fn note_written_in(&self, state: &mut ControllerState, pack: &[Write], revision: u64) {
        let Some(scheduler) = &mut state.scheduler else {
            return;
        };
        for write in pack {
            if let WriteKind::Final(job, outcome) | WriteKind::Retire(job, outcome) = &write.kind
                && let Some(job) = scheduler.jobs.table.get(job)
            {
                let view = JobView::of_final(*outcome, job.spec.tasks);
                state.terminal_states.note(&job.spec.id, view);
            }
            scheduler.written(write, revision);
        }
        scheduler.place_if_due(self.now());
        self.wake(scheduler);
    }

    /// Keys whose revisions were not as expected: an unanswered write of ours was applied.
    fn read_back(&self, term: u64, failed: &[String]) {
        for key in failed {
            if key.starts_with(WATERMARKS_PREFIX) || key.starts_with(REGISTRY_PREFIX) {
                self.read_back_page(term, key);
                continue;
            }
            let Some((id, chunk)) = key
                .strip_prefix("done/")
                .and_then(|rest| rest.split_once('/'))
                .and_then(|(id, c)| Some((id, c.parse::<u32>().ok()?)))
            else {
                log::info!("guard on {key} failed");
                self.read_back_job(term, key);
                continue;
            };
            match self.store.get(key, Urgency::Normal) {
                Ok(Some(row)) => {
                    let record: DoneRecord = from_value(&row.data).unwrap_or_default();
                    self.with_scheduler(term, |c| c.load_done(id, chunk, &record, row.revision));
                }
                Ok(None) => {
                    self.with_scheduler(term, |c| c.done_key_absent(id, chunk));
                    self.read_back_job(term, &super::job_key(id));
                }
                Err(e) => log::debug!("{key} not read back: {e}"),
            }
        }
        self.changed.notify_all();
    }

    /// A page that a write of ours without an answer changed: it is written again over that one,
    /// which can't be applied any more once its revision is known.
    fn read_back_page(&self, term: u64, key: &str) {
        let revision = match self.store.get(key, Urgency::Normal) {
            Ok(row) => row.map_or(0, |r| r.revision),
            Err(e) => {
                log::debug!("{key} not read back: {e}");
                return;
            }
        };
        if let Some((prefix, number)) = key.split_once('/')
            && let Ok(number) = number.parse()
        {
            self.with_scheduler(term, |scheduler| match prefix {
                "claims" => scheduler
                    .jobs
                    .start_watermarks
                    .set_revision(number, revision),
                _ => scheduler
                    .provisioning
                    .registry
                    .set_revision(number, revision),
            });
        }
    }

    /// A job whose retirement was applied without an answer is gone from `jobs/`.
    pub fn read_back_job(&self, term: u64, key: &str) {
        let Some(id) = key.strip_prefix("jobs/") else {
            return;
        };
        let Ok(None) = self.store.get(key, Urgency::Normal) else {
            return;
        };
        let Ok(Some(row)) = self.store.get(&super::final_key(id), Urgency::Normal) else {
            return;
        };
        let Some(record) = from_value::<FinalRecord>(&row.data) else {
            log::error!("malformed record {}", row.key);
            return;
        };
        let view = JobView::of_final(record.state, record.tasks);
        self.state().terminal_states.note(id, view);
        self.with_scheduler(term, |scheduler| {
            if let Some(job) = scheduler.jobs.find(id) {
                scheduler.finish(job, record.state);
                scheduler.forget_job(id);
            }
        });
    }
}
