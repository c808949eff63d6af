//! Simulated user of a job, and the encoded submission of the job.

use crate::checker::JobPlan;
use crate::scheduler::Time;
use aspenreel::http::cbor::encode;
use ciborium::cbor;

/// Job and the behavior of its user.
#[derive(Debug)]
pub struct UserJob {
    /// Job that the user submits.
    pub plan: JobPlan,
    /// Time of the first submission.
    pub(crate) first_submitted_at: Time,
    /// True once the user has begun to poll the job's state.
    pub(crate) polls: bool,
    /// True if the user queries all nodes at once whenever the job is accepted or its end becomes known.
    pub queries_all_nodes: bool,
    /// True if the user cancels the job within 0.4 seconds after its last task ends.
    pub cancels_at_end: bool,
    /// True once the user has begun to cancel the job.
    pub(crate) cancels: bool,
}

/// Encoded submission of a job.
pub fn submission_body(plan: &JobPlan) -> Vec<u8> {
    let wire = cbor!({
        "ref" => &plan.id, "lane" => "train", "crew" => &plan.team,
        "shape" => if plan.standing { "standing" } else { "array" },
        "rank" => plan.priority, "pieces" => plan.tasks, "cpus" => plan.cpus, "gpus" => 0.0, "ramGb" => 1.0,
        "bundle" => "img", "imageGb" => 1.0, "yard" => plan.zone.clone(),
        "samePlace" => plan.same_zone, "spread" => plan.spread, "loaners" => plan.spot,
        "guessS" => if plan.standing { 0.0 } else { plan.run_s },
        "bookmarkS" => if plan.checkpoint_s > 0.0 { 5.0 } else { 0.0 },
        "stashS" => plan.checkpoint_s
    });
    encode(&wire.unwrap())
}

/// Encoded submission with the job's id that lacks required fields.
pub(crate) fn malformed_submission_body(plan: &JobPlan) -> Vec<u8> {
    encode(&cbor!({"ref" => &plan.id, "crew" => &plan.team, "pieces" => "many"}).unwrap())
}
