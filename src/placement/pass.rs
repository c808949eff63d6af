//! One placement pass over all waiting jobs.

use super::pass_state::{CandidateMachine, HighestWaiting, PlacementPass};
use super::queue_order::Queue;
use super::{FreeCapacity, QueueOrder};
use crate::jobs::JobId;
use crate::scheduler::SchedulerState;
use crate::time::Moment;
use std::collections::BTreeSet;

/// An overdue job has one in this many of its tasks, and at least one, placed before all other jobs.
const OVERDUE_TASKS_DIVISOR: u32 = 16;

/// One machine in this many, and one more, may be reserved for overdue jobs.
const MACHINES_PER_RESERVATION: usize = 32;

impl SchedulerState {
    /// Runs a pass if tasks may be assigned now, a pass is due, and the spacing since the last one has elapsed.
    pub fn place_if_due(&mut self, now: Moment) {
        if self.permissions().assign && self.placement.may_run(self.machines.len(), now) {
            self.run_placement_pass(now);
        }
    }

    /// Runs one pass: binds waiting tasks to machines, and preempts attempts so that more of them can start.
    pub fn run_placement_pass(&mut self, now: Moment) {
        self.placement.begin_pass(now);
        let Queue {
            waiting,
            over_guarantee,
        } = self.queue(now);
        if waiting.is_empty() {
            return;
        }
        let mut pass = self.start_pass(over_guarantee, &waiting, now);
        for (order, id) in waiting {
            self.place_job(order, id, &mut pass, now);
        }
    }

    /// Computes the state of a pass that all waiting jobs share.
    fn start_pass(
        &self,
        over_guarantee: BTreeSet<JobId>,
        waiting: &[(QueueOrder, JobId)],
        now: Moment,
    ) -> PlacementPass {
        let candidates = self.candidates(now);
        let used = self.team_usage();
        let all_need_cpus = waiting.iter().all(|(_, id)| {
            let job = self.jobs.table.get(id);
            job.is_some_and(|job| job.spec.demand.cpu > 0)
        });
        let indices_of = |wanted: &dyn Fn(&CandidateMachine) -> bool| -> Vec<usize> {
            (0..candidates.len())
                .filter(|index| wanted(&candidates[*index]))
                .collect()
        };
        let bound = self.jobs.table.values().filter(|j| j.is_bound());
        let mut withheld_quota = Vec::new();
        withheld_quota.resize_with(self.config.teams.len(), Vec::new);
        PlacementPass {
            all_need_cpus,
            with_capacity: indices_of(&|c| c.free.cpu > 0 || !all_need_cpus),
            with_stopping: indices_of(&|c| c.future_free != c.free),
            reserved: 0,
            unplaceable: Vec::new(),
            quota_left: self.quota_left_after(&used),
            withheld_quota,
            ending_usage: None,
            preemptable: None,
            borrowed_cpu: self.borrowed_cpu(&used),
            over_guarantee,
            lowest_bound_priority: bound.map(|j| j.spec.priority).min(),
            highest_waiting: HighestWaiting::of(waiting),
            candidates,
        }
    }

    /// All usable machines, sorted by name.
    fn candidates(&self, now: Moment) -> Vec<CandidateMachine> {
        let usable = self.machines.values().filter(|m| self.is_usable(m, now));
        usable
            .map(|m| {
                let FreeCapacity {
                    free,
                    stopping,
                    report_bytes,
                } = self.capacity_left(m);
                CandidateMachine {
                    name: m.name.clone(),
                    free,
                    future_free: free.plus(stopping),
                    report_bytes,
                    reserved: false,
                }
            })
            .collect()
    }

    /// Binds as many of a job's waiting tasks as there is capacity for, and preempts other attempts for the rest.
    fn place_job(&mut self, order: QueueOrder, id: JobId, pass: &mut PlacementPass, now: Moment) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let Some(team) = job.team else { return };
        let (demand, priority) = (job.spec.demand, job.spec.priority);
        let mut ready = job.ready();
        let constrains_zones = job.spec.constrains_zones();
        let overdue = order.overdue.0;
        if overdue {
            ready = ready.min((job.spec.tasks / OVERDUE_TASKS_DIVISOR).max(1));
        }
        let mut zones = self.tasks_by_zone(id);
        let mut lacks_machine = false;
        for _ in 0..ready {
            if !demand.fits(pass.quota_for(team, priority)) {
                if overdue {
                    self.withhold_quota(id, pass, now);
                }
                break;
            }
            let Some(index) = self.choose_machine(id, pass, &zones) else {
                lacks_machine = true;
                if overdue && pass.reserved <= pass.candidates.len() / MACHINES_PER_RESERVATION {
                    self.reserve_machine(id, pass, &zones);
                }
                break;
            };
            let candidate = &mut pass.candidates[index];
            let Some(zone) = self.bind_next_task(id, candidate, overdue, now) else {
                return;
            };
            if constrains_zones {
                *zones.entry(zone).or_insert(0) += 1;
            }
            pass.quota_left[team] = pass.quota_left[team].minus(demand);
        }
        let waiting = self.request_start_watermark(id, now);
        if lacks_machine {
            self.preempt_for(order, id, waiting, pass, now);
        }
    }
}
