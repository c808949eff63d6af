//! Which handler a request of another controller belongs to.

use super::Controller;
use crate::jobs::LocalStatus;
use crate::peer::{PeerReply, PeerRequest};

impl Controller {
    /// Answers a request of another controller. Some handlers wait for the store.
    pub fn answer_peer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Status { id } => self.status_for_peer(&id),
            PeerRequest::Ping => PeerReply::Unknown,
            PeerRequest::Cancel { id } => self.cancel_as_leader(&id),
            PeerRequest::Read { id } => self.read_for_peer(&id),
            PeerRequest::Accept { body } => self.accept_for_peer(&body),
            PeerRequest::Links { view } => self.answer_view(&view),
            PeerRequest::LinkReport => self.answer_link_report(),
        }
    }

    /// The status of a job as this controller has it in memory.
    fn status_for_peer(&self, id: &str) -> PeerReply {
        let mut state = self.state();
        let now = self.now();
        if let Some(view) = state.terminal_states.get(id) {
            return PeerReply::Job(view);
        }
        let Some((_, scheduler)) = state.acting_leader(now) else {
            return PeerReply::NotLeading;
        };
        match scheduler.job_status(id) {
            LocalStatus::View(view) => PeerReply::Job(view),
            LocalStatus::FinalWriteInFlight | LocalStatus::Unknown => PeerReply::Unknown,
        }
    }
}
