//! Directed cuts: what one end sends doesn't reach the other, while the way back may be open.

use crate::scheduler::{Time, secs};
use crate::simulation::{Simulation, SimulationState};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// A controller, by number.
    Node(usize),
    /// The state service.
    Store,
    /// All workers.
    Workers,
}

/// One direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    pub from: Endpoint,
    pub to: Endpoint,
}

impl Direction {
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
    until: BTreeMap<Direction, Time>,
    /// Transactions of these nodes alone are refused until then.
    writes_refused: BTreeMap<usize, Time>,
}

impl Cuts {
    pub fn blocks(&self, from: Endpoint, to: Endpoint, now: Time) -> bool {
        let until = self.until.get(&Direction::new(from, to));
        until.is_some_and(|until| *until > now)
    }

    pub fn refuses_writes(&self, node: usize, now: Time) -> bool {
        let until = self.writes_refused.get(&node);
        until.is_some_and(|until| *until > now)
    }
}

impl SimulationState {
    /// Nothing gets through from one end to the other now.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint, now: Time) -> bool {
        self.cuts.blocks(from, to, now)
    }
}

impl Simulation {
    /// Cuts one direction for so long.
    pub fn cut_direction(self: &Arc<Self>, direction: Direction, span: f64) {
        let until = self.now() + secs(span);
        self.state().cuts.until.insert(direction, until);
        self.note_fault(span);
        self.at_time(until, |sim| sim.store_changed());
    }

    /// Cuts these ways together, now and then: half of each period they are open.
    pub fn flap_directions(self: &Arc<Self>, directions: Vec<Direction>, period: f64, span: f64) {
        let end = self.now() + secs(span);
        self.note_fault(span);
        self.flap_until(directions, period, end);
    }

    fn flap_until(self: &Arc<Self>, directions: Vec<Direction>, period: f64, end: Time) {
        if self.now() >= end {
            return;
        }
        for direction in &directions {
            self.cut_direction(*direction, period / 2.0);
        }
        self.after(secs(period), move |sim| {
            sim.flap_until(directions, period, end)
        });
    }

    /// The state service refuses this node's transactions, and nothing else.
    pub fn refuse_writes(self: &Arc<Self>, node: usize, span: f64) {
        let until = self.now() + secs(span);
        self.state().cuts.writes_refused.insert(node, until);
        self.note_fault(span);
    }
}
