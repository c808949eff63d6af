//! Directions of links, and until when each is cut: what one end sends does not reach the other, while the way back may be open.

use crate::scheduler::Time;
use std::collections::BTreeMap;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// A controller, by number.
    Node(usize),
    /// The key-value store.
    Store,
    /// All workers.
    Workers,
}

/// One direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// The end that sends.
    pub from: Endpoint,
    /// The end that receives.
    pub to: Endpoint,
}

impl Direction {
    /// The direction from one end to the other.
    pub fn new(from: Endpoint, to: Endpoint) -> Direction {
        Direction { from, to }
    }

    /// Every directed link of a controller of a cluster of so many.
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

/// Until when each way is cut.
#[derive(Debug, Default)]
pub struct Cuts {
    pub(crate) until: BTreeMap<Direction, Time>,
    /// Transactions of these nodes alone are refused until then.
    pub(crate) writes_refused: BTreeMap<usize, Time>,
}

impl Cuts {
    /// This direction is cut now.
    pub fn blocks(&self, from: Endpoint, to: Endpoint, now: Time) -> bool {
        let until = self.until.get(&Direction::new(from, to));
        until.is_some_and(|until| *until > now)
    }

    /// This controller's transactions are refused now.
    pub fn refuses_writes(&self, node: usize, now: Time) -> bool {
        let until = self.writes_refused.get(&node);
        until.is_some_and(|until| *until > now)
    }
}
