//! What is wrong with the settings or the flags.

use std::io;
use std::path::PathBuf;

/// Why the process can't run with its settings and flags. The message is one line and names the field or flag.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Flags of the link health checks contradict each other.
    #[error(transparent)]
    ConflictingLinkFlags(#[from] aspenreel_link_health::settings::SettingsConflict),
    /// This flag tunes link health checks, which are off.
    #[error("{0} has no meaning without --half-cut-links")]
    RequiresLinkHealth(&'static str),
    /// The file can't be read.
    #[error("settings {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The file isn't TOML, or a field is missing or has another type.
    #[error("settings: line {line}, `{found}`: {problem}")]
    Parse {
        /// The line's number, from 1.
        line: usize,
        /// The line's beginning.
        found: String,
        /// What is wrong there.
        problem: String,
    },
    /// A field's value is absurd, by itself or beside others.
    #[error("settings: field `{field}`: {problem}")]
    Field {
        /// The field, with those that it stands in.
        field: String,
        /// What it must be.
        problem: String,
    },
    /// The leader's lease that was asked for is too long for the settings.
    #[error("--leader-lease-ms: {problem}")]
    LeaderLease {
        /// What it must be.
        problem: String,
    },
}

impl SettingsError {
    /// A field with an absurd value.
    pub(super) fn field(field: impl Into<String>, problem: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            field: field.into(),
            problem: problem.into(),
        }
    }
}
