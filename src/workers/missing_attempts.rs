//! Attempts that a worker's report doesn't list: which have ended, which never started, and which may still start.

use super::command_log::{ReleaseReason, log_release};
use super::reconciliation::ReportSource;
use super::wire::Heartbeat;
use super::{Attempt, AttemptKey, DesiredState};
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use std::collections::BTreeSet;

/// Classification of an attempt that a report doesn't list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MissingAttempt {
    /// The start command may be in flight, or hasn't been sent yet: the attempt is kept.
    Pending,
    /// The attempt has ended, or it never started and should no longer run.
    Over,
    /// The start command was lost with the reply that carried it, and the attempt should still run.
    StartLost,
}

/// Classifies an attempt that the report doesn't list.
///
/// A worker has only one heartbeat in flight. Once it sends a newer one that doesn't list the attempt, it has dropped
/// the reply that carried the start command. The answer to a direct call proves nothing: the worker may have created
/// it while the reply was in transit.
fn classify(attempt: &Attempt, report: &Heartbeat, source: ReportSource) -> MissingAttempt {
    if attempt.delivery.may_arrive() {
        return MissingAttempt::Pending;
    }
    if attempt.status.is_some() {
        return MissingAttempt::Over;
    }
    let is_wanted = attempt.desired == DesiredState::Run;
    let Some(sent_in_reply_to) = attempt.start_sent_in_reply_to else {
        return if is_wanted {
            MissingAttempt::Pending
        } else {
            MissingAttempt::Over
        };
    };
    let was_dropped = source == ReportSource::Heartbeat && sent_in_reply_to < report.position();
    match (was_dropped, is_wanted) {
        (false, _) => MissingAttempt::Pending,
        (true, true) => MissingAttempt::StartLost,
        (true, false) => MissingAttempt::Over,
    }
}

impl SchedulerState {
    /// Drops the machine's attempts of which the report proves that they have ended or will never start. `reported`
    /// contains the keys of the attempts that the report lists.
    pub(super) fn drop_missing_attempts(
        &mut self,
        report: &Heartbeat,
        reported: &BTreeSet<AttemptKey>,
        source: ReportSource,
        now: Moment,
    ) {
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        let mut dropped = Vec::new();
        for (key, attempt) in &machine.attempts {
            if reported.contains(key) {
                continue;
            }
            match classify(attempt, report, source) {
                MissingAttempt::Pending => {}
                MissingAttempt::Over => dropped.push((*key, ReleaseReason::NotInReport)),
                MissingAttempt::StartLost => dropped.push((*key, ReleaseReason::StartLost)),
            }
        }
        for (key, reason) in dropped {
            if reason == ReleaseReason::StartLost {
                machine.note_undelivered(now);
            }
            let Some(attempt) = machine.attempts.remove(&key) else {
                continue;
            };
            log_release(&report.machine, key, reason, now - attempt.placed_at);
            let Some(job) = self.jobs.table.get_mut(&key.job) else {
                continue;
            };
            job.count_running(attempt.is_running(), false);
            if attempt.holds_resources() {
                job.unbind(key.task);
                self.placement.due = true;
            }
        }
    }
}
