//! What must hold at any time, checked while the service runs.
//!
//! A violation is one line at `error` with its evidence, and a counter. It never ends the process: whoever
//! tests the service makes it fail.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A rule of the design that can be seen to be broken from inside one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A start of a cancelled job could still be executed when its time was over.
    CancelledStartNotRevoked,
    /// A report shows a task of a cancelled job for the first time when its time was over.
    CancelledTaskStartedLate,
    /// A start was forgotten, or its task freed, while it could still be executed.
    ReleasedWithoutProof,
}

impl Invariant {
    /// The name by which logs tell it.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::CancelledStartNotRevoked => "cancelled_start_not_revoked",
            Invariant::CancelledTaskStartedLate => "cancelled_task_started_late",
            Invariant::ReleasedWithoutProof => "released_without_proof",
        }
    }
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Tells that an invariant was broken, and counts it.
pub fn report_violation(invariant: Invariant, evidence: fmt::Arguments<'_>) {
    let count = VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1;
    log::error!(
        "invariant violated: invariant={} violations={count} {evidence}",
        invariant.name()
    );
}

/// How many violations there were in this process.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
