//! Fault in which the network delays direct commands for long, while it delivers heartbeats.

use crate::scheduler::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

/// Parameters and state of the fault in which direct commands are delayed.
#[derive(Debug, Default)]
pub struct DelayedCommands {
    /// Share of the direct commands that are delayed.
    pub(crate) share: f64,
    /// Range from which each delay is drawn.
    pub(crate) delay: Range<Time>,
    /// Time at which the fault ends.
    pub(crate) until: Time,
    /// For each node and worker, time at which the last delayed command between them is delivered. Commands that are
    /// delayed after it are delivered later, so that they keep their order.
    pub(crate) last: BTreeMap<(usize, SocketAddr), Time>,
}
