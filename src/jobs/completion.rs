//! Jobs that end: recorded final states, cancellations, and what is stopped then.

use super::{DoneRecord, FinalWrite, JobId, Outcome};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::DesiredState;

impl SchedulerState {
    /// Takes in a done set's key, read at takeover or after a conflict.
    pub fn apply_done_record(&mut self, id: &str, chunk: u32, record: &DoneRecord, revision: u64) {
        let Some(job_id) = self.jobs.find(id) else {
            return;
        };
        let Some(job) = self.jobs.table.get_mut(&job_id) else {
            return;
        };
        let Some(known) = job.revisions.get_mut(chunk as usize) else {
            return;
        };
        if *known != revision && chunk == 0 {
            // What got no answer was guarded by the revision before: it can't be applied any more.
            job.final_write = FinalWrite::Idle;
        }
        *known = revision;
        let mut set = job.recorded.clone();
        if set.add_chunk(chunk, &record.set).is_none() {
            log::error!("done set of {id}: malformed chunk {chunk}");
            return;
        }
        job.recorded = set;
        for task in job.recorded.iter().collect::<Vec<_>>() {
            job.settle(task);
        }
        if let Some(outcome) = record.state {
            self.apply_outcome(job_id, outcome);
        }
    }

    /// A job's final state is recorded: nothing of it may run any more.
    pub fn apply_outcome(&mut self, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.table.get_mut(&id) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        job.outcome = Some(outcome);
        job.final_write = FinalWrite::Idle;
        log::debug!(
            "{} of {}: {outcome:?}, {} tasks, first all placed {:?} s after acceptance",
            job.spec.id,
            job.spec.class,
            job.spec.tasks,
            job.placed_at.map(|t| (t - job.accepted_at).as_secs_f64())
        );
        self.stop_attempts_of(id);
    }

    /// From here on nothing of the job starts, and what runs is stopped: its user has no use for it,
    /// whatever becomes of the record. It is cancelled once that is written.
    pub fn request_cancellation(&mut self, id: &str, now: Moment) -> bool {
        let Some(job_id) = self.jobs.find(id) else {
            return false;
        };
        if let Some(job) = self.jobs.table.get_mut(&job_id)
            && job.outcome.is_none()
            && !job.complete()
        {
            let first = job.cancel_asked_at.is_none();
            job.cancel_asked_at.get_or_insert(now);
            self.writes_due = true;
            if first {
                self.stop_attempts_of(job_id);
            }
        }
        true
    }

    /// Stops whatever there is of a job. Not even time to save: nobody has a use for what it does.
    fn stop_attempts_of(&mut self, id: JobId) {
        for m in self.machines.values_mut() {
            let own = (id, 0, 0)..=(id, u32::MAX, u64::MAX);
            let mut any = false;
            for (_, attempt) in m.attempts.range_mut(own) {
                any = true;
                attempt.desired = DesiredState::Stop {
                    grace_period: Micros::ZERO,
                };
            }
            if any {
                m.rooms.set(None);
                self.commands.due.insert(m.name.clone());
            }
        }
        self.placement.due = true;
    }
}
