//! Where the tasks of a job may be: types, zones and kinds of machines.

use crate::jobs::JobSpec;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::workers::AttemptKey;
use std::collections::BTreeMap;

impl JobSpec {
    /// True if any machine will do that has the room.
    pub(super) fn anywhere(&self) -> bool {
        self.spot
            && self.zone.is_none()
            && self.machine_types.is_none()
            && !self.same_zone
            && !self.spread
    }

    /// Whether its tasks may run on such a machine at all.
    pub fn allows(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| t == type_name))
    }
}

impl SchedulerState {
    /// Tasks of the job by zone, done ones included where it is known.
    pub fn zones_of(&self, id: JobId) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        let Some(job) = self.jobs.table.get(&id) else {
            return zones;
        };
        if !job.spec.same_zone && !job.spec.spread {
            return zones;
        }
        for m in self.machines.values() {
            let here = m
                .attempts
                .range(AttemptKey::all_of(id))
                .filter(|(_, a)| a.holds_resources())
                .count() as u32;
            if here > 0 {
                *zones.entry(m.zone.clone()).or_insert(0) += here;
            }
        }
        zones
    }

    pub fn zone_allowed(job: &Job, zone: &str, zones: &BTreeMap<String, u32>) -> bool {
        if !job.spec.same_zone && !job.spec.spread {
            return true;
        }
        // What an unseen machine may run may be in any zone.
        let unreconciled = job.maybe_unreconciled();
        if job.spec.same_zone && (unreconciled > 0 || zones.keys().any(|z| z != zone)) {
            return false;
        }
        let most = job.spec.tasks.div_ceil(2);
        !job.spec.spread || zones.get(zone).copied().unwrap_or(0) + unreconciled < most
    }
}
