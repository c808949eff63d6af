//! Release of the tasks of earlier terms for placement.

use super::SchedulerState;
use crate::time::Moment;

impl SchedulerState {
    /// Releases tasks of earlier terms for placement once no unreconciled machine can hold them any more.
    ///
    /// A task starts only on a registered machine, and only after a start watermark covers it. Tasks above the
    /// watermarks were therefore never started, and the others can only be on registered machines. Once each of
    /// these machines was reconciled in this term, or its agent epoch has certainly ended, no task is
    /// unreconciled, and the release doesn't wait for a full lease to expire.
    pub fn release_prior_term(&mut self, now: Moment) {
        if self.prior_term.released {
            return;
        }
        let machines = &self.machines;
        let provisioning = &self.provisioning;
        self.prior_term.unreconciled.retain(|name| {
            let reconciled = machines
                .get(name)
                .is_some_and(|m| m.reconciled || m.epoch_ended);
            !reconciled && !provisioning.is_gone(name)
        });
        let lease_expired = now - self.started >= self.max_lease_duration();
        if !lease_expired && !self.prior_term.unreconciled.is_empty() {
            return;
        }
        log::info!(
            term = self.term,
            unreconciled_machines = self.prior_term.unreconciled.len();
            "tasks of earlier terms released for placement"
        );
        for name in std::mem::take(&mut self.prior_term.unreconciled) {
            if !self.machines.contains_key(&name) {
                self.provisioning.registry.remove(&name);
                self.prior_term.machines.remove(&name);
            }
        }
        self.prior_term.released = true;
        self.placement.due = true;
        for job in self.jobs.table.values_mut() {
            job.end_reconciliation();
        }
    }
}
