//! Machines to which commands should go at once instead of with the reply to their next heartbeat.

use crate::jobs::JobId;
use crate::time::{Micros, Moment};
use std::collections::{BTreeMap, BTreeSet};

/// The number of direct calls that may be in flight at once. An answer takes milliseconds; more calls would
/// only wait for the processor, and everything else with them.
const MAX_CALLS_IN_FLIGHT: usize = 4;
/// A call without an answer for this long doesn't count: the machine must be silent.
const SLOW_CALL_AFTER: Micros = Micros::from_millis(200);

/// Which machines wait for direct calls, and which calls are in flight.
#[derive(Debug, Default)]
pub struct CommandQueue {
    /// Names of machines to be called as soon as a call may be made.
    pub due: BTreeSet<String>,
    /// Names of machines with tasks whose start waits until the job's start watermark is on record.
    pub awaiting_watermark: BTreeMap<JobId, BTreeSet<String>>,
    /// When each call in flight began.
    pub calls_in_flight: Vec<Moment>,
}

impl CommandQueue {
    /// True if another direct call may be made.
    pub(super) fn may_call(&self, now: Moment) -> bool {
        let is_prompt = |began_at: &&Moment| now - **began_at < SLOW_CALL_AFTER;
        self.calls_in_flight.iter().filter(is_prompt).count() < MAX_CALLS_IN_FLIGHT
    }

    /// Notes that a call which began then isn't in flight any more.
    pub(super) fn call_ended(&mut self, began_at: Moment) {
        if let Some(index) = self.calls_in_flight.iter().position(|t| *t == began_at) {
            self.calls_in_flight.swap_remove(index);
        }
    }
}
