//! The decisions that a leader may make now. This module is the only place that determines them.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::Serialize;

/// The kinds of decisions that a leader may make now.
///
/// Each decision has to be recorded eventually, so a leader that can't write makes none. Its earlier decisions
/// stay valid: each is either recorded, or has had no effect outside the leader yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, BorshSerialize, BorshDeserialize)]
pub struct Permissions {
    /// Placing waiting tasks on machines.
    pub assign: bool,
    /// Writing start watermarks, done sets and final states.
    pub record: bool,
    /// Commanding workers to discard outcomes that are recorded.
    pub release: bool,
}

impl Permissions {
    /// Every decision is allowed.
    pub const ALL: Permissions = Permissions {
        assign: true,
        record: true,
        release: true,
    };

    /// No decision that has to be recorded is allowed.
    pub const NONE: Permissions = Permissions {
        assign: false,
        record: false,
        release: false,
    };

    /// Allows every decision, unless writes to the key-value store fail at present.
    ///
    /// The damped state of the link isn't used here: a leader whose writes succeed intermittently, and that has
    /// no better-connected successor, may decide whenever they succeed.
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
