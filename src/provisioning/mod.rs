//! Provisioning: requests for machines to the cloud, and returns of machines that aren't needed.
//!
//! [Scale-out](crate::scheduler::SchedulerState::plan_scale_out) plans waiting tasks on the machines that are up
//! or booting, and requests the machines that are missing; headroom is kept where objectives ask for it.
//! [Scale-in](crate::scheduler::SchedulerState::plan_scale_in) chooses machines to return. The leader reconciles its
//! machines with the cloud's machine list, which also proves that machines are gone.

#![warn(missing_docs)]

mod capacity_plan;
mod catalog;
mod catalog_loop;
mod cloud_client;
mod cloud_sync_loop;
mod headroom;
mod machine_list;
mod registry;
mod request;
mod scale_in;
mod scale_out;
mod state;
pub mod wire;

pub use catalog::{ListStatus, MachineType, Offer};
pub use registry::REGISTRY_PREFIX;
pub use request::{ProvisioningRequest, ProvisioningResult};
pub use state::Provisioning;
