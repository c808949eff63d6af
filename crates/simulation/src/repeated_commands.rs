//! Fault in which the network repeats direct commands that workers have already executed.

use crate::scheduler::Time;
use std::ops::Range;

/// Parameters of the fault in which direct commands are repeated.
#[derive(Debug, Default)]
pub struct RepeatedCommands {
    /// Share of the direct commands that are repeated.
    pub(crate) share: f64,
    /// Range from which the delay of each copy is drawn.
    pub(crate) delay: Range<Time>,
    /// Time at which the fault ends.
    pub(crate) until: Time,
}
