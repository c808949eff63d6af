//! Scale-out: planning of requests for machines, and handling of their results.

use super::capacity_plan::CapacityPlan;
use super::{ListStatus, Offer, ProvisioningRequest, ProvisioningResult};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use std::collections::BTreeMap;

/// Maximum number of machines in one request.
pub(super) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Number of machines from which a plan isn't extended any further: ten requests. The next plan follows once these
/// have results.
const MAX_WANTED_MACHINES: u32 = 10 * MAX_MACHINES_PER_REQUEST;

/// Minimum time between two plans, per machine: a plan examines every task on every machine.
const PLAN_SPACING_PER_MACHINE: Micros = Micros(500);

impl SchedulerState {
    /// Adds requests for the machines that waiting tasks and headroom need beyond those that are up or booting.
    pub fn plan_scale_out(&mut self, now: Moment) {
        let spacing = Micros(PLAN_SPACING_PER_MACHINE.0 * self.machines.len() as u64);
        let provisioning = &mut self.provisioning;
        let planned_recently = provisioning
            .last_planned_at
            .is_some_and(|t| now - t < spacing);
        if !provisioning.has_machine_list || !provisioning.requests.is_empty() || planned_recently {
            return;
        }
        provisioning.last_planned_at = Some(now);
        for (offer, count) in self.all_wanted_offers(now) {
            let mut remaining = count;
            while remaining > 0 {
                let count = remaining.min(MAX_MACHINES_PER_REQUEST);
                remaining -= count;
                self.provisioning
                    .add_request(self.term, offer.clone(), count);
            }
        }
    }

    /// Machines wanted for waiting tasks or, if there are none, for headroom; and for the headroom of replicas in any
    /// case.
    fn all_wanted_offers(&self, now: Moment) -> BTreeMap<Offer, u32> {
        let mut wanted = self.wanted_for_waiting_work(now);
        if wanted.is_empty()
            && let Some(offer) = self.headroom_offer(now)
        {
            wanted.insert(offer, 1);
        }
        if let Some((offer, count)) = self.replica_offer(now) {
            let planned = wanted.entry(offer).or_insert(0);
            *planned = count.max(*planned);
        }
        wanted
    }

    /// Machines wanted for waiting tasks. The tasks are planned in queue order on the machines that are up or booting;
    /// a task that would start too late there wants a new machine.
    fn wanted_for_waiting_work(&self, now: Moment) -> BTreeMap<Offer, u32> {
        let offers = self.provisioning.offers();
        if !offers
            .iter()
            .any(|priced| self.provisioning.may_request(&priced.offer, now))
        {
            return BTreeMap::new();
        }
        let order = self.queue_order(now);
        if order.is_empty() {
            return BTreeMap::new();
        }
        let machines = self.machines.values();
        let counted = machines.filter(|m| self.counts_as_capacity(m, now));
        let forecasts = counted.filter_map(|m| self.forecast(m, now)).collect();
        // With an objective on waiting times, every task should start as soon as a machine can be up.
        let starts_at_once = self.has_array_wait_objective();
        let mut plan = CapacityPlan::new(forecasts, self.quota_left(), offers, starts_at_once);
        for (_, id) in order {
            self.plan_job(id, &mut plan, now);
            if plan.wanted_count() >= MAX_WANTED_MACHINES {
                break;
            }
        }
        plan.wanted
    }

    /// True for a machine on which tasks can be planned.
    fn counts_as_capacity(&self, m: &Machine, now: Moment) -> bool {
        m.is_serviceable()
            && m.list_status != Some(ListStatus::Failed)
            && !self.is_unresponsive(m, now)
    }

    /// Applies the result of a request; the result of a request that isn't open is ignored.
    pub fn apply_provisioning_result(
        &mut self,
        name: &str,
        result: ProvisioningResult,
        now: Moment,
    ) {
        let Some(index) = self.provisioning.find_request(name) else {
            return;
        };
        match result {
            ProvisioningResult::Unknown => {}
            ProvisioningResult::NoCapacity => {
                let request = self.provisioning.requests.remove(index);
                self.provisioning.note_no_capacity(request.offer, now);
            }
            ProvisioningResult::Granted(names) => {
                let request = self.provisioning.requests.remove(index);
                if names.len() < request.count as usize {
                    self.provisioning
                        .note_no_capacity(request.offer.clone(), now);
                }
                self.add_granted_machines(&request, names, now);
            }
        }
    }

    /// Adds the machines that were granted for a request, except those that are already known or gone.
    fn add_granted_machines(
        &mut self,
        request: &ProvisioningRequest,
        names: Vec<String>,
        now: Moment,
    ) {
        let capacity = self.provisioning.capacity_of(&request.type_name);
        for name in names {
            if self.provisioning.is_gone(&name) || self.machines.contains_key(&name) {
                continue;
            }
            let Offer { zone, spot, .. } = &request.offer;
            let mut machine = Machine::new(&name, &request.type_name, zone, *spot, capacity, now);
            machine.list_status = Some(ListStatus::Starting);
            machine.last_listed = Some(now);
            machine.existed_at = Some(now);
            self.machines.insert(name, machine);
        }
    }
}
