//! The number of workers whose heartbeats a controller receives.

use crate::monitor::LinkState;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Minimum number of expected workers for conclusions about the network: a few workers can be silent for
/// reasons of their own.
const MIN_EXPECTED_WORKERS: u32 = 3;

/// How many workers reach a controller with their heartbeats, of how many that should.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct Reachability {
    /// On a leader: workers with a heartbeat within the last few heartbeat intervals. On any other controller:
    /// workers whose heartbeats it has refused recently.
    #[serde(rename = "heard")]
    pub reachable: u32,
    /// Number of workers that should send heartbeats to this leader; 0 on a controller that doesn't lead.
    #[serde(rename = "known")]
    pub expected: u32,
}

impl Reachability {
    /// Whether more than half of the expected workers are silent at the same time. It is then more likely that
    /// this controller is cut off than that all these workers are.
    pub fn most_are_unreachable(self) -> bool {
        self.expected >= MIN_EXPECTED_WORKERS && 2 * self.reachable < self.expected
    }

    /// The state of a leader's link to its workers: suspect below three quarters of the expected ones, down
    /// below half.
    pub fn state(self) -> LinkState {
        if self.expected == 0 {
            return LinkState::Unknown;
        }
        if self.most_are_unreachable() {
            return LinkState::Down;
        }
        match 4 * self.reachable < 3 * self.expected {
            true => LinkState::Suspect,
            false => LinkState::Up,
        }
    }
}
