//! Messages between controllers. Borsh encodes a variant by its position, so new variants may only be added at the
//! end. A controller of an earlier version closes the connection when it receives a variant that it doesn't know.

use crate::jobs::JobView;
use borsh::{BorshDeserialize, BorshSerialize};

/// Request to another controller. All requests may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Asks the leader for the status of a job that it has in memory.
    Status {
        /// Id of the job.
        id: String,
    },
    /// Asks the leader to cancel a job, and to wait for its end before replying.
    Cancel {
        /// Id of the job.
        id: String,
    },
    /// Asks for the stored state of a job, on behalf of a controller that gets no answer from the store.
    Read {
        /// Id of the job.
        id: String,
    },
    /// Checks whether the controller answers requests.
    Ping,
    /// Asks the receiver to accept a submission, on behalf of a controller that can't write to the store.
    Accept {
        /// Validated submission, encoded in CBOR.
        body: Vec<u8>,
    },
    /// Sends the sender's view of its links, and asks for the receiver's view. Earlier versions don't know it.
    Links {
        /// Encoded view of the sender.
        view: Vec<u8>,
    },
    /// Asks for the receiver's report on its links, which an operator has requested. Earlier versions don't know it.
    LinkReport,
    /// Asks the leader for the statuses of jobs that it has in memory. Earlier versions don't know it.
    Statuses {
        /// Ids of the jobs.
        ids: Vec<String>,
    },
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerReply {
    /// Status of the job.
    Job(JobView),
    /// The leader has no status of the job in memory, because the job has ended, is new, was never accepted, or is
    /// about to end. The status has to be read from the store. Also the reply to a ping.
    Unknown,
    /// The controller that replies is not the leader.
    NotLeading,
    /// The store has no such job.
    Absent,
    /// The controller can't answer the request now.
    Busy,
    /// The submission was accepted as a result of this request.
    Accepted,
    /// View that the replying controller has of its links.
    Links {
        /// Encoded view.
        view: Vec<u8>,
    },
    /// Report of the replying controller on its links.
    LinkReport {
        /// Encoded report.
        report: Vec<u8>,
    },
    /// Statuses of the jobs of the request, in its order. `None` stands for [`PeerReply::Unknown`].
    Statuses {
        /// The statuses.
        views: Vec<Option<JobView>>,
    },
}
