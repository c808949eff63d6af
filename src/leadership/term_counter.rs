//! The stored counter of terms, in the forms that different versions of the program read.
//!
//! An election raises the counter, so a controller that can't read it can't be elected. Earlier versions read the
//! *open* form only. Once all members can read the current record format, the counter is rewritten in the *fenced*
//! form ([`super::feature_level_loop`]); from then on no process of an earlier version can be elected.

use crate::store::{KeyValue, StoreError, from_value, to_value};
use serde::{Deserialize, Serialize};

/// The key of the counter.
pub const TERM_KEY: &str = "term";

/// The stored value. Earlier versions write and read `term` alone, and ignore other fields.
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
    /// Earlier versions ignore it and leave it out.
    #[serde(rename = "raisedBy", default, skip_serializing_if = "Option::is_none")]
    raised_by: Option<u64>,
}

/// The counter of terms. Fencing tokens are numbers of the same counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermCounter {
    /// The last number that was used; 0 if nobody ever led.
    pub term: u64,
    /// The counter is stored in the fenced form, which earlier versions can't read.
    pub fenced: bool,
    /// The revision at which a controller of an earlier version was last elected, 0 if none ever was. Such a
    /// leader drops the start watermarks of jobs that it doesn't know.
    pub older_version_led_at: u64,
    /// The revision at which the leader was elected that has since raised the counter for a fencing token. None if
    /// the counter was last raised by an election.
    pub raised_by: Option<u64>,
}

impl TermCounter {
    /// Reads the counter; without a stored one nobody has ever led.
    ///
    /// # Errors
    ///
    /// [`StoreError::MalformedValue`] if the value is no counter in either form.
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
            // A value without this field was written by a leader of an earlier version.
            older_version_led_at: value.older_version_led_at.unwrap_or(stored.revision),
            raised_by: value.raised_by,
        })
    }

    /// The counter after the next election.
    pub fn next(self) -> TermCounter {
        TermCounter {
            term: self.term + 1,
            raised_by: None,
            ..self
        }
    }

    /// The counter after the leader that was elected at the revision `elected_at` has raised it for a fencing
    /// token.
    pub fn raised(self, elected_at: u64) -> TermCounter {
        TermCounter {
            term: self.term + 1,
            raised_by: Some(elected_at),
            ..self
        }
    }

    /// True if this counter, stored at `revision`, was last raised by the leader that was elected at the revision
    /// `elected_at`: by the election itself, or since for a fencing token.
    pub fn is_of_leader(self, revision: u64, elected_at: u64) -> bool {
        revision == elected_at || self.raised_by == Some(elected_at)
    }

    /// The same counter in the fenced form, or in the open one.
    pub fn in_form(self, fenced: bool) -> TermCounter {
        TermCounter { fenced, ..self }
    }

    /// The value to store.
    pub fn to_value(self) -> ciborium::Value {
        to_value(&TermValue {
            term: (!self.fenced).then_some(self.term),
            fenced_term: self.fenced.then_some(self.term),
            older_version_led_at: Some(self.older_version_led_at),
            raised_by: self.raised_by,
        })
    }
}
