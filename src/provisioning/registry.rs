//! The machine registry: machines that may hold tasks, as the store keeps them for the next leader.

use crate::jobs::{PendingWrite, PendingWriteKind, page_write};
use crate::scheduler::SchedulerState;
use crate::time::Moment;

/// The key prefix of the registry's pages: machines that may hold tasks, and until when they surely existed,
/// by the writing controller's time of day.
pub const REGISTRY_PREFIX: &str = "fleet/";

impl SchedulerState {
    /// Sees to it that a machine is registered; true if it surely is on record already.
    pub(crate) fn register(&mut self, name: &str, now: Moment) -> bool {
        if !self.provisioning.registry.contains(name) {
            let existed_at = self.wall(now).0;
            self.provisioning.registry.put(name, existed_at);
            self.writes_due = true;
        }
        self.provisioning.registry.is_stored(name)
    }

    /// PagedMap of the registry that differ from what is stored; without `tidy` only those with new
    /// machines.
    pub fn pending_registry_writes(&self, tidy: bool) -> Vec<PendingWrite> {
        let due = self.provisioning.registry.pages_due(tidy).into_iter();
        due.map(|image| page_write(REGISTRY_PREFIX, image, PendingWriteKind::MachineRegistry))
            .collect()
    }
}
