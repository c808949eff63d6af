//! Machines and tasks of earlier terms, until they are reconciled with the reports of workers.

use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Machines and tasks of earlier terms whose current state is still unknown to this leader.
#[derive(Debug, Default)]
pub struct PriorTerm {
    /// True once tasks that earlier terms may have started may be started again, because none of their attempts can
    /// be left that this leader doesn't know.
    pub released: bool,
    /// Names of registered machines that may hold attempts of earlier terms and are not reconciled.
    pub unreconciled: BTreeSet<String>,
    /// Number of machines that were released only because their leases had expired.
    pub expired_machines: u32,
    /// Machines that an earlier term registered, by name, each with a time at which it is known to have existed.
    pub machines: BTreeMap<String, Moment>,
    /// True if a stored page of start watermarks or of the machine registry can't be decoded: any task of a job from an
    /// earlier term may have started.
    pub pages_unreadable: bool,
    /// Store revision at which a controller of an earlier version last became leader; 0 if none did. Such a
    /// controller drops the start watermarks of standing jobs, because it doesn't know this kind of job.
    pub older_version_led_at: u64,
}

impl PriorTerm {
    /// Adds a machine that an earlier term registered. It is known to have existed at `existed_at`.
    pub fn note_machine(&mut self, name: &str, existed_at: Moment) {
        self.unreconciled.insert(name.to_string());
        self.machines.insert(name.to_string(), existed_at);
    }

    /// Adds a machine whose first heartbeat in this term has arrived, if it isn't known which machines earlier terms
    /// registered: the reply renews its lease.
    pub fn note_first_heartbeat(&mut self, name: &str) {
        if self.pages_unreadable && !self.released {
            self.unreconciled.insert(name.to_string());
        }
    }
}
