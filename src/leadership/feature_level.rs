//! The newest record format that all controllers can read.
//!
//! During a rolling upgrade, processes of two versions run side by side, and either may be elected. A controller
//! can't act on a kind of record that it doesn't know: a leader of an earlier version skips a standing job, and stops
//! its replicas as tasks of an unknown job. New kinds of records are therefore written only once the stored feature
//! level allows it. [`super::feature_level_loop`] raises the level; only [`super::version_rollback`] resets it.

use crate::store::{KeyValue, Precondition, from_value};
use serde::{Deserialize, Serialize};

/// Store key of the feature level, whose value is the [`FormatVersion`] that all members can read.
pub const FEATURE_LEVEL_KEY: &str = "level";

/// Newest record format that this version of the program reads and writes.
pub const CURRENT_FORMAT: FormatVersion = FormatVersion(3);

/// First record format that has standing jobs.
const STANDING_JOBS_FORMAT: FormatVersion = FormatVersion(2);

/// Version of the format of stored records. Each version includes the earlier ones: 1 has only job arrays, 2 adds
/// standing jobs, 3 adds the fenced term counter, which earlier versions of the program can't read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatVersion(
    /// Version number; 0 if none is stored.
    pub u64,
);

/// A stored format version, of all members or of one, with the revision of its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeatureLevel {
    /// Format that all members can read, or that one member can read if it was read from that member's key.
    pub format: FormatVersion,
    /// Store revision of the key; 0 if the key is absent.
    pub revision: u64,
}

impl FeatureLevel {
    /// Decodes a stored format version. An absent or malformed value is read as version 0.
    pub(super) fn read(stored: Option<&KeyValue>) -> FeatureLevel {
        let Some(stored) = stored else {
            return FeatureLevel::default();
        };
        FeatureLevel {
            format: from_value(&stored.data).unwrap_or_default(),
            revision: stored.revision,
        }
    }

    /// True if all members can read standing jobs, so that they may be accepted.
    pub fn has_standing_jobs(self) -> bool {
        self.format >= STANDING_JOBS_FORMAT
    }

    /// Precondition that the feature level is unchanged, which every transaction that accepts a standing job has.
    pub fn precondition(self) -> Precondition {
        Precondition::new(FEATURE_LEVEL_KEY, self.revision)
    }
}
