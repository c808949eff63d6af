//! What a report proves: which attempts a machine holds, which ended, and which never began.

use super::wire::{Cause, Report, TaskStatus};
use super::{Attempt, AttemptKey, DesiredState, Orphan};
use crate::cluster::Cluster;
use crate::invariants::{self, Invariant};
use crate::time::{Micros, Moment};
use std::collections::BTreeSet;

/// A start that is stopped sooner doesn't count as one.
const COUNTS_AFTER: Micros = Micros::from_secs(30);

impl Cluster {
    /// Takes in a report that is newer than what is known. `checked_in`: it came as a heartbeat,
    /// not as the answer of a direct call.
    pub(super) fn take_in(&mut self, report: &Report, by_heartbeat: bool, now: Moment) {
        let Some(machine) = self.machines.get(&report.machine) else {
            return;
        };
        let new_session = report.session > machine.session && machine.session > 0;
        if new_session {
            self.end_session(&report.machine);
        }
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        if new_session {
            // It may have been away. It may also hear nothing of what is answered.
            machine.note_loss(now);
        }
        machine.session = report.session;
        machine.tick = report.tick;
        machine.lost = false;
        if machine.last_report.is_none() {
            machine.known_since = now;
        }
        machine.last_report = Some(now);
        machine.addr.clone_from(&report.addr);
        machine.type_name.clone_from(&report.type_name);
        machine.zone.clone_from(&report.zone);
        machine.spot = report.spot;
        machine.total = self.fleet.room_of(&report.type_name);
        machine.recalled = report.recall.is_some();
        machine.recall_at = report.recall.map(|s| now + Micros::from_secs_f64(s.0));
        machine.seen_token = machine.seen_token.max(report.token);
        if !machine.counted_in && report.token >= self.term {
            machine.counted_in = true;
            log::debug!("machine {} counted in", machine.name);
            self.dirty = true;
        }
        self.settle_doubts(&report.machine, now);
        self.apply_tasks(report, by_heartbeat, now);
        self.drain_recalled(&report.machine, now);
    }

