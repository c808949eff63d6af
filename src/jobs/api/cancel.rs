//! Cancellation of jobs.

use super::messages::{known, retry_soon, unknown_job};
use super::peers::PEER_TIME;
use super::status::StatusLookup;
use crate::controller::Controller;
use crate::http::server::Response;
use crate::jobs::LocalStatus;
use crate::jobs::wire::is_job_id;
use crate::os::time_left;
use crate::peer::{PeerReply, PeerRequest};
use crate::time::Micros;

/// A cancellation is answered once it is recorded, or else refused after this.
const CANCEL_TIME: Micros = Micros::from_millis(2000);

impl Controller {
    /// Answers a request to cancel a job: with its final state once that is recorded.
    pub fn cancel(&self, id: &str) -> Response {
        if !is_job_id(id) {
            return unknown_job();
        }
        let reply = match self.cancel_as_leader(id) {
            PeerReply::NotLeading => self.cancel_by_leader(id),
            reply => reply,
        };
        if let PeerReply::Job(view) = reply
            && view.is_final()
        {
            self.state().terminal_states.insert(id, view);
            return known(id, view);
        }
        // Without a leader nothing is cancelled, but what is over or was never accepted can be told.
        match self.look_up(id) {
            StatusLookup::Job(view) if view.is_final() => known(id, view),
            StatusLookup::Absent => unknown_job(),
            _ => retry_soon(),
        }
    }

    fn cancel_by_leader(&self, id: &str) -> PeerReply {
        let request = PeerRequest::Cancel { id: id.to_string() };
        let timeout = (CANCEL_TIME + PEER_TIME).duration();
        self.ask_leader(&request, timeout)
            .unwrap_or(PeerReply::Busy)
    }

    /// Cancels a job if this controller leads, and waits for the record for a bounded time.
    pub fn cancel_as_leader(&self, id: &str) -> PeerReply {
        let deadline = self.now() + CANCEL_TIME;
        let mut state = self.state();
        if let Some(view) = state.terminal_states.get(id) {
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
            if let Some(view) = state.terminal_states.get(id) {
                return PeerReply::Job(view);
            }
            let now = self.now();
            match state
                .acting_leader(now)
                .map(|(_, scheduler)| scheduler.job_status(id))
            {
                Some(LocalStatus::View(view)) if view.is_final() => return PeerReply::Job(view),
                Some(LocalStatus::View(_) | LocalStatus::FinalWriteInFlight) => {}
                Some(LocalStatus::Nothing) | None => return PeerReply::Busy,
            }
            let Some(left) = time_left(&*self.os, deadline) else {
                return PeerReply::Busy;
            };
            self.wait_for_change(state, left);
            state = self.state();
        }
    }
}
