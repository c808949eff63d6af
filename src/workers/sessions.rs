//! Worker sessions: they end with their lease, and everything on the machine with them.

use crate::scheduler::SchedulerState;
use crate::time::Moment;

impl SchedulerState {
    /// A suspected machine is asked directly; one whose session lasts is heard and hears.
    pub(super) fn review_suspicion(&mut self, name: &str, now: Moment) {
        let span = self.lease_span();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(suspicion) = machine.suspicion else {
            return;
        };
        if suspicion.is_refuted(span, now) {
            machine.suspicion = None;
            self.placement.due = true;
        } else if suspicion.may_probe(now) {
            self.commands.due.insert(name.to_string());
        }
    }

    /// Everything the machine had in its session is gone.
    pub fn end_epoch(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.rooms.set(None);
        machine.orphans.clear();
        self.fencing.forget(name);
        for (key, attempt) in std::mem::take(&mut machine.attempts) {
            if attempt.delivery.unconfirmed().is_some() {
                self.fencing.counters.ended_by_session += 1;
            }
            if attempt.holds()
                && let Some(job) = self.jobs.table.get_mut(&key.0)
            {
                job.unbind(key.1);
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
            .filter(|m| !m.lost && m.last_report.is_some() && now - m.lease_from >= span)
            .map(|m| m.name.clone())
            .collect();
        for name in expired {
            if let Some(machine) = self.machines.get_mut(&name) {
                log::info!(
                    "session over: machine={name} session={} reason=lease renewed_s_ago={:.3}",
                    machine.agent_epoch,
                    (now - machine.lease_from).as_secs_f64()
                );
                machine.lost = true;
                machine.epoch_over = true;
                machine.idle_since = None;
            }
            self.end_epoch(&name);
        }
        self.release_prior_term(now);
    }
}
