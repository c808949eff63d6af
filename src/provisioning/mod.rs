//! Provisioning: which machines the leader wants, requests from the cloud, and returns to it.
//!
//! [Scale-out](crate::scheduler::SchedulerState::plan_scale_out) plans waiting tasks on the machines that are there
//! and on their way, and requests what is missing; headroom is kept where objectives ask for it.
//! [Scale-in](crate::scheduler::SchedulerState::plan_scale_in) chooses machines to return. The cloud's machine list
//! is reconciled with what the leader knows, and proves machines to be gone.

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
