//! Handlers of requests that peers send on behalf of their users.

use super::peers::PEER_TIMEOUT;
use super::submit::AcceptResult;
use crate::controller::Controller;
use crate::jobs::{LocalStatus, Submission};
use crate::peer::PeerReply;

impl Controller {
    /// Accepts a submission on behalf of a peer that has checked it.
    pub fn accept_for_peer(&self, body: &[u8]) -> PeerReply {
        let Ok(submission) = Submission::decode(body) else {
            return PeerReply::Busy;
        };
        if !self.may_record(&submission) {
            return PeerReply::Busy;
        }
        match self.record(submission) {
            AcceptResult::Accepted => PeerReply::Accepted,
            AcceptResult::Known(view) => PeerReply::Job(view),
            AcceptResult::NotRecorded | AcceptResult::Full => PeerReply::Busy,
        }
    }

    /// Reads a job's status on behalf of a peer whose requests the store refuses or doesn't answer.
    pub fn read_for_peer(&self, id: &str) -> PeerReply {
        if let LocalStatus::View(view) = self.local_status(id) {
            return PeerReply::Job(view);
        }
        match self.stored_status(id, self.now() + PEER_TIMEOUT) {
            Ok(Some(view)) => PeerReply::Job(view),
            Ok(None) => PeerReply::Absent,
            Err(_) => PeerReply::Busy,
        }
    }
}
