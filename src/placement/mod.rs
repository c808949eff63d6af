//! Placement: which waiting task goes to which machine, and which attempts are preempted for it.
//!
//! A [pass](crate::scheduler::SchedulerState::run_placement_pass) takes the waiting jobs in [queue order](QueueOrder), draws
//! candidate machines for each task, binds the task to the best one, and preempts lower work where nothing
//! fits. A pass runs when the [schedule](PlacementSchedule) says so.

#![warn(missing_docs)]

mod bin_packing;
mod binding;
mod machine_capacity;
mod pass;
mod pass_state;
mod preemption;
mod queue_order;
mod resources;
mod schedule;
mod team_quota;
mod zones;

pub use queue_order::QueueOrder;
pub use resources::{FreeCapacity, Resources};
pub use schedule::PlacementSchedule;
