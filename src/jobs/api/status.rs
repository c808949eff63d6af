//! Lookup of a job's status in memory, at the leader, and in the key-value store.

use super::messages::{job_status, retry_soon, unknown_job};
use crate::controller::{Controller, ControllerState};
use crate::http::server::Response;
use crate::jobs::records::{done_key, final_key, job_key};
use crate::jobs::wire::is_job_id;
use crate::jobs::{
    DoneRecord, FinalRecord, JobView, LeaderAnswer, LocalStatus, Outcome, StatusSource, Submission,
};
use crate::os::time_left;
use crate::peer::{PeerReply, PeerRequest};
use crate::store::{KeyValue, NotExecutedReason, StoreError, StorePriority, from_value};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Maximum time of a status lookup. Users wait two seconds for a status; if it can't be determined in time, they are
/// asked to retry.
pub(super) const LOOKUP_TIMEOUT: Micros = Micros::from_millis(1600);
/// Maximum time that a status lookup waits while the write of the job's final state is in flight. The store mostly
/// answers within it, and there is time left to read the record.
const FINAL_WRITE_TIMEOUT: Micros = Micros::from_millis(300);
/// Maximum time that a status lookup waits for the leader. The rest of [`LOOKUP_TIMEOUT`] is for the store and peers.
const LEADER_TIMEOUT: Micros = Micros::from_millis(1200);
/// Timeout of a read from the store on behalf of a user. It is shorter than that of other reads, so that there is
/// time left to call a peer.
const USER_READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Result of a status lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusLookup {
    /// Status of the job.
    Job(JobView),
    /// The job is known not to have been accepted up to now.
    Absent,
    /// Neither the store nor any controller that knows the status could be reached.
    Undetermined,
}

impl Controller {
    /// Handles a status request without calling peers or the store; `None` if this controller can't answer it by
    /// itself.
    pub fn known_status(&self, id: &str) -> Option<Response> {
        if !is_job_id(id) {
            return Some(unknown_job());
        }
        match self.local_status(id) {
            LocalStatus::View(view) => {
                self.status_metrics.note_answer(StatusSource::Memory);
                Some(job_status(id, view))
            }
            LocalStatus::FinalWriteInFlight | LocalStatus::Unknown => None,
        }
    }

    /// Handles a status request; may call peers and the store.
    pub fn status(&self, id: &str) -> Response {
        match self.look_up(id) {
            StatusLookup::Job(view) => job_status(id, view),
            StatusLookup::Absent => unknown_job(),
            StatusLookup::Undetermined => retry_soon(),
        }
    }

    /// Status of a job as known to this controller without calling peers or the store.
    pub(super) fn local_status(&self, id: &str) -> LocalStatus {
        self.local_status_in(&mut self.state(), id)
    }

    /// Status of a job as known to this controller, whose lock the caller holds.
    pub(crate) fn local_status_in(&self, state: &mut ControllerState, id: &str) -> LocalStatus {
        let now = self.now();
        match (state.final_states.get(id), state.acting_leader(now)) {
            (Some(view), _) => LocalStatus::View(view),
            (None, Some((_, scheduler))) => scheduler.job_status(id),
            (None, None) => LocalStatus::Unknown,
        }
    }

    /// Status as returned by [`Controller::local_status`], after waiting up to [`FINAL_WRITE_TIMEOUT`] for a final
    /// write that is in flight.
    fn local_status_after_final_write(&self, id: &str) -> LocalStatus {
        let deadline = self.now() + FINAL_WRITE_TIMEOUT;
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

    /// Looks up the status of a job. The lookup takes time, and this controller may learn a newer status meanwhile,
    /// so the cache of final states is checked last.
    pub(super) fn look_up(&self, id: &str) -> StatusLookup {
        let (found, source) = self.find_status(id);
        self.status_metrics.note_answer(source);
        let mut state = self.state();
        if let StatusLookup::Job(view) = &found {
            state.final_states.insert(id, *view);
        }
        let final_view = state.final_states.get(id);
        final_view.map_or(found, StatusLookup::Job)
    }

    /// Queries the sources of a job's status in this order: this controller, the leader, the store, and any other
    /// controller.
    fn find_status(&self, id: &str) -> (StatusLookup, StatusSource) {
        let deadline = self.now() + LOOKUP_TIMEOUT;
        if let LocalStatus::View(view) = self.local_status_after_final_write(id) {
            return (StatusLookup::Job(view), StatusSource::Memory);
        }
        match self.leader_status(id, self.now() + LEADER_TIMEOUT) {
            LeaderAnswer::Status(view) => return (StatusLookup::Job(view), StatusSource::Leader),
            LeaderAnswer::NotInMemory => {}
            LeaderAnswer::NoAnswer | LeaderAnswer::Unsupported => {
                self.status_metrics.note_leader_failure();
            }
        }
        if self.store.is_answering(self.now()) {
            match self.stored_status(id, deadline) {
                Ok(Some(view)) => return (StatusLookup::Job(view), StatusSource::Store),
                Ok(None) => return (StatusLookup::Absent, StatusSource::Store),
                Err(error) => {
                    self.status_metrics.note_store_failure();
                    log::debug!(job = id, error:%; "failed to read job status from store")
                }
            }
        }
        let request = PeerRequest::Read { id: id.to_string() };
        match self.call_any_peer(&request, deadline) {
            Some(PeerReply::Job(view)) => (StatusLookup::Job(view), StatusSource::Peer),
            Some(PeerReply::Absent) => (StatusLookup::Absent, StatusSource::Peer),
            _ => (StatusLookup::Undetermined, StatusSource::Unanswered),
        }
    }

    /// Reads the status of a job from the store; `None` if it has no record of the job. The order of the reads
    /// matters: the key `jobs/<ref>` is deleted in the same transaction that writes `final/<ref>`, so a reader that
    /// doesn't find the first key finds the second.
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

    /// Reads the final state in chunk 0 of a job's done set, if it has one.
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
            .get_within(key, StorePriority::Normal, USER_READ_TIMEOUT.min(left))
    }
}
