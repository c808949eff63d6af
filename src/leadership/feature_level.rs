//! The record format that all controllers can read.
//!
//! While a service is upgraded, processes of two versions run side by side, and either may lead. A controller that
//! doesn't know a kind of record can't act on it: an earlier leader skips a standing job, and stops its replicas as
//! tasks of an unknown job. New kinds of records are therefore written only once the stored feature level allows it.
//! [`super::feature_level_loop`] raises it, and [`super::version_rollback`] alone takes it back.

use crate::store::{KeyValue, Precondition, from_value};
use serde::{Deserialize, Serialize};

/// The key of the feature level: a [`FormatVersion`] that all members can read.
pub const FEATURE_LEVEL_KEY: &str = "level";

/// The newest format that this version reads and writes.
pub const CURRENT_FORMAT: FormatVersion = FormatVersion(3);

/// The first format with standing jobs.
const STANDING_JOBS_FORMAT: FormatVersion = FormatVersion(2);

/// A version of the format of stored records. Each contains the earlier ones: 1 has job arrays only, 2 has standing
/// jobs as well, 3 has terms in a form that earlier versions of the program can't read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatVersion(
    /// The number of the version; 0 while none is stored.
    pub u64,
);

/// A stored format version, with the revision of its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeatureLevel {
    /// The version that can be read by those for whom the key speaks.
    pub format: FormatVersion,
    /// The revision of the key, 0 while it is absent.
    pub revision: u64,
}

impl FeatureLevel {
    /// Reads a stored version. One that is absent or malformed counts as 0.
    pub(super) fn read(stored: Option<&KeyValue>) -> FeatureLevel {
        let Some(stored) = stored else {
            return FeatureLevel::default();
        };
        FeatureLevel {
            format: from_value(&stored.data).unwrap_or_default(),
            revision: stored.revision,
        }
    }

    /// True if standing jobs may be accepted.
    pub fn has_standing_jobs(self) -> bool {
        self.format >= STANDING_JOBS_FORMAT
    }

    /// Holds while the feature level is not changed: a precondition of every acceptance of a standing job.
    pub fn precondition(self) -> Precondition {
        Precondition::new(FEATURE_LEVEL_KEY, self.revision)
    }
}
