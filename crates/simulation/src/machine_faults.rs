//! Faults of machines that tests can inject: freezes, network cuts, preemption and failure.

use crate::machine::{LISTED_AFTER_DEATH_S, Machine, is_active};
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::SimulationState;
use crate::worker_protocol::split_task_id;
use aspenreel::workers::FencingToken;
use aspenreel::workers::wire::TaskStatus;
use std::sync::Arc;

impl Simulation {
    /// Names of the machines that are up now.
    pub fn machines_up(&self) -> Vec<String> {
        let now = self.now();
        let state = self.state();
        let up = state.machines.values().filter(|m| m.up(now));
        up.map(|m| m.name.clone()).collect()
    }

    /// Names of the machines with an attempt of a task of the job that has not exited.
    pub fn machines_with_tasks_of(&self, id: &str) -> Vec<String> {
        let state = self.state();
        let has_task = |m: &&Machine| {
            let mut held = m.tasks.iter();
            held.any(|((p, _), t)| split_task_id(p).0 == id && t.status != TaskStatus::Exited)
        };
        let found = state
            .machines
            .values()
            .filter(|m| m.alive())
            .filter(has_task);
        found.map(|m| m.name.clone()).collect()
    }

    /// Applies a change to these machines. `change` gets the time `span` seconds from now, when the fault ends.
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

    /// Freezes the machines for `span` seconds. They resume after it.
    pub fn freeze_machines(&self, names: &[String], span: f64) {
        let now = self.now();
        self.change_machines(names, span, |m, until| {
            m.frozen_since = now;
            m.frozen_until = until;
        });
    }

    /// Cuts the network of the machines for `span` seconds. The messages that it stops are delivered after it if
    /// `delivers_after_cut` is true, otherwise they are lost.
    pub fn cut_machines(&self, names: &[String], span: f64, delivers_after_cut: bool) {
        self.change_machines(names, span, |m, until| {
            m.cut_until = until;
            m.delivers_after_cut = delivers_after_cut;
        });
    }

    /// Drops all messages that the machines send, for `span` seconds.
    pub fn drop_outbound(&self, names: &[String], span: f64) {
        self.change_machines(names, span, |m, until| m.outbound_dropped_until = until);
    }

    /// Drops all messages that are sent to the machines, for `span` seconds.
    pub fn drop_inbound(&self, names: &[String], span: f64) {
        self.change_machines(names, span, |m, until| m.inbound_dropped_until = until);
    }

    /// Restarts the workers of the machines: all their tasks end, and each worker is back after `span` seconds in its
    /// next agent epoch. It has forgotten its fencing token if `forgets_token` is true.
    pub fn restart_workers(self: &Arc<Self>, names: &[String], span: f64, forgets_token: bool) {
        for name in names {
            self.end_tasks_of(name);
        }
        self.change_machines(names, span, |m, until| {
            m.up_at = m.up_at.max(until);
            m.agent_epoch = m.agent_epoch.next();
            m.lease_started_at = m.up_at;
            m.in_flight = None;
            if forgets_token {
                m.fencing_token = FencingToken::NONE;
            }
        });
        for name in names {
            self.heartbeat_at(name, self.now() + secs(span));
        }
    }

    /// Gives the machines a preemption notice, and takes them back `notice` seconds later.
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

    /// Makes machines fail for good, without any message about it.
    pub fn kill_machines(&self, names: &[String]) {
        for name in names {
            self.remove_machine(name, |m, now| m.died_at = Some(now));
        }
        self.note_fault(LISTED_AFTER_DEATH_S);
    }

    /// Removes a machine together with its tasks, unless it is gone already. `change` records the time and the cause.
    pub(crate) fn remove_machine(&self, name: &str, change: impl Fn(&mut Machine, Time)) {
        let now = self.now();
        {
            let mut state = self.state();
            let Some(m) = state.machines.get_mut(name).filter(|m| m.gone_at.is_none()) else {
                return;
            };
            change(m, now);
        }
        self.end_tasks_of(name);
    }

    /// Ends all tasks on a machine without a report.
    fn end_tasks_of(&self, name: &str) {
        let mut state = self.state();
        let SimulationState {
            machines, checker, ..
        } = &mut *state;
        let Some(m) = machines.get_mut(name) else {
            return;
        };
        for ((task_id, _), task) in std::mem::take(&mut m.tasks) {
            if is_active(&task) {
                let (id, number) = split_task_id(&task_id);
                checker.task_stopped(id, number, name, false);
            }
        }
    }
}
