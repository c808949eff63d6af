//! The stored term counter and its two encodings, which different versions of the program read.
//!
//! An election increments the counter, so a controller that can't read it can't be elected. Earlier versions read
//! only the *open* form. Once all members can read the current record format, the counter is rewritten in the
//! *fenced* form ([`super::feature_level_loop`]); from then on no process of an earlier version can be elected.

use crate::store::{KeyValue, StoreError, from_value, to_value};
use serde::{Deserialize, Serialize};

/// Store key of the term counter.
pub const TERM_KEY: &str = "term";

/// Encoded term counter. Earlier versions read and write only `term`, and ignore other fields.
#[derive(Default, Serialize, Deserialize)]
struct TermValue {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    term: Option<u64>,
    #[serde(
        rename = "fencedTerm",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    fenced_term: Option<u64>,
    #[serde(
        rename = "olderLedAt",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    older_version_led_at: Option<u64>,
    /// Earlier versions ignore this field and omit it when they write the counter.
    #[serde(rename = "raisedBy", default, skip_serializing_if = "Option::is_none")]
    raised_by: Option<u64>,
}

/// Counter from which both terms and fencing tokens are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermCounter {
    /// Last number used as a term or fencing token; 0 if there never was a leader.
    pub term: u64,
    /// True if the counter is stored in the fenced form, which earlier versions can't read.
    pub fenced: bool,
    /// Store revision at which a controller of an earlier version was last elected; 0 if none ever was. Such a
    /// leader drops the start watermarks of jobs whose kind it doesn't know.
    pub older_version_led_at: u64,
    /// Election revision of the leader that last incremented the counter for a fencing token. `None` if the last
    /// increment was an election.
    pub raised_by: Option<u64>,
}

impl TermCounter {
    /// Decodes the stored counter. If `stored` is `None` there never was a leader, and the counter is 0.
    ///
    /// # Errors
    ///
    /// [`StoreError::MalformedValue`] if the value is not a term counter in either form.
    pub fn read(stored: Option<&KeyValue>) -> Result<TermCounter, StoreError> {
        let Some(stored) = stored else {
            return Ok(TermCounter::default());
        };
        let malformed = || StoreError::MalformedValue {
            key: TERM_KEY.to_string(),
        };
        let value: TermValue = from_value(&stored.data).ok_or_else(malformed)?;
        Ok(TermCounter {
            term: value.fenced_term.or(value.term).ok_or_else(malformed)?,
            fenced: value.fenced_term.is_some(),
            // Only leaders of earlier versions write values without this field.
            older_version_led_at: value.older_version_led_at.unwrap_or(stored.revision),
            raised_by: value.raised_by,
        })
    }

    /// The counter as written by the next election.
    pub fn next(self) -> TermCounter {
        TermCounter {
            term: self.term + 1,
            raised_by: None,
            ..self
        }
    }

    /// The counter as written for a new fencing token by the leader that was elected at revision `elected_at`.
    pub fn raised(self, elected_at: u64) -> TermCounter {
        TermCounter {
            term: self.term + 1,
            raised_by: Some(elected_at),
            ..self
        }
    }

    /// True if this counter, stored at `revision`, was last incremented by the leader that was elected at revision
    /// `elected_at`, either in the election itself or later for a fencing token.
    pub fn was_raised_by_leader(self, revision: u64, elected_at: u64) -> bool {
        revision == elected_at || self.raised_by == Some(elected_at)
    }

    /// The same counter in the fenced form if `fenced`, otherwise in the open form.
    pub fn with_fenced(self, fenced: bool) -> TermCounter {
        TermCounter { fenced, ..self }
    }

    /// Encodes the counter for the store.
    pub fn to_value(self) -> ciborium::Value {
        to_value(&TermValue {
            term: (!self.fenced).then_some(self.term),
            fenced_term: self.fenced.then_some(self.term),
            older_version_led_at: Some(self.older_version_led_at),
            raised_by: self.raised_by,
        })
    }
}
