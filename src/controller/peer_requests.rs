//! Dispatch of requests from other controllers to their handlers.

use super::Controller;
use crate::jobs::LocalStatus;
use crate::peer::{PeerReply, PeerRequest};

impl Controller {
    /// Handles a request from another controller. Some handlers block on requests to the store.
    pub fn answer_peer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Status { id } => self.status_for_peer(&id),
            PeerRequest::Ping => PeerReply::Unknown,
            PeerRequest::Cancel { id } => self.cancel_as_leader(&id),
            PeerRequest::Read { id } => self.read_for_peer(&id),
            PeerRequest::Accept { body } => self.accept_for_peer(&body),
            PeerRequest::Links { view } => self.answer_view(&view),
            PeerRequest::LinkReport => self.answer_link_report(),
            PeerRequest::Statuses { ids } => self.statuses_for_peer(&ids),
        }
    }

    /// Status of a job from this controller's memory, without a request to the store.
    fn status_for_peer(&self, id: &str) -> PeerReply {
        let mut state = self.state();
        let now = self.now();
        if let Some(view) = state.final_states.get(id) {
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

    /// Statuses of jobs from this controller's memory while it leads, all as of the same moment.
    fn statuses_for_peer(&self, ids: &[String]) -> PeerReply {
        let mut state = self.state();
        let now = self.now();
        if state.acting_leader(now).is_none() {
            return PeerReply::NotLeading;
        }
        let views = ids
            .iter()
            .map(|id| match self.local_status_in(&mut state, id) {
                LocalStatus::View(view) => Some(view),
                LocalStatus::FinalWriteInFlight | LocalStatus::Unknown => None,
            })
            .collect();
        PeerReply::Statuses { views }
    }
}
