//! How many of its workers a controller receives heartbeats from.

use crate::monitor::LinkState;
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// With fewer workers than this, their silence says nothing about the network.
const MIN_EXPECTED: u32 = 3;

/// How many workers reach a controller with their heartbeats.
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
    /// On a leader, workers with a heartbeat within the last few intervals; on another controller, workers
    /// whose heartbeats it has refused lately.
    #[serde(rename = "heard")]
    pub reachable: u32,
    /// Workers that should send heartbeats; 0 on a controller that doesn't lead.
    #[serde(rename = "known")]
    pub expected: u32,
}

impl Reachability {
    /// More than half of the expected workers are silent together. Then this controller is more likely to be
    /// cut off than they are.
    pub fn most_are_unreachable(self) -> bool {
        self.expected >= MIN_EXPECTED && 2 * self.reachable < self.expected
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
