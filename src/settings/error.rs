//! Errors in the settings and the flags.

use std::io;
use std::path::PathBuf;

/// Reason why the process can't run with its settings and flags. The message is one line and names the field or flag.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Flags of the link health checks contradict one another.
    #[error(transparent)]
    ConflictingLinkFlags(#[from] aspenreel_link_health::settings::SettingsConflict),
    /// The flag configures the link health checks, which are disabled.
    #[error("{0} has no meaning without --half-cut-links")]
    RequiresLinkHealth(&'static str),
    /// The file can't be read.
    #[error("settings: cannot read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The file isn't TOML, or a field is missing or has another type.
    #[error("settings: line {line}, `{found}`: {problem}")]
    Parse {
        /// Number of the line, starting at 1.
        line: usize,
        /// Beginning of the line.
        found: String,
        /// Description of the fault.
        problem: String,
    },
    /// A field's value is invalid, by itself or in combination with other fields.
    #[error("settings: field `{field}`: {problem}")]
    Field {
        /// Path of the field, with the tables that contain it.
        field: String,
        /// The condition that the value must meet.
        problem: String,
    },
    /// The requested leader's lease is too long for the settings.
    #[error("--leader-lease-ms: {problem}")]
    LeaderLease {
        /// The condition that the lease must meet.
        problem: String,
    },
}

impl SettingsError {
    /// The error for a field with an invalid value.
    pub(super) fn field(field: impl Into<String>, problem: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            field: field.into(),
            problem: problem.into(),
        }
    }
}
