//! A user's job, and its submission as it stands on the wire.

use crate::checker::JobPlan;
use crate::scheduler::Time;
use aspenreel::http::cbor::encode;
use ciborium::cbor;

/// A job, and what its user does.
#[derive(Debug)]
pub struct UserJob {
    /// The job.
    pub plan: JobPlan,
    pub(crate) first_submitted_at: Time,
    pub(crate) polls: bool,
    /// Asks at all nodes at once whenever something becomes known.
    pub queries_all_nodes: bool,
    /// Calls the job off at the moment in which its last task ends.
    pub cancels_at_end: bool,
    pub(crate) cancels: bool,
}

/// The submission as it stands on the wire.
pub fn submission_body(p: &JobPlan) -> Vec<u8> {
    let wire = cbor!({
        "ref" => &p.id, "lane" => "train", "crew" => &p.team,
        "shape" => if p.standing { "standing" } else { "array" },
        "rank" => p.priority, "pieces" => p.tasks, "cpus" => p.cpus, "gpus" => 0.0, "ramGb" => 1.0,
        "bundle" => "img", "imageGb" => 1.0, "yard" => p.zone.clone(),
        "samePlace" => p.same_zone, "spread" => p.spread, "loaners" => p.spot,
        "guessS" => if p.standing { 0.0 } else { p.run_s }, "bookmarkS" => if p.checkpoint_s > 0.0 { 5.0 } else { 0.0 },
        "stashS" => p.checkpoint_s
    });
    encode(&wire.unwrap())
}

/// A body with the job's name that lacks a field.
pub(crate) fn malformed_submission_body(p: &JobPlan) -> Vec<u8> {
    encode(&cbor!({"ref" => &p.id, "crew" => &p.team, "pieces" => "many"}).unwrap())
}
