//! Directions of links, and cuts of single directions: messages from one endpoint to the other are lost, while the
//! opposite direction may work.

use crate::scheduler::Time;
use std::collections::BTreeMap;

/// Endpoint of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// Controller with this number.
    Node(usize),
    /// Key-value store.
    Store,
    /// All workers.
    Workers,
}

/// Direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// Endpoint that sends.
    pub from: Endpoint,
    /// Endpoint that receives.
    pub to: Endpoint,
}

impl Direction {
    /// Creates the direction from one endpoint to another.
    pub fn new(from: Endpoint, to: Endpoint) -> Direction {
        Direction { from, to }
    }

    /// All directions of the links of a controller in a cluster of `nodes` controllers.
    pub fn all_of(node: usize, nodes: usize) -> Vec<Direction> {
        let own = Endpoint::Node(node);
        let peers = (0..nodes).filter(|n| *n != node).map(Endpoint::Node);
        [Endpoint::Store, Endpoint::Workers]
            .into_iter()
            .chain(peers)
            .flat_map(|other| [Direction::new(own, other), Direction::new(other, own)])
            .collect()
    }
}

/// Cuts of single directions, and refusals of single nodes' transactions.
#[derive(Debug, Default)]
pub struct Cuts {
    /// For each direction, time at which its last cut ends.
    pub(crate) until: BTreeMap<Direction, Time>,
    /// For each node whose transactions, but no other requests, the store refuses: time at which that ends.
    pub(crate) writes_refused: BTreeMap<usize, Time>,
}

impl Cuts {
    /// True if this direction is cut now.
    pub fn blocks(&self, from: Endpoint, to: Endpoint, now: Time) -> bool {
        let until = self.until.get(&Direction::new(from, to));
        until.is_some_and(|until| *until > now)
    }

    /// True if the store refuses this controller's transactions now.
    pub fn refuses_writes(&self, node: usize, now: Time) -> bool {
        let until = self.writes_refused.get(&node);
        until.is_some_and(|until| *until > now)
    }
}
