//! What a leader may decide now: the one place that says so.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::Serialize;

/// Kinds of decisions that a leader makes.
///
/// Each of them needs a record sooner or later. A leader that can't write makes none of them: what it
/// decided before stands, since it is either on record or its effect hasn't left the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct Permissions {
    /// Bind waiting tasks to machines.
    pub assign: bool,
    /// Write claims, done sets and final states.
    pub record: bool,
    /// Tell workers to forget outcomes.
    pub release: bool,
}

impl Permissions {
    /// Nothing stands in the way.
    pub const ALL: Permissions = Permissions {
        assign: true,
        record: true,
        release: true,
    };

    /// No decision may be made that needs a record.
    pub const NONE: Permissions = Permissions {
        assign: false,
        record: false,
        release: false,
    };

    /// What the link for writes allows: everything, unless it fails now.
    ///
    /// Its damped state doesn't matter here. A leader whose writes come and go, and whom nobody better
    /// placed can follow, decides while they come.
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
