//! What one placement pass works on.

use super::{QueueOrder, Resources};
use crate::jobs::{JobId, Priority};
use crate::workers::AttemptKey;
use std::collections::BTreeSet;

/// A usable machine as one pass sees it.
pub(super) struct CandidateMachine {
    pub(super) name: String,
    /// What no attempt holds.
    pub(super) free: Resources,
    /// What will be free once the attempts that are being stopped have left, less what waits for it.
    pub(super) promised: Resources,
    /// Kept for a job that has waited too long: nothing else starts here.
    pub(super) reserved: bool,
}

/// The highest priority among waiting jobs; None if there are none.
pub(super) struct HighestWaiting {
    /// Of all waiting jobs.
    pub(super) any: Option<Priority>,
    /// Of those that fit into their team's guarantee.
    pub(super) within_guarantee: Option<Priority>,
}

impl HighestWaiting {
    pub(super) fn of(waiting: &[(QueueOrder, JobId)]) -> HighestWaiting {
        let priority = |(order, _): &(QueueOrder, JobId)| order.priority.0;
        let within = waiting.iter().filter(|(order, _)| !order.over_guarantee);
        HighestWaiting {
            any: waiting.iter().map(priority).max(),
            within_guarantee: within.map(priority).max(),
        }
    }
}

/// What one pass works on. Everything that looks at all machines or all tasks is worked out once
/// for all jobs: with hundreds of machines and jobs their product would take all of a small
/// controller's processor.
pub(super) struct PlacementPass {
    pub(super) candidates: Vec<CandidateMachine>,
    /// Indices of candidates with free capacity.
    pub(super) with_capacity: Vec<usize>,
    /// Indices of candidates on which attempts are being stopped.
    pub(super) freeing: Vec<usize>,
    /// How many candidates are reserved for jobs that have waited too long.
    pub(super) reserved: usize,
    /// Demands that no candidate had capacity for; capacity only shrinks in a pass.
    pub(super) unplaceable: Vec<Resources>,
    /// What each team may still add within its limit.
    pub(super) quota_left: Vec<Resources>,
    /// Worked out when a job looks for something to preempt for the first time.
    pub(super) preemptable: Option<Vec<PreemptableAttempt>>,
    /// Thousandths of a CPU that each team uses beyond its guarantee; negative where it uses less.
    pub(super) borrowed_cpu: Vec<i64>,
    /// Jobs that don't fit into their team's guarantee beside the team's earlier jobs.
    pub(super) over_guarantee: BTreeSet<JobId>,
    /// The lowest priority of which any task is bound to a machine.
    pub(super) lowest_bound: Option<Priority>,
    pub(super) highest_waiting: HighestWaiting,
}

/// An attempt that could be preempted.
pub(super) struct PreemptableAttempt {
    /// What would be lost: the processor time used so far, in microseconds of a thousandth of a CPU.
    pub(super) lost: u64,
    /// The index of its machine among the pass's candidates.
    pub(super) candidate: usize,
    pub(super) key: AttemptKey,
    pub(super) demand: Resources,
    pub(super) team: usize,
    pub(super) priority: Priority,
    /// This pass preempts it.
    pub(super) preempted: bool,
}
