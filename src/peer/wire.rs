//! The messages between controllers. Borsh encodes a variant by its position: variants are only ever added at the
//! end, and a controller of an earlier version closes the connection when it gets one that it doesn't know.

use crate::jobs::JobView;
use borsh::{BorshDeserialize, BorshSerialize};

/// A request to another controller. All of them may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Asks the leader for the status of a job as it has it in memory.
    Status {
        /// The job's id.
        id: String,
    },
    /// Asks the leader to cancel a job and to wait for its end.
    Cancel {
        /// The job's id.
        id: String,
    },
    /// Asks for what the store has of a job, on behalf of a controller that the store doesn't answer.
    Read {
        /// The job's id.
        id: String,
    },
    /// Asks whether the controller answers at all.
    Ping,
    /// Asks to accept a submission, on behalf of a controller that can't write to the store.
    Accept {
        /// The checked submission in CBOR.
        body: Vec<u8>,
    },
    /// Sends the sender's view of its links and asks for the receiver's. Not known to earlier versions.
    Links {
        /// The encoded view.
        view: Vec<u8>,
    },
    /// Asks for the controller's report on its links, for an operator. Not known to earlier versions.
    LinkReport,
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerReply {
    /// The job's status.
    Job(JobView),
    /// The leader has no status to tell from memory: the job is over, new, was never accepted, or is
    /// about to end. The store has it. Also the answer to a ping.
    Unknown,
    /// This controller is not the leader.
    NotLeading,
    /// The store has no such job.
    Absent,
    /// This controller can't answer now.
    Busy,
    /// The submission was accepted by this request.
    Accepted,
    /// The controller's view of its links.
    Links {
        /// The encoded view.
        view: Vec<u8>,
    },
    /// The controller's report on its links.
    LinkReport {
        /// The encoded report.
        report: Vec<u8>,
    },
}
