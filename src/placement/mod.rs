//! Placement of waiting tasks on machines, and preemption of attempts for them.
//!
//! A [pass](crate::scheduler::SchedulerState::run_placement_pass) takes the waiting jobs in
//! [queue order](QueueOrder), draws candidate machines for each task, binds the task to the best one, and preempts
//! attempts of jobs that come later in that order where nothing fits. [`PlacementSchedule`] decides when a pass runs.

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
mod withheld_quota;
mod zones;

pub use queue_order::QueueOrder;
pub use resources::{FreeCapacity, Resources};
pub use schedule::PlacementSchedule;
