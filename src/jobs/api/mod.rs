//! The handlers of users' requests (submit, status, cancel), of health checks, and of what peers ask on
//! behalf of their users.

mod cancel;
mod for_peers;
mod health;
mod messages;
mod peers;
mod status;
mod submit;
