//! Invariants of the scheduler that are checked while it runs.
//!
//! A violation is logged at level `error` with the facts that show it, and counted. It doesn't end the
//! process: an outage would do more harm. Tests fail on the count or on the log line.

#![warn(missing_docs)]

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A property of the design whose violation one leader can notice by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No start command of a cancelled job can be executed once the time for the cancellation is over.
    /// Violated: such a command had not been revoked by then.
    CancelledStartNotRevoked,
    /// No task of a cancelled job starts once the time for the cancellation is over. Violated: a
    /// heartbeat showed such a task for the first time.
    CancelledTaskStartedLate,
    /// A start command is forgotten, and its task started elsewhere, only when it is proven that the
    /// command can't be executed any more. Violated: it could be.
    ReleasedWithoutProof,
}

impl Invariant {
    /// The value of the log field `invariant`.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::CancelledStartNotRevoked => "cancelled_start_not_revoked",
            Invariant::CancelledTaskStartedLate => "cancelled_task_started_late",
            Invariant::ReleasedWithoutProof => "released_without_proof",
        }
    }
}

/// Violations since the process started.
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Logs and counts a violation. `evidence` is a list of log fields, `key=value`, that identify what
/// violates the invariant.
pub fn report_violation(invariant: Invariant, evidence: fmt::Arguments<'_>) {
    let count = VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1;
    log::error!(
        "invariant violated: invariant={} violations={count} {evidence}",
        invariant.name()
    );
}

/// The number of violations since the process started, of all invariants together.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
