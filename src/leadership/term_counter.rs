//! The record that counts terms, in the forms that different versions of the program read.
//!
//! Taking the lead raises the counter, so a controller that can't read it can't lead. Earlier versions
//! read the *open* form only. Once every controller knows the newest record format, the counter is
//! rewritten in the *fenced* form (see [`super::feature_level`]); from then on no earlier version can take the
//! lead, whichever process of it comes back.

use crate::store::{KeyValue, StoreError, from_value, to_value};
use serde::{Deserialize, Serialize};

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

/// The counter of terms as this version works with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermCounter {
    pub term: u64,
    /// It is stored in a form that earlier versions can't read.
    pub fenced: bool,
    /// Revision at which an earlier version last took the lead, 0 if none ever did. Such a leader
    /// drops the claims of jobs that it doesn't know.
    pub older_version_led_at: u64,
    /// Revision at which the leader took the lead that has raised the counter since, for a fencing
    /// token; None if it was last raised by taking the lead.
    pub raised_by: Option<u64>,
}

impl TermCounter {
    /// Reads the counter; without a row nobody has ever led.
    pub fn read(row: Option<&KeyValue>) -> Result<TermCounter, StoreError> {
        let Some(row) = row else {
            return Ok(TermCounter::default());
        };
        let malformed = || StoreError::MalformedValue {
            key: TERM_KEY.into(),
        };
        let value: TermValue = from_value(&row.data).ok_or_else(malformed)?;
        Ok(TermCounter {
            term: value.fenced_term.or(value.term).ok_or_else(malformed)?,
            fenced: value.fenced_term.is_some(),
            // Whoever leaves the field out is an earlier version, which leads since then.
            older_version_led_at: value.older_version_led_at.unwrap_or(row.revision),
            raised_by: value.raised_by,
        })
    }

    /// The counter once the next leader has taken the lead.
    pub fn next(self) -> TermCounter {
        TermCounter {
            term: self.term + 1,
            raised_by: None,
            ..self
        }
    }

    /// The counter once the leader that took the lead at this revision has raised it for a fencing token.
    pub fn raised(self, lead_revision: u64) -> TermCounter {
        TermCounter {
            term: self.term + 1,
            raised_by: Some(lead_revision),
            ..self
        }
    }

    /// True if this counter, of that revision, was last raised by the leader that took the lead at
    /// `lead_revision`: by taking the lead, or since.
    pub fn is_of_leader(self, revision: u64, lead_revision: u64) -> bool {
        revision == lead_revision || self.raised_by == Some(lead_revision)
    }

    /// The same counter in the form that only this version reads, or in the one that all read.
    pub fn in_form(self, fenced: bool) -> TermCounter {
        TermCounter { fenced, ..self }
    }

    pub fn to_value(self) -> ciborium::Value {
        to_value(&TermValue {
            term: (!self.fenced).then_some(self.term),
            fenced_term: self.fenced.then_some(self.term),
            older_version_led_at: Some(self.older_version_led_at),
            raised_by: self.raised_by,
        })
    }
}
