//! Handlers of user requests (submit, status, cancel), of health checks, and of requests that peers send on behalf of
//! their users.

mod cancel;
mod for_peers;
mod health;
mod leader_status;
mod messages;
mod peers;
mod status;
mod submit;

pub use leader_status::STATUS_SENDER_THREADS;
