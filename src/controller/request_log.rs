//! Log lines about the requests of users and workers: how many were answered, from which source, and how many were
//! refused.

use super::Controller;
use crate::jobs::StatusTotals;
use crate::time::{Micros, Moment};
use std::sync::atomic::Ordering;

/// Minimum time between two summaries at level `debug`.
const SUMMARY_INTERVAL: Micros = Micros::from_secs(10);
/// Minimum time between two warnings.
const WARNING_INTERVAL: Micros = Micros::from_secs(60);

/// Totals of the requests that this controller did not answer, or answered late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Failures {
    unanswered_status_requests: u64,
    refused_connections: u64,
    rejected_requests: u64,
    late_responses: u64,
}

/// What was last logged about requests.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    summarized_at: Moment,
    warned_at: Moment,
    failures_at_warning: Failures,
}

impl RequestLog {
    /// Logs the summary and the warning that are due.
    pub(super) fn log_if_due(&mut self, controller: &Controller, now: Moment) {
        if log::log_enabled!(log::Level::Debug) && now - self.summarized_at > SUMMARY_INTERVAL {
            self.summarized_at = now;
            log_summary(controller);
        }
        if now - self.warned_at > WARNING_INTERVAL {
            self.warned_at = now;
            self.warn_about_failures(controller);
        }
    }

    /// Warns about requests that were not answered in time since the last warning.
    fn warn_about_failures(&mut self, controller: &Controller) {
        let failures = Failures::of(controller);
        let earlier = std::mem::replace(&mut self.failures_at_warning, failures);
        if failures == earlier {
            return;
        }
        log::warn!(
            unanswered_status_requests =
                failures.unanswered_status_requests - earlier.unanswered_status_requests,
            refused_connections = failures.refused_connections - earlier.refused_connections,
            rejected_requests = failures.rejected_requests - earlier.rejected_requests,
            late_responses = failures.late_responses - earlier.late_responses;
            "requests not answered"
        );
    }
}

impl Failures {
    fn of(controller: &Controller) -> Failures {
        let server = &controller.server_metrics;
        Failures {
            unanswered_status_requests: controller.status_metrics.totals().unanswered,
            refused_connections: server.refused_connections.load(Ordering::Relaxed),
            rejected_requests: server.rejected_requests.load(Ordering::Relaxed),
            late_responses: server.late_responses.load(Ordering::Relaxed),
        }
    }
}

fn log_summary(controller: &Controller) {
    let server = &controller.server_metrics;
    let status: StatusTotals = controller.status_metrics.totals();
    log::debug!(
        open = server.open_connections.load(Ordering::Relaxed),
        workers = server.low_priority_connections.load(Ordering::Relaxed),
        refused = server.refused_connections.load(Ordering::Relaxed),
        rejected_requests = server.rejected_requests.load(Ordering::Relaxed),
        longest_queue_wait_ms = server.take_longest_queue_wait().as_millis() as u64;
        "connections"
    );
    log::debug!("status requests: {status}");
}
