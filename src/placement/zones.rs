//! Constraints on the machines of a job's tasks: type, zone, spot, and the zones of the job's other tasks.

use crate::jobs::JobSpec;
use crate::jobs::{Job, JobId};
use crate::scheduler::SchedulerState;
use crate::workers::{AttemptKey, Machine};
use std::collections::BTreeMap;

/// Number of a job's tasks in each zone; empty for a job whose tasks may be in any zones.
pub(crate) type TasksByZone = BTreeMap<String, u32>;

impl JobSpec {
    /// True if the tasks may run on any machine with enough capacity.
    pub(super) fn is_unconstrained(&self) -> bool {
        self.spot && self.zone.is_none() && self.machine_types.is_none() && !self.constrains_zones()
    }

    /// True if the zones of the job's tasks depend on one another.
    pub(crate) fn constrains_zones(&self) -> bool {
        self.same_zone || self.spread
    }

    /// True if the job's tasks may run on a machine of this type, zone and kind, the zones of its other tasks not
    /// considered.
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
    /// True if one more task may run in the zone, given the zones of the tasks that are placed already.
    pub(crate) fn zone_allowed(&self, zone: &str, zones: &TasksByZone) -> bool {
        if !self.spec.constrains_zones() {
            return true;
        }
        // Tasks that unreconciled machines may still run may be in any zone.
        let unreconciled = self.maybe_unreconciled();
        if self.spec.same_zone && (unreconciled > 0 || zones.keys().any(|z| z != zone)) {
            return false;
        }
        // A job that is spread has at most half of its tasks in one zone.
        let max_in_zone = self.spec.tasks.div_ceil(2);
        !self.spec.spread || zones.get(zone).copied().unwrap_or(0) + unreconciled < max_in_zone
    }

    /// True if one more task may run on the machine, its free capacity not considered.
    pub(super) fn allows_machine(&self, machine: &Machine, zones: &TasksByZone) -> bool {
        self.spec
            .allows(&machine.type_name, &machine.zone, machine.spot)
            && self.zone_allowed(&machine.zone, zones)
    }
}

impl SchedulerState {
    /// Number of the job's attempts that hold capacity in each zone; empty if its zones are unconstrained.
    pub(crate) fn tasks_by_zone(&self, id: JobId) -> TasksByZone {
        let mut zones = TasksByZone::new();
        let Some(job) = self.jobs.table.get(&id) else {
            return zones;
        };
        if !job.spec.constrains_zones() {
            return zones;
        }
        for machine in self.machines.values() {
            let tasks = machine
                .attempts
                .range(AttemptKey::range_of_job(id))
                .filter(|(_, a)| a.holds_resources())
                .count() as u32;
            if tasks > 0 {
                *zones.entry(machine.zone.clone()).or_insert(0) += tasks;
            }
        }
        zones
    }
}
