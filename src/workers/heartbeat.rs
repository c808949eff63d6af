//! Processing of a heartbeat by the leader: whether it is accepted, and which reply it gets.

use super::command_log::{CommandPath, Recipient, log_commands};
use super::reconciliation::ReportSource;
use super::wire::{Heartbeat, WorkerCommand};
use super::{FencingToken, Machine};
use crate::scheduler::SchedulerState;
use crate::time::Moment;

/// Outcome of processing a heartbeat.
#[derive(Debug, PartialEq, Eq)]
pub enum HeartbeatReply {
    /// The heartbeat is answered with these commands. The reply renews the machine's lease.
    Commands {
        /// Fencing token that the worker holds after it has received the reply.
        fencing_token: FencingToken,
        /// Commands to the worker, in the order of execution.
        commands: Vec<WorkerCommand>,
    },
    /// The heartbeat was processed but must not be answered, so that the machine's agent epoch ends.
    Withheld,
    /// The heartbeat is late, a duplicate, or from a machine that isn't accepted. It doesn't renew the lease.
    Stale,
    /// The worker has seen a higher fencing token than this leader's newest: another controller is the leader.
    HigherTokenSeen,
}

impl SchedulerState {
    /// Processes a heartbeat and decides on the reply.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Moment) -> HeartbeatReply {
        if heartbeat.fencing_token > self.fencing.newest() {
            return HeartbeatReply::HigherTokenSeen;
        }
        if !self.ensure_machine_known(heartbeat, now) || !self.accept_heartbeat(heartbeat, now) {
            return HeartbeatReply::Stale;
        }
        self.release_prior_term(now);
        let is_withheld = self.must_withhold(&heartbeat.machine, now)
            || self.must_end_prior_epoch(&heartbeat.machine, now);
        if !is_withheld {
            self.note_lease_renewal(heartbeat, now);
        }
        self.review_quarantine(&heartbeat.machine, now);
        self.place_if_due(now);
        if is_withheld {
            return HeartbeatReply::Withheld;
        }
        self.reply_with_commands(heartbeat, now)
    }

    /// Records that the reply to this heartbeat renews the machine's lease.
    fn note_lease_renewal(&mut self, heartbeat: &Heartbeat, now: Moment) {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        machine.lease_renewed_at = now;
        if !machine.reconciled {
            machine.early_replies.note_sent(now);
            log::debug!(
                term = self.term,
                machine = heartbeat.machine,
                agent_epoch = heartbeat.agent_epoch,
                fencing_token = heartbeat.fencing_token;
                "lease of unreconciled machine renewed"
            );
        }
    }

    /// Adds the machine if it is unknown, and queues it for the registry. Returns false if the machine no longer
    /// exists, or if the limit on the number of machines is reached.
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
            if machine.last_seen.is_none() {
                self.prior_term.note_first_heartbeat(&heartbeat.machine);
            }
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
        // The heartbeat may be late and the machine may no longer exist: only the cloud's machine list or a
        // provisioning request proves its existence.
        machine.existed_at = self.prior_term.machines.get(&heartbeat.machine).copied();
        self.machines.insert(heartbeat.machine.clone(), machine);
    }

    /// Accepts and applies a heartbeat that is newer than all others of its machine. Returns false if it isn't
    /// newer, or if its agent epoch has ended.
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
            // A duplicate doesn't prove that its sender is alive.
            return false;
        }
        // From here on the machine counts as alive, so tasks may be placed on it again.
        self.placement.due |= !machine.is_alive(self.config.heartbeat_interval, now);
        machine.note_heartbeat(position, now);
        if heartbeat.fencing_token < FencingToken::of_term(self.term) {
            machine.early_replies.note_lost(now);
        }
        // Otherwise the answer to a direct call, with a newer list of tasks, overtook the heartbeat. Its list of
        // tasks is outdated then, but a reply to it is as valid as to any other heartbeat.
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
