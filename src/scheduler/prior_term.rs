//! What earlier terms left behind, until it is reconciled with what workers report.

use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Machines and tasks of earlier terms of which this leader doesn't know yet what became of them.
#[derive(Debug, Default)]
pub struct PriorTerm {
    /// Tasks of earlier terms may be placed again: nothing is left that may still run them.
    pub released: bool,
    /// Registered machines that may hold tasks of earlier terms and are not reconciled.
    pub unreconciled: BTreeSet<String>,
    /// The latest moment at which each machine registered by an earlier term is known to have existed.
    pub machines: BTreeMap<String, Moment>,
    /// A page of start watermarks was unreadable: any task of an earlier job may have started.
    pub watermarks_lost: bool,
    /// Store revision at which a controller of an earlier version last took the lead, 0 if none did. Such a
    /// controller drops the start watermarks of standing jobs, which it doesn't know.
    pub older_version_led_at: u64,
}

impl PriorTerm {
    /// Notes a registered machine, and the latest moment at which it is known to have existed.
    pub fn note_machine(&mut self, name: &str, existed_at: Moment) {
        self.unreconciled.insert(name.to_string());
        self.machines.insert(name.to_string(), existed_at);
    }
}
