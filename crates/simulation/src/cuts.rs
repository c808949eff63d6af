//! Directed cuts: what one end sends doesn't reach the other, while the way back may be open.

use crate::sched::{Time, secs};
use crate::world::{State, World};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A controller, by number.
    Node(usize),
    /// The state service.
    State,
    /// All workers.
    Workers,
}

/// One direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Way {
    pub from: End,
    pub to: End,
}

impl Way {
    pub fn new(from: End, to: End) -> Way {
        Way { from, to }
    }

    /// Every directed link of a controller of a cluster of so many.
    pub fn all_of(node: usize, nodes: usize) -> Vec<Way> {
        let own = End::Node(node);
        let peers = (0..nodes).filter(|n| *n != node).map(End::Node);
        [End::State, End::Workers]
            .into_iter()
            .chain(peers)
            .flat_map(|other| [Way::new(own, other), Way::new(other, own)])
            .collect()
    }
}

/// Until when each way is cut.
#[derive(Debug, Default)]
pub struct Cuts {
    until: BTreeMap<Way, Time>,
    /// Transactions of these nodes alone are refused until then.
    writes_refused: BTreeMap<usize, Time>,
}

impl Cuts {
    pub fn blocks(&self, from: End, to: End, now: Time) -> bool {
        let until = self.until.get(&Way::new(from, to));
        until.is_some_and(|until| *until > now)
    }

    pub fn refuses_writes(&self, node: usize, now: Time) -> bool {
        let until = self.writes_refused.get(&node);
        until.is_some_and(|until| *until > now)
    }
}

impl State {
    /// Nothing gets through from one end to the other now.
    pub fn is_cut(&self, from: End, to: End, now: Time) -> bool {
        self.cuts.blocks(from, to, now)
    }
}

impl World {
    /// Cuts one direction for so long.
    pub fn cut_way(self: &Arc<Self>, way: Way, span: f64) {
        let until = self.now() + secs(span);
        self.state().cuts.until.insert(way, until);
        self.trouble(span);
        self.at_time(until, |w| w.state_changed());
    }

    /// Cuts these ways together, now and then: half of each period they are open.
    pub fn flap_ways(self: &Arc<Self>, ways: Vec<Way>, period: f64, span: f64) {
        let end = self.now() + secs(span);
        self.trouble(span);
        self.flap_until(ways, period, end);
    }

    fn flap_until(self: &Arc<Self>, ways: Vec<Way>, period: f64, end: Time) {
        if self.now() >= end {
            return;
        }
        for way in &ways {
            self.cut_way(*way, period / 2.0);
        }
        self.after(secs(period), move |w| w.flap_until(ways, period, end));
    }

    /// The state service refuses this node's transactions, and nothing else.
    pub fn refuse_writes(self: &Arc<Self>, node: usize, span: f64) {
        let until = self.now() + secs(span);
        self.state().cuts.writes_refused.insert(node, until);
        self.trouble(span);
    }
}
