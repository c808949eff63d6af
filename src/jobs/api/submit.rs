//! Submission of jobs.

use super::messages::{accepted, known, refused, retry_soon, retry_when_not_full};
use super::status::{LOOKUP_TIME, StatusLookup};
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

/// Why a submission is refused for good. Users are told the text.
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

/// What became of recording a submission.
pub(super) enum AcceptResult {
    /// It is recorded, by this request.
    Accepted,
    /// The job was accepted before.
    Known(JobView),
    /// It is not recorded, as far as this controller knows.
    NotRecorded,
    /// It is not recorded: the leader holds as many jobs as it can.
    Full,
}

impl Controller {
    /// Answers a submission: 201 once the job is recorded, and 200 if it was accepted before.
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

    /// A job that can't be accepted here and now is told if it was accepted before.
    fn known_or_retry(&self, id: &str) -> Response {
        match self.look_up(id) {
            StatusLookup::Job(view) => known(id, view),
            _ => retry_soon(),
        }
    }

    /// A standing job is recorded once all controllers know what it is.
    pub(super) fn may_record(&self, submission: &Submission) -> bool {
        submission.kind == JobKind::Array || self.feature_level().has_standing_jobs()
    }

    /// The id of an accepted job never gets a refusal, whatever body comes again.
    fn refuse(&self, id: Option<&str>, refusal: Refusal) -> Response {
        let found = id.map_or(StatusLookup::Absent, |id| self.look_up(id));
        match (found, id) {
            (StatusLookup::Job(view), Some(id)) => known(id, view),
            (StatusLookup::Undecided, _) => retry_soon(),
            _ => refused(refusal.http_status(), refusal.to_string()),
        }
    }

    /// Records the job; it is accepted once that is answered. Where this controller can't write, for want
    /// of tokens or because the store refuses it alone, another one may. It is asked first while the store
    /// is silent here, since waiting for the store takes longer than users want to.
    fn accept(&self, submission: Submission) -> Response {
        let silent = !self.store.is_answering(self.now());
        if silent && let Some(response) = self.accept_by_peer(&submission) {
            return response;
        }
        let id = &submission.id;
        match self.record(submission.clone()) {
            AcceptResult::Accepted => accepted(id),
            AcceptResult::Known(view) => known(id, view),
            AcceptResult::Full => retry_when_not_full(),
            AcceptResult::NotRecorded if silent => retry_soon(),
            AcceptResult::NotRecorded => {
                self.accept_by_peer(&submission).unwrap_or_else(retry_soon)
            }
        }
    }

    fn accept_by_peer(&self, submission: &Submission) -> Option<Response> {
        let id = &submission.id;
        let body = encode(submission);
        let request = PeerRequest::Accept { body };
        match self.ask_any(&request, self.now() + LOOKUP_TIME) {
            Some(PeerReply::Accepted) => Some(accepted(id)),
            Some(PeerReply::Job(view)) => Some(known(id, view)),
            _ => None,
        }
    }

    /// Writes the job's record, with the time of its acceptance.
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

    /// The preconditions of an acceptance: the job is neither accepted nor over, and the leader isn't full.
    fn acceptance_preconditions(&self, submission: &Submission) -> Vec<Precondition> {
        let mut preconditions = vec![
            Precondition::new(job_key(&submission.id), 0),
            Precondition::new(final_key(&submission.id), 0),
            Precondition::new(FULL_KEY, 0),
        ];
        if submission.kind == JobKind::Standing {
            // What was known when this process looked may have been taken back since.
            preconditions.push(self.feature_level().precondition());
        }
        preconditions
    }

    /// Adds a job that this controller recorded, if it leads as it did before (`term`).
    fn add_accepted_job(
        &self,
        submission: &Submission,
        revision: u64,
        wall: WallTime,
        term: Option<u64>,
    ) {
        let mut state = self.state();
        let now = self.now();
        // Under another term by now, as after standing still, the job may be over and retired by
        // another leader: what was read when the term began tells.
        if state.terminal_states.get(&submission.id).is_none()
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
