//! The machine registry: the machines that may hold tasks, kept in the store for the next leader.

use crate::jobs::{PendingWrite, PendingWriteKind, page_write};
use crate::scheduler::SchedulerState;
use crate::time::Moment;

/// Key prefix of the registry's pages. A page maps machines that may hold tasks to a moment until which each is known
/// to have existed, by the wall clock of the controller that wrote the page.
pub const REGISTRY_PREFIX: &str = "fleet/";

impl SchedulerState {
    /// Adds a machine to the registry unless it is there already; true if its registration is known to be stored.
    pub(crate) fn register(&mut self, name: &str, now: Moment) -> bool {
        if !self.provisioning.registry.contains(name) {
            let existed_at = self.wall(now).0;
            self.provisioning.registry.put(name, existed_at);
            self.writes_due = true;
        }
        self.provisioning.registry.is_stored(name)
    }

    /// Pages of the registry that differ from what is stored; without `tidy` only those with new machines.
    pub fn pending_registry_writes(&self, tidy: bool) -> Vec<PendingWrite> {
        let due = self.provisioning.registry.pages_due(tidy).into_iter();
        due.map(|image| page_write(REGISTRY_PREFIX, image, PendingWriteKind::MachineRegistry))
            .collect()
    }
}
