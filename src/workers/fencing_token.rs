//! Number that lets a worker refuse commands of a former leader.

use log::kv::{ToValue, Value};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A value of the term counter, used as a fencing token by one leader only.
///
/// A leader begins with its term's number and raises the counter further while it leads, to revoke unconfirmed
/// starts. A worker stores the highest token that it has seen and refuses commands with a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Token of a worker that hasn't seen any yet. No leader issues it.
    pub const NONE: FencingToken = FencingToken(0);

    /// Token for a value of the term counter, which is either a leader's term or a later raise.
    pub fn of_term(term: u64) -> FencingToken {
        FencingToken(term)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Logged as the plain number.
impl ToValue for FencingToken {
    fn to_value(&self) -> Value<'_> {
        self.0.to_value()
    }
}
