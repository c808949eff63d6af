//! Handling of requests to cancel jobs.

use super::messages::{known, retry_soon, unknown_job};
use super::peers::PEER_TIMEOUT;
use super::status::StatusLookup;
use crate::controller::Controller;
use crate::http::server::Response;
use crate::jobs::LocalStatus;
use crate::jobs::wire::is_job_id;
use crate::os::time_left;
use crate::peer::{PeerReply, PeerRequest};
use crate::time::Micros;

/// Maximum time that a request to cancel waits for the record of the cancellation. Once it has passed, the user is
/// asked to retry.
const CANCEL_TIMEOUT: Micros = Micros::from_millis(2000);

impl Controller {
    /// Handles a user's request to cancel a job. The response contains the final state once it is recorded.
    pub fn cancel(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return unknown_job();
        }
        let reply = match self.cancel_as_leader(id) {
            PeerReply::NotLeading => self.cancel_through_leader(id),
            reply => reply,
        };
        if let PeerReply::Job(view) = reply
            && view.is_final()
        {
            self.state().final_states.insert(id, view);
            return known(id, view);
        }
        // Without a leader no job can be cancelled, but jobs that ended or were never accepted can still be reported.
        match self.look_up(id) {
            StatusLookup::Job(view) if view.is_final() => known(id, view),
            StatusLookup::Absent => unknown_job(),
            _ => retry_soon(),
        }
    }

    fn cancel_through_leader(&self, id: &str) -> PeerReply {
        let request = PeerRequest::Cancel { id: id.to_string() };
        let timeout = (CANCEL_TIMEOUT + PEER_TIMEOUT).duration();
        self.call_leader(&request, timeout)
            .unwrap_or(PeerReply::Busy)
    }

    /// Requests the cancellation of a job if this controller leads, and waits up to `CANCEL_TIMEOUT` for its
    /// final state to be recorded.
    pub fn cancel_as_leader(&self, id: &str) -> PeerReply {
        let deadline = self.now() + CANCEL_TIMEOUT;
        let mut state = self.state();
        if let Some(view) = state.final_states.get(id) {
            return PeerReply::Job(view);
        }
        let now = self.now();
        let Some((_, scheduler)) = state.acting_leader(now) else {
            return PeerReply::NotLeading;
        };
        if !scheduler.request_cancellation(id, now) {
            return PeerReply::Unknown;
        }
        self.state_changed.notify_all();
        loop {
            if let Some(view) = state.final_states.get(id) {
                return PeerReply::Job(view);
            }
            let now = self.now();
            match state
                .acting_leader(now)
                .map(|(_, scheduler)| scheduler.job_status(id))
            {
                Some(LocalStatus::View(view)) if view.is_final() => return PeerReply::Job(view),
                Some(LocalStatus::View(_) | LocalStatus::FinalWriteInFlight) => {}
                Some(LocalStatus::Unknown) | None => return PeerReply::Busy,
            }
            let Some(left) = time_left(&*self.os, deadline) else {
                return PeerReply::Busy;
            };
            self.wait_for_change(state, left);
            state = self.state();
        }
    }
}
