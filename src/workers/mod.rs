//! Workers: their heartbeats, agent epochs and leases, and the commands sent to them. Commands are derived
//! from the difference between the desired state of a machine and the state that its worker reports.
//!
//! - State: [`Machine`] with its [`Attempt`]s, [`CommandQueue`], [`fencing::Fencing`].
//! - Decisions: `heartbeat` accepts or rejects a heartbeat, `reconciliation` applies its report,
//!   `heartbeat_commands` selects the commands in the reply. `direct_calls` selects the commands that are sent
//!   to a worker without waiting for its next heartbeat, `direct_results` applies the answers. `agent_epochs`
//!   ends epochs whose lease expired, `prior_epochs` limits how replies defer the end of epochs of earlier terms,
//!   `revocation` revokes start commands that may still be executed.
//! - HTTP handler: `heartbeat_handler`. Sender loop: `command_sender`.

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
mod early_replies;
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
mod prior_epochs;
mod quarantine;
mod reconciliation;
mod report_size;
mod reported_tasks;
mod revocation;
mod task_failures;
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
pub use report_size::{EMPTY_REPORT_BYTES, entry_bytes};
pub use task_failures::TaskFailures;
pub use worker_clients::WorkerClientPool;
