//! Handling of requests to submit jobs.

use super::messages::{accepted, known, refused, retry_soon, retry_when_not_full};
use super::status::{LOOKUP_TIMEOUT, StatusLookup};
use crate::controller::{Controller, ControllerState};
use crate::http::cbor::{encode, json_len};
use crate::http::server::Response;
use crate::jobs::records::{final_key, job_key};
use crate::jobs::wire::job_id_of;
use crate::jobs::{
    FULL_KEY, Infeasible, JobKind, JobView, LocalStatus, MalformedSubmission, Submission,
};
use crate::peer::{PeerReply, PeerRequest};
use crate::store::{Change, Precondition, StorePriority, TransactionOutcome, to_value};
use crate::time::WallTime;

/// Reason why a submission will never be accepted. The text is part of the response to the user.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("malformed: {0}")]
    Malformed(#[from] MalformedSubmission),
    #[error("can never run: {0}")]
    Infeasible(#[from] Infeasible),
}

impl Refusal {
    fn http_status(&self) -> u16 {
        match self {
            Refusal::Malformed(_) => 400,
            Refusal::Infeasible(_) => 422,
        }
    }
}

/// Result of an attempt to record a submission in the store.
pub(super) enum AcceptResult {
    /// The job was recorded by this request.
    Accepted,
    /// The job was accepted before.
    Known(JobView),
    /// The job is not recorded, as far as this controller knows.
    NotRecorded,
    /// The job is not recorded because the leader has no memory for more jobs.
    Full,
}

impl Controller {
    /// Handles a submission. The response is 201 once the job is recorded, and 200 if it was accepted before.
    pub fn submit(&self, body: &[u8]) -> Response {
        let submission = match Submission::decode(body) {
            Ok(submission) => submission,
            Err(error) => return self.refuse(job_id_of(body).as_deref(), error.into()),
        };
        let id = &submission.id;
        match self.local_status(id) {
            LocalStatus::View(view) => return known(id, view),
            LocalStatus::FinalWriteInFlight => return self.known_or_retry(id),
            LocalStatus::Unknown => {}
        }
        let Some(catalog) = self.catalog() else {
            return retry_soon();
        };
        let settings = &self.settings.settings;
        let spec = submission.spec();
        if let Err(error) = spec.check_feasible(&settings.teams, &catalog, &settings.zones) {
            return self.refuse(Some(id), error.into());
        }
        if !self.may_record(&submission) {
            return self.known_or_retry(id);
        }
        self.accept(submission)
    }

    /// Response to a submission that can't be accepted by this controller now: the job's state if it was accepted
    /// before, else a request to retry.
    fn known_or_retry(&self, id: &str) -> Response {
        match self.look_up(id) {
            StatusLookup::Job(view) => known(id, view),
            _ => retry_soon(),
        }
    }

    /// True if the submission may be recorded. Standing jobs may be recorded only once all controllers support them.
    pub(super) fn may_record(&self, submission: &Submission) -> bool {
        submission.kind == JobKind::Array || self.feature_level().has_standing_jobs()
    }

    /// Refuses a submission, unless its id is that of an accepted job: then the response is the job's state,
    /// whatever body was submitted.
    fn refuse(&self, id: Option<&str>, refusal: Refusal) -> Response {
        let found = id.map_or(StatusLookup::Absent, |id| self.look_up(id));
        match (found, id) {
            (StatusLookup::Job(view), Some(id)) => known(id, view),
            (StatusLookup::Undetermined, _) => retry_soon(),
            _ => refused(refusal.http_status(), refusal.to_string()),
        }
    }

    /// Records the job, which is accepted once the store confirms the write. If this controller can't write,
    /// because it has no tokens left or because the store rejects the requests of this controller alone, a peer may
    /// be able to. Peers are called first while the store doesn't answer this controller, since waiting for the
    /// store would take longer than users wait.
    fn accept(&self, submission: Submission) -> Response {
        let is_store_unresponsive = !self.store.is_answering(self.now());
        if is_store_unresponsive && let Some(response) = self.accept_by_peer(&submission) {
            return response;
        }
        let id = &submission.id;
        match self.record(submission.clone()) {
            AcceptResult::Accepted => accepted(id),
            AcceptResult::Known(view) => known(id, view),
            AcceptResult::Full => retry_when_not_full(),
            AcceptResult::NotRecorded if is_store_unresponsive => retry_soon(),
            AcceptResult::NotRecorded => {
                self.accept_by_peer(&submission).unwrap_or_else(retry_soon)
            }
        }
    }

    fn accept_by_peer(&self, submission: &Submission) -> Option<Response> {
        let id = &submission.id;
        let body = encode(submission);
        let request = PeerRequest::Accept { body };
        match self.call_any_peer(&request, self.now() + LOOKUP_TIMEOUT) {
            Some(PeerReply::Accepted) => Some(accepted(id)),
            Some(PeerReply::Job(view)) => Some(known(id, view)),
            _ => None,
        }
    }

    /// Writes the job's record with the time of acceptance.
    pub(super) fn record(&self, mut submission: Submission) -> AcceptResult {
        if !self.take_submit_token() {
            return AcceptResult::NotRecorded;
        }
        let wall = self.os.wall();
        submission.accepted_us = wall.0;
        let id = &submission.id;
        let data = to_value(&submission);
        if json_len(&data) > self.settings.settings.state.strictest().value_bytes() {
            log::info!(job = id, reason = "too_large"; "submission not recorded");
            return AcceptResult::NotRecorded;
        }
        let preconditions = self.acceptance_preconditions(&submission);
        let changes = [Change::write(job_key(id), data)];
        let term = leading_term(&self.state());
        match self
            .store
            .transact(&preconditions, &changes, StorePriority::Admitted)
        {
            Ok(TransactionOutcome::Committed { revision }) => {
                self.add_accepted_job(&submission, revision, wall, term);
                AcceptResult::Accepted
            }
            Ok(TransactionOutcome::Conflict { failed }) if failed == [FULL_KEY] => {
                AcceptResult::Full
            }
            Ok(TransactionOutcome::Conflict { .. }) => match self.look_up(id) {
                StatusLookup::Job(view) => AcceptResult::Known(view),
                _ => AcceptResult::NotRecorded,
            },
            Err(error) => {
                log::debug!(job = id, error:%; "submission not recorded");
                AcceptResult::NotRecorded
            }
        }
    }

    fn take_submit_token(&self) -> bool {
        let now = self.now();
        let tokens = self.submission_bucket.lock();
        tokens.unwrap_or_else(|e| e.into_inner()).take(1.0, now)
    }

    /// Preconditions of an acceptance: the job is neither accepted nor retired, and the leader has memory for more
    /// jobs.
    fn acceptance_preconditions(&self, submission: &Submission) -> Vec<Precondition> {
        let mut preconditions = vec![
            Precondition::new(job_key(&submission.id), 0),
            Precondition::new(final_key(&submission.id), 0),
            Precondition::new(FULL_KEY, 0),
        ];
        if submission.kind == JobKind::Standing {
            // The feature level may have been lowered since this process read it.
            preconditions.push(self.feature_level().precondition());
        }
        preconditions
    }

    /// Adds a job that this controller recorded to the scheduler state, if it still leads in the term in which it
    /// sent the record (`term`).
    fn add_accepted_job(
        &self,
        submission: &Submission,
        revision: u64,
        wall: WallTime,
        term: Option<u64>,
    ) {
        let mut state = self.state();
        let now = self.now();
        // If the term has changed meanwhile, for example while this process was suspended, another leader may have
        // ended and retired the job. In that case the records that were read at the beginning of the new term
        // decide.
        if state.final_states.get(&submission.id).is_none()
            && leading_term(&state) == term
            && let Some((_, scheduler)) = state.acting_leader(now)
        {
            scheduler.add_job(submission, revision, now, wall);
            scheduler.place_if_due(now);
            self.wake_loops(scheduler);
        }
    }
}

fn leading_term(state: &ControllerState) -> Option<u64> {
    state.leader_lease.as_ref().map(|lease| lease.term)
}
