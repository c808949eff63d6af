//! Faults of the services and of the network, as a test brings them about.

use crate::delayed_commands::DelayedCommands;
use crate::directions::Direction;
use crate::scheduler::{Time, secs};
use crate::setup::LEASE_S;
use crate::simulation::Simulation;
use crate::state::{DuplicatedHeartbeats, UnansweredWrites};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

impl Simulation {
    /// Notes that some fault lasts for so long.
    pub fn note_fault(&self, span: f64) {
        let mut state = self.state();
        state.faults_until = state.faults_until.max(self.now() + secs(span));
    }

    /// The store refuses everybody for so many seconds.
    pub fn store_outage(self: &Arc<Self>, span: f64) {
        self.state().store_is_down = true;
        self.note_fault(span);
        self.after(secs(span), |sim| {
            let now = sim.since_start();
            {
                let mut state = sim.state();
                state.store_is_down = false;
                state.store.renew_all_leases(now);
            }
            sim.store_changed();
        });
    }

    /// The key-value store refuses this node alone.
    pub fn refuse_node(self: &Arc<Self>, n: usize, span: f64) {
        let until = self.now() + secs(span);
        self.state().nodes[n].refused_until = until;
        self.note_fault(span);
        self.at_time(until, |sim| sim.store_changed());
    }

    /// A node loses the key-value store (nothing answers) and, if told so, the other nodes.
    pub fn cut_store(self: &Arc<Self>, n: usize, span: f64, peers: bool) {
        let until = self.now() + secs(span);
        self.state().nodes[n].store_cut_until = until;
        if peers {
            self.state().nodes[n].peers_cut_until = until;
        }
        self.note_fault(span);
        self.at_time(until, |sim| sim.store_changed());
    }

    /// A controller and the workers lose each other.
    pub fn cut_workers(self: &Arc<Self>, n: usize, span: f64) {
        self.state().nodes[n].workers_cut_until = self.now() + secs(span);
        self.note_fault(span);
    }

    /// A zone and the others lose each other.
    pub fn cut_zone(self: &Arc<Self>, zone: &str, span: f64) {
        let until = self.now() + secs(span);
        self.state().zone_cuts.insert(zone.into(), until);
        self.note_fault(span);
    }

    /// That share of the transactions gets no answer; they are carried out at once or later.
    pub fn leave_writes_unanswered(&self, share: f64, at_once: bool, span: f64) {
        let until = self.now() + secs(span);
        self.state().unanswered_writes = Some(UnansweredWrites {
            share,
            at_once,
            until,
        });
        self.note_fault(span + 12.0);
    }

    /// That share of the heartbeats is copied; copies arrive later, or as the next leader begins.
    pub fn duplicate_heartbeats(&self, share: f64, for_next_leader: bool, span: f64) {
        let until = self.now() + secs(span);
        self.state().duplicated_heartbeats = Some(DuplicatedHeartbeats {
            share,
            for_next_leader,
            until,
        });
        self.note_fault(span + 1.5 * LEASE_S);
    }

    /// The store answers by `time` seconds later.
    pub fn slow_store(self: &Arc<Self>, time: f64, span: f64) {
        self.state().store_delay = secs(time);
        self.note_fault(span);
        self.after(secs(span), |sim| sim.state().store_delay = 0);
    }

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

    pub(crate) fn flap_until(self: &Arc<Self>, directions: Vec<Direction>, period: f64, end: Time) {
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

    /// The key-value store refuses this node's transactions, and nothing else.
    pub fn refuse_writes(self: &Arc<Self>, node: usize, span: f64) {
        let until = self.now() + secs(span);
        self.state().cuts.writes_refused.insert(node, until);
        self.note_fault(span);
    }

    /// For `span` seconds that share of direct commands is held back, each for a time in the range, in
    /// order on each way, and delivered once. Nobody gets their answers. Heartbeats are not touched.
    pub fn delay_commands(&self, share: f64, delay_s: Range<f64>, span: f64) {
        let longest = delay_s.end;
        self.state().delayed_commands = DelayedCommands {
            share,
            delay: secs(delay_s.start)..secs(delay_s.end),
            until: self.now() + secs(span),
            last: BTreeMap::new(),
        };
        self.note_fault(span + longest);
    }
}
