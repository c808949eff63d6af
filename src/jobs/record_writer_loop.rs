//! The record writer: the loop that writes what is due to the key-value store.

use super::write_authority::WriteAuthority;
use super::{AdmissionGate, PendingWrite, pack_transactions, take_affordable};
use crate::controller::{Controller, ControllerState};
use crate::leadership::LeaderLease;
use crate::scheduler::SchedulerState;
use crate::store::token_bucket::TokenBucket;
use crate::store::{StoreError, StorePriority, TransactionOutcome};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// JSON bytes that the writes of one transaction may have: the store takes 64 KiB in all, with the
/// leader's precondition and what surrounds them.
const TRANSACTION_BYTES: usize = 60 * 1024;
/// Final states that complete within this long share a transaction.
const GATHER_TIME: Duration = Duration::from_millis(25);
/// New machines are written at most once in the time in which so many tokens come.
const REGISTRY_TOKENS: f64 = 5.0;
/// While this controller doesn't write, it looks again after this long, or when something changes.
const STANDBY_TIME: Duration = Duration::from_millis(500);
/// While nothing is to be written, it looks again after between these times.
const MIN_WAIT: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_millis(2000);
/// Pause after a transaction that the store refused.
const REFUSED_PAUSE: Micros = Micros::from_millis(200);
/// Pause after a transaction without an answer. Whether it was applied shows at the next try: then its
/// preconditions fail.
const UNANSWERED_PAUSE: Micros = Micros::from_millis(50);

impl Controller {
    /// Writes records while this controller leads, for as long as the process lives.
    pub fn record_writer_loop(&self) {
        let mut writer = RecordWriter::new(self);
        loop {
            self.os.sleep(GATHER_TIME);
            writer.step();
        }
    }
}

/// What the loop does next.
enum Step {
    /// Nothing until something changes, or for so long.
    Wait(Duration),
    /// Unconfirmed starts are to be revoked by a higher fencing token.
    RaiseFencingToken(LeaderLease),
    WriteGate {
        authority: WriteAuthority,
        closed: bool,
    },
    WriteRecords {
        authority: WriteAuthority,
        writes: Vec<PendingWrite>,
    },
}

/// What the loop remembers. Tokens stand for changes: the store takes so many in a second.
struct RecordWriter<'a> {
    controller: &'a Controller,
    /// Changes that one transaction may have.
    max_changes: usize,
    /// Changes per second.
    rate: f64,
    tokens: TokenBucket,
    /// Time between two rounds in which everything is written that nobody waits for.
    round: Micros,
    next_round: Moment,
    /// Machines come up one by one: they share pages, and leave most of the tokens to start watermarks.
    registry_interval: Micros,
    next_registry_write: Moment,
    /// No records before this moment.
    not_before: Moment,
    gate: AdmissionGate,
}

