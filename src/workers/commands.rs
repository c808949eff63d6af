//! The orders for one machine: the difference between what is wanted and what it reports.

use super::DesiredState;
use super::wire::{CommandKind, TaskStatus, WorkerCommand};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

/// At most this many orders go into one answer: it must stay below 64 KiB.
pub(super) const MAX_COMMANDS: usize = 300;

impl SchedulerState {
    /// The orders for one machine: the difference between wanted and reported.
    pub(super) fn commands(&mut self, name: &str, now: Moment) -> Vec<WorkerCommand> {
        let may_release = self.permissions().release;
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        let orphans = machine.orphans.iter();
        for orphan in orphans.filter(|orphan| may_release || !orphan.exited) {
            commands.push(WorkerCommand {
                kind: if orphan.exited {
                    CommandKind::Clear
                } else {
                    CommandKind::Stop
                },
                task_id: orphan.task_id.clone(),
                attempt: orphan.attempt,
                grace_period_s: (!orphan.exited).then_some(0.0),
            });
        }
        machine.rooms.set(None);
        // Answers that may not arrive carry no starts.
        let is_suspected = machine.suspicion.is_some();
        let here = (machine.agent_epoch, machine.sequence);
        let mut starts = Vec::new();
        let mut dropped = Vec::new();
        for (key, attempt) in &mut machine.attempts {
            let Some(job) = self.jobs.table.get(&key.0) else {
                continue;
            };
            match (attempt.status, attempt.desired) {
                // The worker's memory is the second copy of an outcome until it is recorded.
                (Some(TaskStatus::Exited), _) if attempt.delivery.may_arrive() => {}
                (Some(TaskStatus::Exited), _) if !may_release => {}
                (Some(TaskStatus::Exited), _)
                    if !attempt.done || job.recorded.contains(key.1) || job.outcome.is_some() =>
                {
                    commands.push(attempt.command(job, *key, CommandKind::Clear));
                }
                (Some(TaskStatus::Exited), _) => {}
                (Some(TaskStatus::Flushing), DesiredState::Stop { grace_period }) => {
                    let overdue = attempt
                        .stop_sent
                        .is_some_and(|t| now - t > grace_period + Micros::from_secs(5));
                    if grace_period == Micros::ZERO || overdue {
                        let stop = attempt.command(job, *key, CommandKind::Stop);
                        commands.push(WorkerCommand {
                            grace_period_s: Some(0.0),
                            ..stop
                        });
                    }
                }
                (Some(_), DesiredState::Stop { .. }) => {
                    attempt.stop_sent.get_or_insert(now);
                    commands.push(attempt.command(job, *key, CommandKind::Stop));
                }
                (None, DesiredState::Run) => {
                    if job.is_closed() {
                        if attempt.sent.is_none() && !attempt.delivery.may_arrive() {
                            dropped.push(*key);
                        } else {
                            attempt.desired = DesiredState::Stop {
                                grace_period: Micros::ZERO,
                            };
                        }
                        continue;
                    }
                    if is_suspected && attempt.sent.is_none() && !attempt.delivery.may_arrive() {
                        // It was never sent: it can start elsewhere.
                        dropped.push(*key);
                        continue;
                    }
                    if key.1 >= job.start_watermark || !machine.recorded {
                        continue;
                    }
                    attempt.sent = Some(here);
                    starts.push(attempt.command(job, *key, CommandKind::Run));
                }
                (None, DesiredState::Stop { .. })
                    if attempt.sent.is_none() && !attempt.delivery.may_arrive() =>
                {
                    dropped.push(*key);
                }
                _ => {}
            }
        }
        for key in dropped {
            machine.attempts.remove(&key);
            if let Some(job) = self.jobs.table.get_mut(&key.0) {
                job.unbind(key.1);
                self.placement.due = true;
            }
        }
        commands.extend(starts);
        commands.truncate(MAX_COMMANDS);
        commands
    }
}
