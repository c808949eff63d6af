//! Direct commands that the network holds back for long, while heartbeats are delivered.

use crate::scheduler::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

/// Which direct commands are held back, and for how long.
#[derive(Debug, Default)]
pub struct DelayedCommands {
    pub(crate) share: f64,
    pub(crate) delay: Range<Time>,
    pub(crate) until: Time,
    /// When the last command held on the way from a node to a worker is let go: those behind it follow.
    pub(crate) last: BTreeMap<(usize, SocketAddr), Time>,
}
