//! What a job's status is: known here, told by the leader, or read from the key-value store.

use super::messages::{job_status, retry_soon, unknown_job};
use super::peers::PEER_TIME;
use crate::controller::{Controller, ControllerState};
use crate::http::server::Response;
use crate::jobs::records::{done_key, final_key, job_key};
use crate::jobs::wire::is_job_id;
use crate::jobs::{DoneRecord, FinalRecord, JobView, LocalStatus, Outcome, Submission};
use crate::os::time_left;
use crate::peer::{PeerReply, PeerRequest};
use crate::store::{KeyValue, NotExecutedReason, StoreError, StorePriority, from_value};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Users wait two seconds for a status: what can't be found out by then is said to be unknown.
pub(super) const LOOKUP_TIME: Micros = Micros::from_millis(1600);
/// How long users' questions about a job wait while its final state is being recorded: the answer
/// mostly comes within this, and there is time left to read the record.
const FINAL_WRITE_TIME: Micros = Micros::from_millis(300);
/// Reads for users are given up sooner than others, so that a peer can still be asked.
const READ_TIME: Duration = Duration::from_millis(700);

/// What could be found out about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusLookup {
    /// The job's status.
    Job(JobView),
    /// Surely never accepted up to now.
    Absent,
    /// Nobody who knows could be reached.
    Undecided,
}

impl Controller {
    /// The answer to a status question, if this controller knows it without asking anybody.
    pub fn known_status(&self, id: &str) -> Option<Response> {
        if !is_job_id(id) {
            return Some(unknown_job());
        }
        match self.local_status(id) {
            LocalStatus::View(view) => Some(job_status(id, view)),
            LocalStatus::FinalWriteInFlight | LocalStatus::Nothing => None,
        }
    }

    /// Answers a status question, for which it may ask peers and the store.
    pub fn status(&self, id: &str) -> Response {
        match self.look_up(id) {
            StatusLookup::Job(view) => job_status(id, view),
            StatusLookup::Absent => unknown_job(),
            StatusLookup::Undecided => retry_soon(),
        }
    }

    /// What this controller can say of a job by itself.
    pub(super) fn local_status(&self, id: &str) -> LocalStatus {
        self.local_status_in(&mut self.state(), id)
    }

    fn local_status_in(&self, state: &mut ControllerState, id: &str) -> LocalStatus {
        let now = self.now();
        match (state.terminal_states.get(id), state.acting_leader(now)) {
            (Some(view), _) => LocalStatus::View(view),
            (None, Some((_, scheduler))) => scheduler.job_status(id),
            (None, None) => LocalStatus::Nothing,
        }
    }

    /// What this controller can say of a job by itself, after a wait for a final write that is in flight.
    fn local_status_after_final_write(&self, id: &str) -> LocalStatus {
        let deadline = self.now() + FINAL_WRITE_TIME;
        loop {
            let mut state = self.state();
            let status = self.local_status_in(&mut state, id);
            match time_left(&*self.os, deadline) {
                Some(left) if status == LocalStatus::FinalWriteInFlight => {
                    self.wait_for_change(state, left);
                }
                _ => return status,
            }
        }
    }

    /// Finds out about a job. What took a while to find out may be older than what this controller has
    /// learned meanwhile, so terminal states are looked at last.
    pub(super) fn look_up(&self, id: &str) -> StatusLookup {
        let found = self.find_status(id);
        let mut state = self.state();
        if let StatusLookup::Job(view) = &found {
            state.terminal_states.insert(id, *view);
        }
        let terminal = state.terminal_states.get(id);
        terminal.map_or(found, StatusLookup::Job)
    }

    /// Asks whoever may know, the nearest first.
    fn find_status(&self, id: &str) -> StatusLookup {
        let deadline = self.now() + LOOKUP_TIME;
        if let LocalStatus::View(view) = self.local_status_after_final_write(id) {
            return StatusLookup::Job(view);
        }
        let request = PeerRequest::Status { id: id.to_string() };
        if let Some(PeerReply::Job(view)) = self.ask_leader(&request, PEER_TIME.duration()) {
            return StatusLookup::Job(view);
        }
        if self.store.is_answering(self.now()) {
            match self.stored_status(id, deadline) {
                Ok(Some(view)) => return StatusLookup::Job(view),
                Ok(None) => return StatusLookup::Absent,
                Err(error) => log::debug!(job = id, error:%; "status not read"),
            }
        }
        let request = PeerRequest::Read { id: id.to_string() };
        match self.ask_any(&request, deadline) {
            Some(PeerReply::Job(view)) => StatusLookup::Job(view),
            Some(PeerReply::Absent) => StatusLookup::Absent,
            _ => StatusLookup::Undecided,
        }
    }

    /// What the store knows; `None` if it has no record of the job. The order of the reads matters: a
    /// job's record is deleted in the same transaction that writes its final one, so whoever misses the
    /// first finds the second.
    pub(super) fn stored_status(
        &self,
        id: &str,
        deadline: Moment,
    ) -> Result<Option<JobView>, StoreError> {
        if let Some(job) = self.read_for_user(&job_key(id), deadline)? {
            if let Some(outcome) = self.stored_outcome(id, deadline)? {
                let tasks = from_value::<Submission>(&job.data).map_or(0, |s| s.tasks as u32);
                return Ok(Some(JobView::of_final(outcome, tasks)));
            }
            if self.read_for_user(&job_key(id), deadline)?.is_some() {
                return Ok(Some(JobView::QUEUED));
            }
        }
        let Some(row) = self.read_for_user(&final_key(id), deadline)? else {
            return Ok(None);
        };
        let record: FinalRecord =
            from_value(&row.data).ok_or_else(|| StoreError::MalformedValue {
                key: row.key.clone(),
            })?;
        Ok(Some(JobView::of_final(record.state, record.tasks)))
    }

    /// The final state in a job's done set, if it has one.
    fn stored_outcome(&self, id: &str, deadline: Moment) -> Result<Option<Outcome>, StoreError> {
        let Some(row) = self.read_for_user(&done_key(id, 0), deadline)? else {
            return Ok(None);
        };
        let record: DoneRecord = from_value(&row.data).unwrap_or_default();
        Ok(record.state)
    }

    fn read_for_user(&self, key: &str, deadline: Moment) -> Result<Option<KeyValue>, StoreError> {
        let Some(left) = time_left(&*self.os, deadline) else {
            return Err(StoreError::NotExecuted {
                request: format!("GET /store/{key}"),
                source: NotExecutedReason::DeadlinePassed,
            });
        };
        self.store
            .get_within(key, StorePriority::Normal, READ_TIME.min(left))
    }
}
