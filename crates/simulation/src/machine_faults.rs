//! What happens to machines: they freeze, lose their network, are taken back or die.

use crate::machine::{LISTED_AFTER_DEATH_S, Machine, is_active};
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::SimulationState;
use crate::worker_protocol::split_task_id;
use aspenreel::workers::wire::TaskStatus;
use std::sync::Arc;

impl Simulation {
    /// Machines that are up now, by name.
    pub fn machines_up(&self) -> Vec<String> {
        let now = self.now();
        let state = self.state();
        let up = state.machines.values().filter(|m| m.up(now));
        up.map(|m| m.name.clone()).collect()
    }

    /// Machines that hold a task of the job.
    pub fn machines_with_tasks_of(&self, id: &str) -> Vec<String> {
        let state = self.state();
        let holds = |m: &&Machine| {
            let mut held = m.tasks.iter();
            held.any(|((p, _), t)| split_task_id(p).0 == id && t.status != TaskStatus::Exited)
        };
        let found = state.machines.values().filter(|m| m.alive()).filter(holds);
        found.map(|m| m.name.clone()).collect()
    }

    /// Changes these machines, for `span` seconds.
    pub fn change_machines(
        &self,
        names: &[String],
        span: f64,
        change: impl Fn(&mut Machine, Time),
    ) {
        let until = self.now() + secs(span);
        {
            let mut state = self.state();
            for name in names {
                if let Some(m) = state.machines.get_mut(name) {
                    change(m, until);
                }
            }
        }
        self.note_fault(span);
    }

    /// The machines stand still, and go on after it.
    pub fn freeze_machines(&self, names: &[String], span: f64) {
        let now = self.now();
        self.change_machines(names, span, |m, until| {
            m.frozen_since = now;
            m.frozen_until = until;
        });
    }

    /// The machines' network is cut; `holds`: what it stops is delivered in the end.
    pub fn cut_machines(&self, names: &[String], span: f64, delivers_after_cut: bool) {
        self.change_machines(names, span, |m, until| {
            m.cut_until = until;
            m.delivers_after_cut = delivers_after_cut;
        });
    }

    /// What the machines send is lost.
    pub fn drop_outbound(&self, names: &[String], span: f64) {
        self.change_machines(names, span, |m, until| m.outbound_dropped_until = until);
    }

    /// What is sent to the machines is lost.
    pub fn drop_inbound(&self, names: &[String], span: f64) {
        self.change_machines(names, span, |m, until| m.inbound_dropped_until = until);
    }

    /// The cloud takes spot machines, after a notice.
    pub fn give_preemption_notice(self: &Arc<Self>, names: &[String], notice: f64) {
        self.change_machines(names, notice, |m, until| m.preempted_at = Some(until));
        for name in names {
            self.heartbeat_soon(name);
            let name = name.clone();
            self.after(secs(notice), move |sim| {
                sim.remove_machine(&name, |m, now| m.gone_at = Some(now));
            });
        }
    }

    /// Machines stop for good; nobody is told.
    pub fn kill_machines(&self, names: &[String]) {
        for name in names {
            self.remove_machine(name, |m, now| m.died_at = Some(now));
        }
        self.note_fault(LISTED_AFTER_DEATH_S);
    }

    pub(crate) fn remove_machine(&self, name: &str, change: impl Fn(&mut Machine, Time)) {
        let now = self.now();
        let mut state = self.state();
        let SimulationState {
            machines, checker, ..
        } = &mut *state;
        let Some(m) = machines.get_mut(name).filter(|m| m.gone_at.is_none()) else {
            return;
        };
        change(m, now);
        for ((task_id, _), task) in std::mem::take(&mut m.tasks) {
            if is_active(&task) {
                let (id, n) = split_task_id(&task_id);
                checker.task_stopped(id, n, name, false);
            }
        }
    }
}
