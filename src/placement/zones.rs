//! On which machines the tasks of a job may run: type, zone, spot, and the zones of the job's other tasks.

use crate::jobs::JobSpec;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::workers::{AttemptKey, Machine};
use std::collections::BTreeMap;

/// How many tasks of a job each zone has; empty for a job whose tasks may be in any zones.
pub(crate) type TasksByZone = BTreeMap<String, u32>;

impl JobSpec {
    /// True if any machine with enough capacity will do.
    pub(super) fn is_unconstrained(&self) -> bool {
        self.spot && self.zone.is_none() && self.machine_types.is_none() && !self.constrains_zones()
    }

    /// True if the zones of the job's tasks depend on one another.
    pub(crate) fn constrains_zones(&self) -> bool {
        self.same_zone || self.spread
    }

    /// True if its tasks may run on such a machine, whatever the job's other tasks do.
    pub(crate) fn allows(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| t == type_name))
    }
}

impl Job {
    /// True if one more task may go to the zone beside those that are placed already.
    pub(crate) fn zone_allowed(&self, zone: &str, zones: &TasksByZone) -> bool {
        if !self.spec.constrains_zones() {
            return true;
        }
        // What an unreconciled machine may run may be in any zone.
        let unreconciled = self.maybe_unreconciled();
        if self.spec.same_zone && (unreconciled > 0 || zones.keys().any(|z| z != zone)) {
            return false;
        }
        // A job that is spread has at most half of its tasks in one zone.
        let most = self.spec.tasks.div_ceil(2);
        !self.spec.spread || zones.get(zone).copied().unwrap_or(0) + unreconciled < most
    }

    /// True if one more task may run on the machine, were it empty.
    pub(super) fn allows_machine(&self, m: &Machine, zones: &TasksByZone) -> bool {
        self.spec.allows(&m.type_name, &m.zone, m.spot) && self.zone_allowed(&m.zone, zones)
    }
}

impl SchedulerState {
    /// How many attempts of the job hold capacity in each zone; empty if its zones are unconstrained.
    pub(crate) fn tasks_by_zone(&self, id: JobId) -> TasksByZone {
        let mut zones = TasksByZone::new();
        let Some(job) = self.jobs.table.get(&id) else {
            return zones;
        };
        if !job.spec.constrains_zones() {
            return zones;
        }
        for m in self.machines.values() {
            let tasks = m
                .attempts
                .range(AttemptKey::range_of_job(id))
                .filter(|(_, a)| a.holds_resources())
                .count() as u32;
            if tasks > 0 {
                *zones.entry(m.zone.clone()).or_insert(0) += tasks;
            }
        }
        zones
    }
}
