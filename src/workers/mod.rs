//! Workers: their reports, sessions and leases, and the orders that follow from the difference
//! between what is wanted of a machine and what it reports.

mod absence;
mod command_log;
mod command_queue;
mod commands;
pub mod delivery;
pub mod direct;
pub mod edge;
mod evidence;
mod exits;
pub mod fencing;
mod machine;
mod sessions;
pub mod wire;

pub use command_queue::CommandQueue;
pub use delivery::DeliveryStatus;
pub use machine::{Attempt, AttemptKey, DesiredState, Image, Machine, Orphan, Suspicion};

use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use command_log::{CommandPath, Recipient, log_commands};
use wire::{Heartbeat, WorkerCommand};

/// What a heartbeat is answered with.
#[derive(Debug, PartialEq, Eq)]
pub enum HeartbeatReply {
    /// 200 with these orders, under this token.
    Commands {
        fencing_token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// It must not be answered, so that its session ends.
    Withheld,
    /// A late or repeated report: it renews nothing.
    Stale,
    /// The worker has seen a higher token than ours.
    Deposed,
}

impl SchedulerState {
    /// Takes in a report and answers with what the machine is to do.
    pub fn heartbeat(&mut self, report: &Heartbeat, now: Moment) -> HeartbeatReply {
        if report.fencing_token > self.fencing.newest() {
            return HeartbeatReply::Deposed;
        }
        if self.provisioning.is_gone(&report.machine) {
            return HeartbeatReply::Stale;
        }
        if !self.machines.contains_key(&report.machine) {
            if self.machines.len() >= self.config.max_machines {
                return HeartbeatReply::Stale;
            }
            let total = self.provisioning.capacity_of(&report.type_name);
            let mut machine = Machine::new(
                &report.machine,
                &report.type_name,
                &report.zone,
                report.spot,
                total,
                now,
            );
            machine.lease_from = self.started;
            // A report may be late, and its machine gone: only a list or a rental proves more.
            machine.exists_since = self.prior_term.machines.get(&report.machine).copied();
            self.machines.insert(report.machine.clone(), machine);
        }
        let recorded = self.register(&report.machine, now);
        if let Some(machine) = self.machines.get_mut(&report.machine) {
            machine.recorded = recorded;
        }
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return HeartbeatReply::Stale;
        };
        if report.agent_epoch < machine.agent_epoch
            || (machine.lost && report.agent_epoch <= machine.agent_epoch)
        {
            // After an expired lease the session is over, whatever a late report says.
            return HeartbeatReply::Stale;
        }
        let seen = (report.agent_epoch, report.sequence);
        if seen <= machine.newest_heartbeat {
            // A copy: it renews nothing, and doesn't prove that its sender is alive.
            return HeartbeatReply::Stale;
        }
        // It may take work again from here on.
        self.placement.due |= !machine.is_alive(self.config.heartbeat_interval, now);
        machine.newest_heartbeat = seen;
        machine.heartbeat_gap = machine.last_heartbeat.map_or(Micros::ZERO, |t| now - t);
        machine.last_heartbeat = Some(now);
        if (report.agent_epoch, report.sequence) > (machine.agent_epoch, machine.sequence) {
            self.take_in(report, true, now);
        }
        // Else the answer of a direct call overtook this report, whose task list is older than
        // what is known; the answer to it is as good as any.
        if self.must_withhold(&report.machine, now) {
            return HeartbeatReply::Withheld;
        }
        if let Some(machine) = self.machines.get_mut(&report.machine) {
            machine.lease_from = now;
        }
        self.review_suspicion(&report.machine, now);
        self.release_prior_term(now);
        self.place_if_due(now);
        let fencing_token = self.fencing_token_for(&report.machine);
        let commands = self.commands(&report.machine, now);
        let to = Recipient {
            machine: &report.machine,
            agent_epoch: report.agent_epoch,
            fencing_token,
        };
        log_commands(CommandPath::HeartbeatAnswer, &to, &commands);
        HeartbeatReply::Commands {
            fencing_token,
            commands,
        }
    }
}
