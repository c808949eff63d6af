//! The number by which a worker refuses the commands of a former leader.

use log::kv::{ToValue, Value};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A fencing token: a value of the counter of terms, which only one leader ever uses.
///
/// A leader begins with its term's number and raises the counter further while it leads, to revoke unconfirmed
/// starts. A worker holds the highest token that it has seen and refuses commands with a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// What a worker holds that has seen no token. No leader gives it out.
    pub const NONE: FencingToken = FencingToken(0);

    /// The token that belongs to this value of the counter of terms, be it a leader's term or a later raise.
    pub fn of_term(term: u64) -> FencingToken {
        FencingToken(term)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A log line shows the bare number.
impl ToValue for FencingToken {
    fn to_value(&self) -> Value<'_> {
        self.0.to_value()
    }
}
