//! The record writer: the loop in which the leader writes due records to the key-value store.

use super::write_authority::WriteAuthority;
use super::{AdmissionGate, PendingWrite, pack_transactions, take_affordable};
use crate::controller::{Controller, ControllerState};
use crate::leadership::LeaderLease;
use crate::scheduler::SchedulerState;
use crate::store::token_bucket::TokenBucket;
use crate::store::{StoreError, StorePriority, TransactionOutcome};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Maximum size in JSON bytes of the writes in one transaction. The store accepts 64 KiB in all, including the
/// leader's precondition and the envelope of the transaction.
const TRANSACTION_BYTES: usize = 60 * 1024;
/// Time during which due writes are batched: final states that become due within it share a transaction.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// Number of tokens that accumulate between two writes of newly registered machines.
const TOKENS_PER_REGISTRY_WRITE: f64 = 5.0;
/// Maximum time between two checks whether this controller may write records, while it may not.
const STANDBY_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time to wait while no write is due or affordable.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Maximum time to wait while no write is due or affordable.
const MAX_WAIT: Duration = Duration::from_millis(2000);
/// Pause after a transaction that was not executed.
const NOT_EXECUTED_PAUSE: Micros = Micros::from_millis(200);
/// Pause after a transaction whose outcome is unknown. The next attempt shows whether it was applied: in that case
/// the preconditions of that attempt fail.
const OUTCOME_UNKNOWN_PAUSE: Micros = Micros::from_millis(50);

impl Controller {
    /// Thread body of the record writer: writes records whenever this controller leads. Never returns.
    pub fn record_writer_loop(&self) {
        let mut writer = RecordWriter::new(self);
        loop {
            self.os.sleep(BATCH_DELAY);
            writer.step();
        }
    }
}

/// Next action of the record writer.
enum Step {
    /// Wait until the controller's state changes, at most for this long.
    Wait(Duration),
    /// Raise the fencing token to revoke unconfirmed starts.
    RaiseFencingToken(LeaderLease),
    /// Close or open the admission gate in the store.
    WriteGate {
        authority: WriteAuthority,
        closed: bool,
    },
    /// Write records to the store.
    WriteRecords {
        authority: WriteAuthority,
        writes: Vec<PendingWrite>,
    },
}

/// State of the record writer. One token is spent per change, since the store limits the changes per second.
struct RecordWriter<'a> {
    controller: &'a Controller,
    /// Maximum number of changes in one transaction.
    max_changes: usize,
    /// Write budget in changes per second.
    rate: f64,
    tokens: TokenBucket,
    /// Time between two rounds in which records that nothing waits for are written.
    round_interval: Micros,
    next_round: Moment,
    /// Minimum time between two writes of newly registered machines. Machines come up one by one; the interval lets
    /// them share pages and leaves most of the tokens to start watermarks.
    registry_interval: Micros,
    next_registry_write: Moment,
    /// End of the pause after a failed transaction: no records are written before this moment.
    paused_until: Moment,
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
            round_interval: Micros::from_millis(options.record_round_ms),
            next_round: controller.now(),
            registry_interval: Micros::from_secs_f64(TOKENS_PER_REGISTRY_WRITE / rate),
            next_registry_write: controller.now(),
            paused_until: Moment(0),
            gate: AdmissionGate::default(),
        }
    }

    /// Chooses the next action under the state lock and performs it after releasing the lock.
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
            return Step::Wait(STANDBY_INTERVAL);
        };
        if !scheduler.permissions().record {
            return Step::Wait(STANDBY_INTERVAL);
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
        if writes.is_empty() || now < self.paused_until {
            return Step::Wait(self.time_to_wait(scheduler, now));
        }
        // From here on this controller reports no status from memory for jobs whose final states are in these writes:
        // they may be recorded at any moment, and the status in memory would be older.
        scheduler.mark_sent(&writes);
        let authority = WriteAuthority::of(lease);
        Step::WriteRecords { authority, writes }
    }

    /// The due writes that the available tokens pay for. Writes that something waits for come first: task starts wait
    /// for the machine registry and the start watermarks, users wait for final states.
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
            self.next_round = now + self.round_interval;
            self.collect_round(scheduler, &mut left, &mut writes);
        }
        writes
    }

    /// Adds the writes that nothing waits for.
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
        let mut wait = (self.next_round - now).max(self.paused_until - now);
        if scheduler.has_awaited_writes(self.max_changes) {
            // Wait until there is a token for the smallest write.
            wait = wait.min(Micros::from_secs_f64(1.0 / self.rate));
        }
        wait.duration().clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Writes records in as few transactions as possible. Stops at the first transaction that fails with an error;
    /// the later ones are not sent.
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

    /// Applies the result of a transaction to the controller's state. Returns the error of a transaction that was not
    /// executed or whose outcome is unknown.
    fn apply_result(
        &mut self,
        authority: &WriteAuthority,
        writes: &[PendingWrite],
        result: Result<TransactionOutcome, StoreError>,
    ) -> Result<(), StoreError> {
        let controller = self.controller;
        match result {
            Ok(TransactionOutcome::Committed { revision }) => {
                controller.note_committed(authority.term, writes, revision);
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
                log::debug!(term = authority.term, error:%; "failed to write records");
                self.pause_after(&error, authority, writes);
                Err(error)
            }
        }
    }

    /// Pauses the writing of records after an error, and marks these writes as not written or of unknown outcome.
    fn pause_after(
        &mut self,
        error: &StoreError,
        authority: &WriteAuthority,
        writes: &[PendingWrite],
    ) {
        let now = self.controller.now();
        if matches!(error, StoreError::NotExecuted { .. }) {
            self.paused_until = now + NOT_EXECUTED_PAUSE;
            self.mark_not_written(authority, writes);
        } else {
            self.paused_until = now + OUTCOME_UNKNOWN_PAUSE;
            self.controller.with_scheduler(authority.term, |scheduler| {
                scheduler.mark_outcome_unknown(writes)
            });
        }
    }

    fn mark_not_written(&self, authority: &WriteAuthority, writes: &[PendingWrite]) {
        self.controller.with_scheduler(authority.term, |scheduler| {
            scheduler.mark_not_written(writes)
        });
    }
}
