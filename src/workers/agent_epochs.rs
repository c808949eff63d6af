//! Worker sessions: they end with their lease, and everything on the machine with them.

use crate::scheduler::SchedulerState;
use crate::time::Moment;

impl SchedulerState {
    /// A suspected machine is asked directly; one whose session lasts is heard and hears.
    pub(super) fn review_quarantine(&mut self, name: &str, now: Moment) {
        let span = self.lease_span();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(quarantine) = machine.quarantine else {
            return;
        };
        if quarantine.is_refuted(span, now) {
            machine.quarantine = None;
            self.placement.due = true;
        } else if quarantine.may_probe(now) {
            self.commands.due.insert(name.to_string());
        }
    }

    /// Everything the machine had in its session is gone.
    pub fn end_epoch(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.free_resources.set(None);
        machine.orphans.clear();
        self.fencing.forget(name);
        for (key, attempt) in std::mem::take(&mut machine.attempts) {
            if attempt.delivery.unconfirmed().is_some() {
                self.fencing.counters.ended_by_epoch += 1;
            }
            if attempt.holds_resources()
                && let Some(job) = self.jobs.table.get_mut(&key.job)
            {
                job.unbind(key.task);
            }
        }
        self.placement.due = true;
    }

    /// Sessions end when nobody can have renewed their lease for its full time.
    pub fn expire_leases(&mut self, now: Moment) {
        let span = self.lease_span();
        let expired: Vec<String> = self
            .machines
            .values()
            .filter(|m| !m.unreachable && m.last_seen.is_some() && now - m.lease_renewed_at >= span)
            .map(|m| m.name.clone())
            .collect();
        for name in expired {
            if let Some(machine) = self.machines.get_mut(&name) {
                log::info!(
                    "session over: machine={name} session={} reason=lease renewed_s_ago={:.3}",
                    machine.agent_epoch,
                    (now - machine.lease_renewed_at).as_secs_f64()
                );
                machine.unreachable = true;
                machine.epoch_ended = true;
                machine.idle_since = None;
            }
            self.end_epoch(&name);
        }
        self.release_prior_term(now);
    }
}
