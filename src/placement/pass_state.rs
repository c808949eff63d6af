//! State of one placement pass.

use super::{QueueOrder, Resources};
use crate::jobs::{JobId, Priority};
use crate::time::Micros;
use crate::workers::AttemptKey;
use std::collections::BTreeSet;

/// A usable machine and its capacity during one pass.
pub(super) struct CandidateMachine {
    pub(super) name: String,
    /// Capacity that no attempt holds.
    pub(super) free: Resources,
    /// Capacity that will be free once the attempts being stopped have exited, less what is already allocated to
    /// tasks that wait for it.
    pub(super) future_free: Resources,
    /// Bytes that the machine's report has left for more attempts.
    pub(super) report_bytes: usize,
    /// Reserved for an overdue job: no other task is placed here.
    pub(super) reserved: bool,
}

/// The highest priorities among waiting jobs; `None` if there are no such jobs.
pub(super) struct HighestWaiting {
    /// Among all waiting jobs.
    pub(super) any: Option<Priority>,
    /// Among waiting jobs that fit into their team's guarantee.
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

/// Quota withheld from a team's jobs up to a priority.
pub(super) struct WithheldQuota {
    pub(super) amount: Resources,
    pub(super) highest_priority: Priority,
}

/// What a job uses of its team's quota, and when that ends.
pub(super) struct EndingUsage {
    /// Time within which the job's present attempts are expected to end.
    pub(super) within: Micros,
    pub(super) amount: Resources,
}

/// State of one pass, shared by all jobs.
///
/// Everything that depends on all machines or all tasks is computed once for all jobs. Computing it for each job
/// would take a time proportional to machines times jobs, and with hundreds of each use up a small controller's
/// processor.
pub(super) struct PlacementPass {
    pub(super) candidates: Vec<CandidateMachine>,
    /// True if the tasks of all waiting jobs demand CPUs.
    pub(super) all_need_cpus: bool,
    /// Indices of candidates with free capacity: with free CPUs, if all tasks demand them.
    pub(super) with_capacity: Vec<usize>,
    /// Indices of candidates on which attempts are being stopped.
    pub(super) with_stopping: Vec<usize>,
    /// Number of candidates reserved for overdue jobs.
    pub(super) reserved: usize,
    /// Demands that no candidate had capacity for. They aren't tried again, since free capacity only shrinks during a
    /// pass.
    pub(super) unplaceable: Vec<Resources>,
    /// Resources that each team may still use within its limit, in the order of the configured teams.
    pub(super) quota_left: Vec<Resources>,
    /// Parts of each team's remaining quota that are withheld for its overdue jobs.
    pub(super) withheld_quota: Vec<Vec<WithheldQuota>>,
    /// Usage of each team's quota that ends by itself; computed when the first overdue job doesn't fit its quota.
    pub(super) ending_usage: Option<Vec<Vec<EndingUsage>>>,
    /// Attempts that could be preempted; computed when the first job tries to preempt.
    pub(super) preemptable: Option<Vec<PreemptableAttempt>>,
    /// Thousandths of a CPU that each team uses beyond its guarantee; negative if it uses less.
    pub(super) borrowed_cpu: Vec<i64>,
    /// Jobs that don't fit into their team's guarantee together with the team's older jobs.
    pub(super) over_guarantee: BTreeSet<JobId>,
    /// The lowest priority among jobs with a task that is bound to a machine.
    pub(super) lowest_bound_priority: Option<Priority>,
    pub(super) highest_waiting: HighestWaiting,
}

/// An attempt that could be preempted.
pub(super) struct PreemptableAttempt {
    /// Processor time that a preemption would lose: run time so far times demanded CPUs, in microseconds times
    /// thousandths of a CPU.
    pub(super) lost_cpu_time: u64,
    /// Index of the attempt's machine among the pass's candidates.
    pub(super) candidate: usize,
    pub(super) key: AttemptKey,
    pub(super) demand: Resources,
    pub(super) team: usize,
    pub(super) priority: Priority,
    /// True once this pass has chosen the attempt for preemption.
    pub(super) preempted: bool,
}
