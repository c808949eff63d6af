//! The platform's settings file: read once and checked as a whole; unknown fields are ignored.
//!
//! [`Settings`] has the file's fields under their names in the file; [`QuotaSettings`] derives the controller's own
//! limits from the process's quotas. The file is documented for operators in the README.

#![warn(missing_docs)]

mod checks;
mod error;
mod file;
mod leader_lease;
mod parse;
mod quota;
mod store_limits;

pub use error::SettingsError;
pub use file::{
    CloudSettings, Endpoints, Member, Objective, Settings, Site, TeamSettings, WorkerSettings,
};
pub use quota::QuotaSettings;
pub use store_limits::{StoreLimits, StoreSettings};
