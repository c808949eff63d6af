//! What earlier terms left behind, until it is reconciled with what workers report.

use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Machines and tasks of earlier terms of which this leader doesn't know yet what became of them.
#[derive(Debug, Default)]
pub struct PriorTerm {
    /// True once the tasks that earlier terms may have started may be started again: no attempt of theirs can
    /// be left that isn't known.
    pub released: bool,
    /// Registered machines that may hold attempts of earlier terms and are not reconciled.
    pub unreconciled: BTreeSet<String>,
    /// A moment at which each machine that an earlier term registered is known to have existed, by name.
    pub machines: BTreeMap<String, Moment>,
    /// True if some start watermarks on record can't be read: any task of an earlier term's job may have
    /// started.
    pub watermarks_unreadable: bool,
    /// The store's revision at which a controller of an earlier version last became leader, or 0 if none did.
    /// Such a controller drops the start watermarks of standing jobs, which it doesn't know.
    pub older_version_led_at: u64,
}

impl PriorTerm {
    /// Notes a machine that an earlier term registered, and a moment at which it is known to have existed.
    pub fn note_machine(&mut self, name: &str, existed_at: Moment) {
        self.unreconciled.insert(name.to_string());
        self.machines.insert(name.to_string(), existed_at);
    }
}
