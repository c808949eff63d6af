//! Binding of tasks to machines, and reservation of machines for overdue jobs.

use super::Resources;
use super::pass_state::{CandidateMachine, PlacementPass};
use super::zones::TasksByZone;
use crate::jobs::JobId;
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use crate::workers::{Attempt, AttemptKey, entry_bytes};
use std::cmp::Reverse;

impl SchedulerState {
    /// Binds the job's next waiting task to the candidate: creates an attempt with a new number there, and returns
    /// the machine's zone; `None` if no task waits. The attempt starts once a start watermark that covers the task
    /// is stored. A `protected` attempt (one of the first of an overdue job) isn't preempted.
    pub(super) fn bind_next_task(
        &mut self,
        id: JobId,
        candidate: &mut CandidateMachine,
        protected: bool,
        now: Moment,
    ) -> Option<String> {
        let job = self.jobs.table.get_mut(&id)?;
        let task = job.next_ready()?;
        let machine = self.machines.get_mut(&candidate.name)?;
        self.attempt_counter += 1;
        let number = (self.term << 32) | u64::from(self.attempt_counter);
        let mut attempt = Attempt::placed(now);
        attempt.protected = protected;
        machine.attempts.insert(
            AttemptKey {
                job: id,
                task,
                attempt: number,
            },
            attempt,
        );
        machine.free_resources.set(None);
        machine.idle_since = None;
        if task < job.start_watermark {
            self.commands.due.insert(candidate.name.clone());
        } else {
            job.request_watermark(task);
            let waiting = self.commands.awaiting_watermark.entry(id).or_default();
            waiting.insert(candidate.name.clone());
        }
        let cache_gb = self.provisioning.cache_gb_of(&machine.type_name);
        machine
            .images
            .note_use(&job.spec.image, job.spec.image_gb, false, cache_gb, now);
        job.bind(task);
        candidate.report_bytes = candidate
            .report_bytes
            .saturating_sub(entry_bytes(&job.spec.id));
        candidate.free = candidate.free.minus(job.spec.demand);
        candidate.future_free = candidate.future_free.minus(job.spec.demand);
        Some(machine.zone.clone())
    }

    /// Requests the storing of the start watermark that the job's bound tasks need; returns the number of tasks that
    /// still wait.
    pub(super) fn request_start_watermark(&mut self, id: JobId, now: Moment) -> u32 {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return 0;
        };
        let waiting = job.ready();
        if waiting == 0 {
            job.fully_placed_at.get_or_insert(now);
        }
        let requested = std::mem::take(&mut job.requested_watermark);
        if requested <= job.start_watermark {
            return waiting;
        }
        let watermarks = &mut self.jobs.start_watermarks;
        if watermarks
            .get(&job.spec.id)
            .is_none_or(|known| *known < requested)
        {
            watermarks.put(&job.spec.id, requested);
            self.writes_due = true;
        }
        waiting
    }

    /// Reserves the suitable machine with the most capacity for an overdue job. Nothing else starts there, so that
    /// small tasks can't keep a large one waiting by taking capacity as soon as it becomes free.
    pub(super) fn reserve_machine(&self, id: JobId, pass: &mut PlacementPass, zones: &TasksByZone) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let could_run = |candidate: &CandidateMachine| {
            self.machines
                .get(&candidate.name)
                .is_some_and(|m| job.spec.demand.fits(m.total) && job.allows_machine(m, zones))
        };
        let candidates = pass.candidates.iter_mut().enumerate();
        let largest = candidates
            .filter(|(_, candidate)| !candidate.reserved && could_run(candidate))
            .max_by_key(|(index, c)| (c.future_free.cpu, c.free.cpu, Reverse(*index)));
        if let Some((_, candidate)) = largest {
            candidate.reserved = true;
            candidate.free = Resources::default();
            candidate.future_free = Resources::default();
            pass.reserved += 1;
        }
    }
}
