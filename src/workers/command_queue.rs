//! Machines to which commands should go at once, instead of with their next heartbeat's reply.

use crate::jobs::JobId;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Which machines wait for direct commands, and how many calls are under way.
#[derive(Debug, Default)]
pub struct CommandQueue {
    /// Machines to be called as soon as a sender is free.
    pub due: BTreeSet<String>,
    /// Machines with tasks whose start waits until the job's start watermark is on record.
    pub awaiting_watermark: BTreeMap<JobId, BTreeSet<String>>,
    /// When each call that is under way began.
    pub calls_in_flight: Vec<Moment>,
}
