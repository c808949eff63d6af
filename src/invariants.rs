//! Invariants of the scheduler that are checked at run time.
//!
//! A violation is counted, and logged at level `error` with its evidence. It doesn't end the process, because an
//! outage would do more harm. Tests fail if the count isn't zero or the log line appears.

#![warn(missing_docs)]

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A safety property whose violation a single leader can detect on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No start command of a cancelled job can be executed after the time limit of the cancellation. It is violated
    /// if such a command wasn't revoked in time.
    CancelledStartNotRevoked,
    /// No task of a cancelled job starts after the time limit of the cancellation. It is violated if a worker reports
    /// such a task for the first time after that.
    CancelledTaskStartedLate,
    /// A start command is dropped, and its task started on another machine, only with proof that the command can no
    /// longer be executed. It is violated if the command could still be executed.
    ReleasedWithoutProof,
}

impl Invariant {
    /// Value of the log field `invariant`.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::CancelledStartNotRevoked => "cancelled_start_not_revoked",
            Invariant::CancelledTaskStartedLate => "cancelled_task_started_late",
            Invariant::ReleasedWithoutProof => "released_without_proof",
        }
    }
}

/// Number of violations since the process started.
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Logs and counts a violation. `evidence` is a list of log fields in the form `key=value` that identify the job,
/// machine or attempt concerned.
pub fn report_violation(invariant: Invariant, evidence: fmt::Arguments<'_>) {
    let count = VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1;
    log::error!(
        "invariant violated: invariant={} violations={count} {evidence}",
        invariant.name()
    );
}

/// Total number of violations of all invariants since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
