//! Which decisions a leader may make now. No other place decides that.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::Serialize;

/// Kinds of decisions that a leader makes.
///
/// Each of them needs a record sooner or later. A leader that can't write makes none of them: what it
/// decided before stands, since it is either on record or its effect hasn't left the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct Permissions {
    /// Place waiting tasks on machines.
    pub assign: bool,
    /// Write start watermarks, done sets and terminal states.
    pub record: bool,
    /// Tell workers to forget outcomes that are on record.
    pub release: bool,
}

impl Permissions {
    /// Every decision is allowed.
    pub const ALL: Permissions = Permissions {
        assign: true,
        record: true,
        release: true,
    };

    /// No decision that needs a record is allowed.
    pub const NONE: Permissions = Permissions {
        assign: false,
        record: false,
        release: false,
    };

    /// Allows everything, unless writes to the key-value store fail now.
    ///
    /// The damped state of the link doesn't matter here: a leader whose writes succeed from time to time, and
    /// that has no better-placed successor, decides while they do.
    pub fn of(writes_fail: bool) -> Permissions {
        match writes_fail {
            true => Permissions::NONE,
            false => Permissions::ALL,
        }
    }
}

impl Default for Permissions {
    fn default() -> Self {
        Permissions::ALL
    }
}
