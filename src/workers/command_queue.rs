//! Queue of machines that get commands in a direct call instead of in the reply to their next heartbeat.

use crate::jobs::JobId;
use crate::time::{Micros, Moment};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of direct calls in flight, without slow ones. An answer takes milliseconds; more calls would only
/// compete for the processor and delay all other work.
const MAX_CALLS_IN_FLIGHT: usize = 4;
/// Time after which a call without an answer no longer counts towards the limit: the machine is probably not
/// responding.
const SLOW_CALL_AFTER: Micros = Micros::from_millis(200);

/// Machines that wait for direct calls, and the calls in flight.
#[derive(Debug, Default)]
pub struct CommandQueue {
    /// Names of machines to call as soon as the limit on calls in flight allows it.
    pub due: BTreeSet<String>,
    /// Names of machines with tasks that can't start until the start watermark of their job is stored, by job.
    pub awaiting_watermark: BTreeMap<JobId, BTreeSet<String>>,
    /// Start time of each call in flight.
    pub calls_in_flight: Vec<Moment>,
}

impl CommandQueue {
    /// True if the limit on calls in flight allows another direct call.
    pub(super) fn may_call(&self, now: Moment) -> bool {
        let counts_towards_limit = |began_at: &&Moment| now - **began_at < SLOW_CALL_AFTER;
        self.calls_in_flight
            .iter()
            .filter(counts_towards_limit)
            .count()
            < MAX_CALLS_IN_FLIGHT
    }

    /// Removes the finished call that began at this time from the calls in flight.
    pub(super) fn call_ended(&mut self, began_at: Moment) {
        if let Some(index) = self.calls_in_flight.iter().position(|t| *t == began_at) {
            self.calls_in_flight.swap_remove(index);
        }
    }
}
