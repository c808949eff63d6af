//! The leader's decision on a heartbeat: whether it is accepted, and the reply.

use super::command_log::{CommandPath, Recipient, log_commands};
use super::reconciliation::ReportSource;
use super::wire::{Heartbeat, WorkerCommand};
use super::{FencingToken, Machine};
use crate::scheduler::SchedulerState;
use crate::time::Moment;

/// The leader's decision on a heartbeat.
#[derive(Debug, PartialEq, Eq)]
pub enum HeartbeatReply {
    /// The heartbeat is answered with these commands, which renews the machine's lease.
    Commands {
        /// The fencing token that the worker will hold from then on.
        fencing_token: FencingToken,
        /// What the worker is to do, in this order.
        commands: Vec<WorkerCommand>,
    },
    /// The heartbeat was taken in but must not be answered, so that the machine's agent epoch ends.
    Withheld,
    /// The heartbeat is late, a copy, or of a machine that isn't accepted. It renews nothing.
    Stale,
    /// The worker has seen a higher fencing token than this leader's: another one leads.
    Deposed,
}

impl SchedulerState {
    /// Takes in a heartbeat and decides on the reply.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Moment) -> HeartbeatReply {
        if heartbeat.fencing_token > self.fencing.newest() {
            return HeartbeatReply::Deposed;
        }
        if !self.ensure_machine_known(heartbeat, now) || !self.accept_heartbeat(heartbeat, now) {
            return HeartbeatReply::Stale;
        }
        if self.must_withhold(&heartbeat.machine, now) {
            return HeartbeatReply::Withheld;
        }
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            machine.lease_renewed_at = now;
        }
        self.review_quarantine(&heartbeat.machine, now);
        self.release_prior_term(now);
        self.place_if_due(now);
        self.reply_with_commands(heartbeat, now)
    }

    /// Makes sure that the machine is known and queued for the registry. False if it is gone, or if there
    /// are too many machines.
    fn ensure_machine_known(&mut self, heartbeat: &Heartbeat, now: Moment) -> bool {
        if self.provisioning.is_gone(&heartbeat.machine) {
            return false;
        }
        if !self.machines.contains_key(&heartbeat.machine) {
            if self.machines.len() >= self.config.max_machines {
                return false;
            }
            self.add_machine(heartbeat, now);
        }
        let registered = self.register(&heartbeat.machine, now);
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            machine.registered = registered;
        }
        true
    }

    fn add_machine(&mut self, heartbeat: &Heartbeat, now: Moment) {
        let total = self.provisioning.capacity_of(&heartbeat.type_name);
        let mut machine = Machine::new(
            &heartbeat.machine,
            &heartbeat.type_name,
            &heartbeat.zone,
            heartbeat.spot,
            total,
            now,
        );
        machine.lease_renewed_at = self.started;
        // The heartbeat may be late and the machine gone: only a list or a provisioning request proves that it exists.
        machine.existed_at = self.prior_term.machines.get(&heartbeat.machine).copied();
        self.machines.insert(heartbeat.machine.clone(), machine);
    }

    /// Takes in a heartbeat that is newer than all others of its machine. False if it isn't, or if its agent
    /// epoch has ended.
    fn accept_heartbeat(&mut self, heartbeat: &Heartbeat, now: Moment) -> bool {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return false;
        };
        if heartbeat.agent_epoch < machine.agent_epoch()
            || (machine.unreachable && heartbeat.agent_epoch <= machine.agent_epoch())
        {
            return false;
        }
        let position = heartbeat.position();
        if position <= machine.newest_heartbeat {
            // A copy doesn't prove that its sender is alive.
            return false;
        }
        // The machine may take work again from here on.
        self.placement.due |= !machine.is_alive(self.config.heartbeat_interval, now);
        machine.note_heartbeat(position, now);
        // Otherwise a direct call's answer, with a newer list of tasks, overtook the heartbeat. The reply to
        // it is as good as any.
        if position > machine.reconciled_position {
            self.reconcile(heartbeat, ReportSource::Heartbeat, now);
        }
        true
    }

    fn reply_with_commands(&mut self, heartbeat: &Heartbeat, now: Moment) -> HeartbeatReply {
        let fencing_token = self.fencing_token_for(&heartbeat.machine);
        let commands = self.heartbeat_commands(&heartbeat.machine, now);
        let recipient = Recipient {
            machine: &heartbeat.machine,
            agent_epoch: heartbeat.agent_epoch,
            fencing_token,
        };
        log_commands(CommandPath::HeartbeatReply, &recipient, &commands);
        HeartbeatReply::Commands {
            fencing_token,
            commands,
        }
    }
}
