//! Workers: their heartbeats, agent epochs and leases, and the commands that follow from the difference
//! between what is desired of a machine and what its worker reports.
//!
//! - State: [`Machine`] with its [`Attempt`]s, [`CommandQueue`], [`fencing::Fencing`].
//! - Decisions: `heartbeat` accepts a heartbeat, `reconciliation` applies what it shows, `heartbeat_commands`
//!   makes the reply. `direct_calls` picks commands that go to a worker without waiting for its heartbeat,
//!   `direct_results` applies the answers. `agent_epochs` ends epochs whose lease expired, `revocation` revokes
//!   start commands that may still be executed.
//! - Handler and loop: `heartbeat_handler`, `command_sender`.

#![warn(missing_docs)]

mod agent_epoch;
mod agent_epochs;
mod attempt;
mod command_log;
mod command_queue;
mod command_sender;
mod delivery_status;
mod direct_call;
mod direct_calls;
mod direct_results;
mod exits;
pub mod fencing;
mod fencing_token;
mod heartbeat;
mod heartbeat_commands;
mod heartbeat_handler;
mod heartbeat_position;
mod image_cache;
mod machine;
mod missing_attempts;
mod quarantine;
mod reconciliation;
mod reported_tasks;
mod revocation;
pub mod wire;
mod worker_clients;

pub use agent_epoch::AgentEpoch;
pub use attempt::{Attempt, AttemptKey, DesiredState, Orphan};
pub use command_queue::CommandQueue;
pub use delivery_status::{DeliveryStatus, UnconfirmedStart};
pub use direct_call::{DirectCall, DirectResult};
pub use fencing_token::FencingToken;
pub use heartbeat::HeartbeatReply;
pub use heartbeat_position::HeartbeatPosition;
pub use image_cache::{Image, ImageCache};
pub use machine::Machine;
pub use quarantine::Quarantine;
pub use worker_clients::WorkerClientPool;
