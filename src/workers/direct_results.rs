//! Processing of the results of direct calls.

use super::command_log::{log_call_result, log_unconfirmed_start};
use super::delivery_status::{DeliveryStatus, UnconfirmedStart};
use super::reconciliation::ReportSource;
use super::wire::Heartbeat;
use super::{AttemptKey, DirectCall, DirectResult, Machine};
use crate::scheduler::SchedulerState;
use crate::time::Moment;

impl SchedulerState {
    /// Applies the result of a direct call. An answer doesn't renew the machine's lease.
    pub fn direct_call_finished(&mut self, call: &DirectCall, result: DirectResult, now: Moment) {
        self.commands.call_ended(call.began_at);
        log_call_result(call, &result, now - call.began_at);
        let Some(machine) = self.machines.get_mut(&call.machine) else {
            return;
        };
        let is_undelivered = result.is_undelivered();
        let delivery = update_start_delivery(machine, call, &result);
        if is_undelivered && !machine.unreachable && !call.probe {
            machine.note_undelivered(now);
        }
        let is_answered = matches!(result, DirectResult::Answered(_));
        if let DirectResult::Answered(report) = result {
            self.apply_answer(call, &report, now);
        }
        self.note_delivery(call, delivery, now);
        if is_undelivered {
            self.drop_unsent(&call.machine);
        } else if is_answered && !call.probe {
            // Commands that became due during the call are sent in the next one. Without an answer they wait for a
            // heartbeat: otherwise a machine that refuses connections would be called in an endless loop.
            self.commands.due.insert(call.machine.clone());
        }
    }

    /// Applies the report in the answer to a call.
    fn apply_answer(&mut self, call: &DirectCall, report: &Heartbeat, now: Moment) {
        let Some(machine) = self.machines.get_mut(&call.machine) else {
            return;
        };
        if call.is_answered_by(report) && report.agent_epoch == machine.agent_epoch() {
            // The answer proves that commands reach the machine, so its quarantine ends.
            self.placement.due |= machine.quarantine.take().is_some();
        }
        if report.machine == call.machine
            && report.fencing_token <= self.fencing.newest()
            && !machine.unreachable
            && report.position() > machine.reconciled_position
        {
            self.reconcile(report, ReportSource::DirectCall, now);
            self.place_if_due(now);
        }
    }

    /// Drops the attempts whose start commands were never sent, on a machine that can't be reached. Their tasks may
    /// start on other machines at once, rather than after the machine's lease has expired. This is safe because
    /// an abandoned connection attempt never completes.
    fn drop_unsent(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.free_resources.set(None);
        let unsent: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.status.is_none() && attempt.was_never_sent())
            .filter(|(_, attempt)| attempt.holds_resources())
            .map(|(key, _)| *key)
            .collect();
        self.drop_never_sent(name, unsent);
    }

    /// Counts calls with start commands, and requests the revocation of unconfirmed starts.
    fn note_delivery(&mut self, call: &DirectCall, delivery: DeliveryStatus, now: Moment) {
        if call.starts.is_empty() {
            return;
        }
        self.fencing.counters.calls += 1;
        if !delivery.may_arrive() {
            return;
        }
        self.fencing.counters.unconfirmed_starts += call.starts.len() as u64;
        self.fencing
            .note_unconfirmed(&call.machine, call.fencing_token);
        // Wakes the record writer, which raises the fencing token.
        self.writes_due = true;
        for key in &call.starts {
            log_unconfirmed_start(call, *key, now - call.began_at);
        }
    }
}

/// Updates the delivery status of the call's start commands, and returns it.
fn update_start_delivery(
    machine: &mut Machine,
    call: &DirectCall,
    result: &DirectResult,
) -> DeliveryStatus {
    machine.call_in_flight = false;
    let delivery = match result {
        DirectResult::OutcomeUnknown => DeliveryStatus::Unconfirmed(UnconfirmedStart {
            fencing_token: call.fencing_token,
            since: call.began_at,
        }),
        DirectResult::Answered(_) => DeliveryStatus::Answered(call.fencing_token),
        DirectResult::NotSent | DirectResult::Unreachable => DeliveryStatus::Settled,
    };
    let delivery = delivery.after_call(machine.seen_fencing_token);
    for key in &call.starts {
        if let Some(attempt) = machine.attempts.get_mut(key) {
            attempt.delivery = delivery;
        }
    }
    delivery
}
