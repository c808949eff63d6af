//! Status lookups at the leader, which lookups that wait at the same time share.

use crate::controller::Controller;
use crate::jobs::{JobView, LeaderAnswer, PendingLookup};
use crate::peer::{PeerReply, PeerRequest, StatusesReply};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of threads that send batches, and so the maximum number of requests in flight. With two of them a lookup
/// need not wait for the whole time of the request before it.
pub const STATUS_SENDER_THREADS: usize = 2;
/// Maximum time that a request waits for the leader's reply. It leaves time for a read from the store before the
/// lookup's own deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout of the request for a single job, which replaces a batch at a leader of an earlier version.
const SINGLE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

impl Controller {
    /// Asks the leader for the status of a job, together with other lookups that wait. Returns at the latest at
    /// `deadline`.
    pub(super) fn leader_status(&self, id: &str, deadline: Moment) -> LeaderAnswer {
        if self.peer_that_leads().is_none() {
            return LeaderAnswer::NoAnswer;
        }
        match self.status_batches.look_up(&*self.os, id, deadline) {
            LeaderAnswer::Unsupported => self.leader_status_of_one(id),
            answer => answer,
        }
    }

    /// Thread body of a sender of batches. Never returns.
    pub fn status_batch_loop(&self) {
        loop {
            let batch = self.status_batches.next_batch_or_wait();
            if !batch.is_empty() {
                self.send_batch(&batch);
            }
        }
    }

    fn send_batch(&self, batch: &[Arc<PendingLookup>]) {
        let ids: Vec<String> = batch.iter().map(|lookup| lookup.id.clone()).collect();
        let leader = self.peer_that_leads();
        let reply = leader.map(|leader| leader.request_statuses(ids, REQUEST_TIMEOUT));
        match reply {
            Some(StatusesReply::Statuses(views)) => {
                let views: BTreeMap<&str, Option<JobView>> = batch
                    .iter()
                    .map(|lookup| lookup.id.as_str())
                    .zip(views)
                    .collect();
                self.status_batches.answer(batch, |id| match views.get(id) {
                    Some(Some(view)) => LeaderAnswer::Status(*view),
                    Some(None) => LeaderAnswer::NotInMemory,
                    None => LeaderAnswer::NoAnswer,
                });
            }
            Some(StatusesReply::Unsupported) => self
                .status_batches
                .answer(batch, |_| LeaderAnswer::Unsupported),
            Some(StatusesReply::NotLeading | StatusesReply::Failed) | None => self
                .status_batches
                .answer(batch, |_| LeaderAnswer::NoAnswer),
        }
    }

    /// Asks the leader for the status of one job in a request of its own.
    fn leader_status_of_one(&self, id: &str) -> LeaderAnswer {
        let request = PeerRequest::Status { id: id.to_string() };
        match self.call_leader(&request, SINGLE_REQUEST_TIMEOUT) {
            Some(PeerReply::Job(view)) => LeaderAnswer::Status(view),
            Some(PeerReply::Unknown) => LeaderAnswer::NotInMemory,
            _ => LeaderAnswer::NoAnswer,
        }
    }
}