    /// Stops what can't finish before the cloud takes the machine: elsewhere it can start at
    /// once, instead of when the loss of the machine is certain.
    fn drain_recalled(&mut self, name: &str, now: Moment) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let Some(recall_at) = machine.recall_at else {
            return;
        };
        let doomed: Vec<AttemptKey> = machine
            .attempts
            .iter()
            .filter(|(_, a)| a.holds() && a.desired == DesiredState::Run)
            .filter(|(k, a)| {
                let run = self
                    .jobs
                    .table
                    .get(&k.0)
                    .map_or(Micros::ZERO, |j| self.expected_run(j));
                a.running_since.unwrap_or(now) + run > recall_at
            })
            .map(|(k, _)| *k)
            .collect();
        for key in doomed {
            self.stop_attempt(name, key);
        }
    }

    fn apply_tasks(&mut self, report: &Report, by_heartbeat: bool, now: Moment) {
        let name = &report.machine;
        let is_known = self.machines.get(name).is_some_and(|m| m.known_since < now);
        let cache_gb = self.fleet.cache_of(&report.type_name);
        let mut shown = BTreeSet::new();
        let mut orphans = Vec::new();
        let mut finished = Vec::new();
        for task in &report.tasks {
            let job_id = task
                .parts()
                .and_then(|(id, n)| Some((self.jobs.find(id)?, n)));
            let Some((job_id, number)) = job_id else {
                if is_known && task.status != TaskStatus::Exited && task.attempt >> 32 == self.term
                {
                    // This leader decided on it, and let its job go since nothing of it could be left.
                    invariants::violated(
                        Invariant::ReleasedWithoutProof,
                        format_args!(
                            "machine={name} task={} attempt={}",
                            task.piece, task.attempt
                        ),
                    );
                }
                orphans.push(Orphan {
                    piece: task.piece.clone(),
                    attempt: task.attempt,
                    exited: task.status == TaskStatus::Exited,
                });
                continue;
            };
            let (Some(job), Some(machine)) = (
                self.jobs.table.get_mut(&job_id),
                self.machines.get_mut(name),
            ) else {
                continue;
            };
            let key = (job_id, number, task.attempt);
            shown.insert(key);
            let attempt = machine.attempts.entry(key).or_insert_with(|| {
                // An earlier leader's attempt, or one of an order thought lost.
                let bound = task.status != TaskStatus::Exited;
                if bound {
                    job.bind(number);
                }
                Attempt::new(bound, now)
            });
            let was = attempt.status;
            attempt.status = Some(task.status);
            let cancelled = job.cancel_asked_at;
            if was.is_none()
                && task.status != TaskStatus::Exited
                && cancelled.is_some_and(|at| now - at > self.config.cancel)
            {
                invariants::violated(
                    Invariant::CancelledTaskStartedLate,
                    format_args!(
                        "machine={name} task={} attempt={}",
                        task.piece, task.attempt
                    ),
                );
            }
            if task.status == TaskStatus::Running && attempt.running_since.is_none() {
                attempt.running_since = Some(now);
            }
            if let Some(since) = attempt.running_since
                && !job.begun
                && now - since > COUNTS_AFTER
            {
                job.begun = true;
                let waited = since - job.accepted_at;
                log::debug!("{} began after {} s", job.spec.id, waited.as_secs_f64());
            }
            let unfinished = task.status != TaskStatus::Exited;
            if unfinished
                && (job.is_closed() || job.done.contains(number))
                && attempt.desired == DesiredState::Run
            {
                attempt.desired = DesiredState::Stop {
                    leeway: Micros::ZERO,
                };
            }
            if !unfinished && was != Some(TaskStatus::Exited) {
                self.dirty = true;
                let cause = task.cause.unwrap_or(Cause::Other);
                attempt.done = cause == Cause::Done && !job.spec.standing;
                let lasted = attempt
                    .running_since
                    .is_some_and(|t| now - t > COUNTS_AFTER);
                match cause {
                    // A replica's end is no outcome: it runs again elsewhere. One that ends soon after
                    // its start, on one machine after the other, waits longer and longer.
                    Cause::Done if job.spec.standing && lasted => job.failed_on.clear(),
                    Cause::Done if job.spec.standing => job.note_failure(name, now),
                    Cause::Done => {
                        // The first settle wins; a later attempt's outcome changes nothing.
                        if job.settle(number) && job.complete() {
                            self.urgent_rounds = true;
                        }
                        job.failed_on.clear();
                        if let Some(since) = attempt.running_since {
                            finished.push((job_id, now - since));
                        }
                        machine.error_streak.clear();
                    }
                    Cause::Error if job.spec.standing && lasted => job.failed_on.clear(),
                    Cause::Error => {
                        job.note_failure(name, now);
                        machine.error_streak.insert(job_id);
                        let suspicious = job.failed_on.len() < 3;
                        if machine.error_streak.len() >= 2 && suspicious {
                            machine.faulty = true;
                        }
                    }
                    _ => {}
                }
                if std::mem::take(&mut attempt.bound) {
                    job.unbind(number);
                }
            }
            let (image, gb) = (job.spec.image.clone(), job.spec.image_gb);
            let cached = task.status == TaskStatus::Running || attempt.done;
            machine.note_image(&image, gb, cached, cache_gb, now);
        }
        for (id, ran) in finished {
            self.note_run(id, ran);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.orphans = orphans;
        let absent: Vec<AttemptKey> = machine
            .attempts
            .keys()
            .filter(|k| !shown.contains(*k))
            .copied()
            .collect();
        for key in absent {
            let Some(attempt) = machine.attempts.get(&key) else {
                continue;
            };
            // A worker has one heartbeat in flight: once it sends a newer one that doesn't show
            // the start, the answer that held the start was dropped. The answer of a direct call
            // proves nothing: it may have been made while the heartbeat's answer was on its way.
            let never = match (attempt.status, attempt.sent) {
                _ if attempt.delivery.may_arrive() => false,
                (Some(_), _) => true,
                _ if attempt.desired == DesiredState::Run => false,
                (None, Some(sent)) => by_heartbeat && sent < (report.session, report.tick),
                (None, None) => true,
            };
            // The same proof, for a start that is still wanted: the answer was lost.
            let lost = by_heartbeat
                && attempt.status.is_none()
                && attempt.desired == DesiredState::Run
                && !attempt.delivery.may_arrive()
                && attempt
                    .sent
                    .is_some_and(|sent| sent < (report.session, report.tick));
            if never || lost {
                let holds = attempt.holds();
                if lost {
                    machine.note_loss(now);
                }
                machine.attempts.remove(&key);
                if holds && let Some(job) = self.jobs.table.get_mut(&key.0) {
                    job.unbind(key.1);
                    self.dirty = true;
                }
            }
        }
        machine.rooms.set(None);
        if machine.busy() {
            machine.idle_since = None;
        } else {
            machine.idle_since.get_or_insert(now);
        }
    }
}
