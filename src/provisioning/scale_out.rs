//! Scale-out: which machines are requested, and what comes of the requests.

use super::capacity_plan::CapacityPlan;
use super::{ListStatus, Offer, ProvisioningRequest, ProvisioningResult};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::Machine;
use std::collections::BTreeMap;

/// Machines in one request.
pub(super) const MAX_REQUESTED: u32 = 50;

/// Machines that one plan asks for: ten requests. The next plan follows once these are answered.
const MAX_WANTED: u32 = 10 * MAX_REQUESTED;

/// Plans are at least this long apart for each machine: one looks at every task on every machine.
const PLAN_SPACING: Micros = Micros(500);

impl SchedulerState {
    /// Adds the requests that waiting work needs beyond the machines that are there and on their way.
    pub fn plan_scale_out(&mut self, now: Moment) {
        let spacing = Micros(PLAN_SPACING.0 * self.machines.len() as u64);
        let provisioning = &mut self.provisioning;
        let planned_lately = provisioning
            .last_planned_at
            .is_some_and(|t| now - t < spacing);
        if !provisioning.has_machine_list || !provisioning.requests.is_empty() || planned_lately {
            return;
        }
        provisioning.last_planned_at = Some(now);
        for (offer, count) in self.all_wanted_offers(now) {
            let mut left = count;
            while left > 0 {
                let count = left.min(MAX_REQUESTED);
                left -= count;
                self.provisioning
                    .add_request(self.term, offer.clone(), count);
            }
        }
    }

    /// What waiting work wants, else headroom, and headroom for replicas in any case.
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

    /// Plans the waiting tasks, in queue order, on what is there and on its way; a task
    /// that would start too late there asks for a new machine.
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
        // Whoever aims at starting times wants every start as soon as a machine can be had.
        let starts_at_once = self.aims_at_waits();
        let mut plan = CapacityPlan::new(forecasts, self.quota_left(), offers, starts_at_once);
        for (_, id) in order {
            self.plan_job(id, &mut plan, now);
            if plan.wanted_count() >= MAX_WANTED {
                break;
            }
        }
        plan.wanted
    }

    /// True for a machine on which tasks can be planned.
    fn counts_as_capacity(&self, m: &Machine, now: Moment) -> bool {
        m.stays() && m.list_status != Some(ListStatus::Failed) && !self.is_unresponsive(m, now)
    }

    /// Settles a request's answer; a request that is unknown, or settled already, is left alone.
    pub fn apply_provisioning_result(
        &mut self,
        name: &str,
        result: ProvisioningResult,
        now: Moment,
    ) {
        let Some(at) = self.provisioning.find_request(name) else {
            return;
        };
        match result {
            ProvisioningResult::Unknown => {}
            ProvisioningResult::NoCapacity => {
                let request = self.provisioning.requests.remove(at);
                self.provisioning.note_no_capacity(request.offer, now);
            }
            ProvisioningResult::Granted(names) => {
                let request = self.provisioning.requests.remove(at);
                if names.len() < request.count as usize {
                    self.provisioning
                        .note_no_capacity(request.offer.clone(), now);
                }
                self.add_granted_machines(&request, names, now);
            }
        }
    }

    /// Adds the machines that a request was granted, unless they are known or gone already.
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
            let mut m = Machine::new(&name, &request.type_name, zone, *spot, capacity, now);
            m.list_status = Some(ListStatus::Starting);
            m.last_listed = Some(now);
            m.existed_at = Some(now);
            self.machines.insert(name, m);
        }
    }
}
