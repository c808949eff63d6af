//! Which workers a controller hears: as a leader by their heartbeats, otherwise by those that it refuses.

use crate::monitor::LinkState;
use aspenreel_time::{Micros, Moment};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How many workers a controller hears.
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
pub struct Hearing {
    /// Workers heard within the last few report intervals.
    pub heard: u32,
    /// Workers that should be heard; 0 on a controller that doesn't lead.
    pub known: u32,
}

impl Hearing {
    /// Fewer workers than this tell nothing about the network.
    const FEW: u32 = 3;

    /// Most of at least a few workers are silent together: rather this controller is cut off than they.
    pub fn is_blind(self) -> bool {
        self.known >= Self::FEW && 2 * self.heard < self.known
    }

    /// The state of the workers' link on a leader.
    pub fn state(self) -> LinkState {
        match self {
            Hearing { known: 0, .. } => LinkState::Unknown,
            _ if self.is_blind() => LinkState::Down,
            Hearing { heard, known } if 4 * heard < 3 * known => LinkState::Suspect,
            _ => LinkState::Up,
        }
    }
}

/// The workers whose heartbeats a controller that doesn't lead has refused lately.
///
/// A worker goes to another controller only when its own doesn't answer, so each entry tells that
/// somebody can't reach the leader and can reach this controller.
#[derive(Debug)]
pub struct RefusedWorkers {
    last: HashMap<String, Moment>,
    most: usize,
    window: Micros,
}

impl RefusedWorkers {
    /// Remembers at most so many workers, each for so long.
    pub fn new(most: usize, window: Micros) -> RefusedWorkers {
        RefusedWorkers {
            last: HashMap::new(),
            most,
            window,
        }
    }

    /// A worker's heartbeat was refused.
    pub fn note(&mut self, worker: &str, at: Moment) {
        if let Some(last) = self.last.get_mut(worker) {
            *last = at;
            return;
        }
        if self.last.len() >= self.most {
            self.forget(at);
        }
        if self.last.len() < self.most {
            self.last.insert(worker.to_string(), at);
        }
    }

    /// How many different workers came within the window.
    pub fn count(&mut self, now: Moment) -> u32 {
        self.forget(now);
        self.last.len() as u32
    }

    fn forget(&mut self, now: Moment) {
        let window = self.window;
        self.last.retain(|_, at| now - *at < window);
    }
}