impl<'a> RecordWriter<'a> {
    fn new(controller: &'a Controller) -> RecordWriter<'a> {
        let limits = controller.settings.settings.state.strictest();
        let options = &controller.options;
        let rate = limits.write_rps * options.write_budget as f64 / 100.0;
        let burst = rate.max(limits.txn_ops as f64);
        RecordWriter {
            controller,
            max_changes: limits.txn_ops,
            rate,
            tokens: TokenBucket::new(rate, burst, controller.now()),
            round: Micros::from_millis(options.record_round_ms),
            next_round: controller.now(),
            registry_interval: Micros::from_secs_f64(REGISTRY_TOKENS / rate),
            next_registry_write: controller.now(),
            not_before: Moment(0),
            gate: AdmissionGate::default(),
        }
    }

    /// Decides under the lock what is next, and does it without.
    fn step(&mut self) {
        let controller = self.controller;
        let now = controller.now();
        let mut state = controller.state();
        match self.next_step(&mut state, now) {
            Step::Wait(time) => controller.wait_for_change(state, time),
            Step::RaiseFencingToken(lease) => {
                drop(state);
                self.tokens.take_unconditionally(1.0, now);
                controller.raise_fencing_token(&lease);
            }
            Step::WriteGate { authority, closed } => {
                drop(state);
                controller.write_gate(&authority, &mut self.gate, closed);
            }
            Step::WriteRecords { authority, writes } => {
                drop(state);
                self.write_records(&authority, writes);
            }
        }
    }

    fn next_step(&mut self, state: &mut ControllerState, now: Moment) -> Step {
        let Some((lease, scheduler)) = state.acting_leader(now) else {
            return Step::Wait(STANDBY_TIME);
        };
        if !scheduler.permissions().record {
            return Step::Wait(STANDBY_TIME);
        }
        if self.gate.term != lease.term {
            self.gate = AdmissionGate::new(lease.term);
        }
        if scheduler.fencing_token_raise_due(now) && self.tokens.available(now) >= 1.0 {
            return Step::RaiseFencingToken(lease.clone());
        }
        let is_full = scheduler.is_full(self.gate.closed);
        if let Some(closed) = self.gate.next_write(is_full) {
            let authority = WriteAuthority::of(lease);
            return Step::WriteGate { authority, closed };
        }
        let writes = self.collect_due(scheduler, now);
        if writes.is_empty() || now < self.not_before {
            return Step::Wait(self.time_to_wait(scheduler, now));
        }
        // From here on nobody is told anything older than what may be on record soon.
        scheduler.mark_sent(&writes);
        let authority = WriteAuthority::of(lease);
        Step::WriteRecords { authority, writes }
    }

    /// The writes that are due, as far as there are tokens for them. First what somebody waits for: starts
    /// wait for the first two, users for the third.
    fn collect_due(&mut self, scheduler: &SchedulerState, now: Moment) -> Vec<PendingWrite> {
        let mut left = self.tokens.available(now).max(0.0) as usize;
        let mut writes = Vec::new();
        if now >= self.next_registry_write {
            let registry = scheduler.pending_registry_writes(false);
            writes.extend(take_affordable(registry, &mut left));
            if !writes.is_empty() {
                self.next_registry_write = now + self.registry_interval;
            }
        }
        let watermarks = scheduler.pending_watermark_writes();
        writes.extend(take_affordable(watermarks, &mut left));
        let final_states = scheduler.pending_final_writes(self.max_changes);
        writes.extend(take_affordable(final_states, &mut left));
        if now >= self.next_round {
            self.next_round = now + self.round;
            self.collect_round(scheduler, &mut left, &mut writes);
        }
        writes
    }

    /// What nobody waits for.
    fn collect_round(
        &self,
        scheduler: &SchedulerState,
        left: &mut usize,
        writes: &mut Vec<PendingWrite>,
    ) {
        let done_sets = scheduler.pending_done_sets(*left);
        writes.extend(take_affordable(done_sets, left));
        let retirements = scheduler.pending_retirements(*left, self.max_changes);
        writes.extend(take_affordable(retirements, left));
        if !writes.iter().any(PendingWrite::is_registry) {
            let registry = scheduler.pending_registry_writes(true);
            writes.extend(take_affordable(registry, left));
        }
    }

    fn time_to_wait(&self, scheduler: &SchedulerState, now: Moment) -> Duration {
        let mut wait = (self.next_round - now).max(self.not_before - now);
        if scheduler.has_awaited_writes(self.max_changes) {
            // Until there are tokens for the smallest write again.
            wait = wait.min(Micros::from_secs_f64(1.0 / self.rate));
        }
        wait.duration().clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Writes records in as few transactions as possible, up to the first that the store doesn't answer.
    fn write_records(&mut self, authority: &WriteAuthority, writes: Vec<PendingWrite>) {
        let transactions = pack_transactions(writes, self.max_changes, TRANSACTION_BYTES);
        let mut transactions = transactions.into_iter();
        for writes in transactions.by_ref() {
            let result = self.send(authority, &writes);
            if self.apply_result(authority, &writes, result).is_err() {
                break;
            }
        }
        for unsent in transactions {
            self.mark_not_written(authority, &unsent);
        }
        self.controller.state_changed.notify_all();
    }

    fn send(
        &mut self,
        authority: &WriteAuthority,
        writes: &[PendingWrite],
    ) -> Result<TransactionOutcome, StoreError> {
        let mut preconditions = vec![authority.precondition.clone()];
        preconditions.extend(writes.iter().flat_map(|w| w.preconditions.iter().cloned()));
        let changes: Vec<_> = writes.iter().flat_map(|w| w.changes.clone()).collect();
        let controller = self.controller;
        self.tokens
            .take_unconditionally(changes.len() as f64, controller.now());
        controller
            .store
            .transact(&preconditions, &changes, StorePriority::Admitted)
    }

    /// Takes in what came of one transaction; an error if the store refused it or gave no answer.
    fn apply_result(
        &mut self,
        authority: &WriteAuthority,
        writes: &[PendingWrite],
        result: Result<TransactionOutcome, StoreError>,
    ) -> Result<(), StoreError> {
        let controller = self.controller;
        match result {
            Ok(TransactionOutcome::Committed { revision }) => {
                controller.note_written(authority.term, writes, revision);
                Ok(())
            }
            Ok(TransactionOutcome::Conflict { failed })
                if failed.contains(&authority.precondition.key) =>
            {
                controller.lose_leadership(authority.term);
                Ok(())
            }
            Ok(TransactionOutcome::Conflict { failed }) => {
                controller.read_back(authority.term, &failed);
                self.mark_not_written(authority, writes);
                Ok(())
            }
            Err(error) => {
                log::debug!(term = authority.term, error:%; "records not written");
                self.pause_after(&error, authority, writes);
                Err(error)
            }
        }
    }

    /// After an error nothing is written for a while.
    fn pause_after(
        &mut self,
        error: &StoreError,
        authority: &WriteAuthority,
        writes: &[PendingWrite],
    ) {
        let now = self.controller.now();
        if matches!(error, StoreError::NotExecuted { .. }) {
            self.not_before = now + REFUSED_PAUSE;
            self.mark_not_written(authority, writes);
        } else {
            self.not_before = now + UNANSWERED_PAUSE;
            self.controller.with_scheduler(authority.term, |scheduler| {
                scheduler.mark_unanswered(writes)
            });
        }
    }

    fn mark_not_written(&self, authority: &WriteAuthority, writes: &[PendingWrite]) {
        self.controller.with_scheduler(authority.term, |scheduler| {
            scheduler.mark_not_written(writes)
        });
    }
}
