//! Attempts that a report doesn't show: which never began, which are gone, and which may yet begin.

use super::command_log::log_release;
use super::wire::Heartbeat;
use super::{Attempt, AttemptKey, DesiredState};
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use std::collections::BTreeSet;

/// What a report tells of an attempt by not showing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// Nothing: its start may be on its way, or is still to be sent.
    Open,
    /// It is gone, or never began and isn't wanted any more.
    Over,
    /// Its start was lost with the answer that carried it, and is still wanted.
    Lost,
}

/// A worker has one heartbeat in flight: once it sends a newer one that doesn't show the start, the answer
/// that held the start was dropped. The answer of a direct call proves nothing: it may have been made while
/// the heartbeat's answer was on its way.
fn absence_of(attempt: &Attempt, report: &Heartbeat, by_heartbeat: bool) -> Absence {
    if attempt.delivery.may_arrive() {
        return Absence::Open;
    }
    let is_wanted = attempt.desired == DesiredState::Run;
    if attempt.status.is_some() {
        return Absence::Over;
    }
    let Some(sent) = attempt.sent else {
        return if is_wanted {
            Absence::Open
        } else {
            Absence::Over
        };
    };
    let answer_was_dropped = by_heartbeat && sent < (report.agent_epoch, report.sequence);
    match (answer_was_dropped, is_wanted) {
        (false, _) => Absence::Open,
        (true, true) => Absence::Lost,
        (true, false) => Absence::Over,
    }
}

impl SchedulerState {
    /// Lets go of the machine's attempts that the report proves not to be there, and not to come.
    pub(super) fn drop_absent(
        &mut self,
        report: &Heartbeat,
        shown: &BTreeSet<AttemptKey>,
        by_heartbeat: bool,
        now: Moment,
    ) {
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        let mut dropped = Vec::new();
        for (key, attempt) in &machine.attempts {
            if shown.contains(key) {
                continue;
            }
            let absence = absence_of(attempt, report, by_heartbeat);
            if absence != Absence::Open {
                dropped.push((*key, absence));
            }
        }
        for (key, absence) in dropped {
            if absence == Absence::Lost {
                machine.note_undelivered(now);
            }
            let Some(attempt) = machine.attempts.remove(&key) else {
                continue;
            };
            let why = match absence {
                Absence::Lost => "start_lost_with_its_answer",
                _ => "not_in_report",
            };
            log_release(
                &report.machine,
                key.task,
                key.attempt,
                why,
                attempt.placed_at,
                now,
            );
            if attempt.holds_resources()
                && let Some(job) = self.jobs.table.get_mut(&key.job)
            {
                job.unbind(key.task);
                self.placement.due = true;
            }
        }
    }
}
