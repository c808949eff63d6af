//! Faults of the store, the network and the controllers' links that tests can inject.

use crate::delayed_commands::DelayedCommands;
use crate::directions::Direction;
use crate::repeated_commands::RepeatedCommands;
use crate::scheduler::{Time, secs};
use crate::setup::LEASE_S;
use crate::simulation::Simulation;
use crate::state::{DuplicatedHeartbeats, UnansweredWrites};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

impl Simulation {
    /// Records that a fault lasts for the next `span` seconds.
    pub fn note_fault(&self, span: f64) {
        let mut state = self.state();
        state.faults_until = state.faults_until.max(self.now() + secs(span));
    }

    /// Makes the store refuse all requests for `span` seconds. At the end of the outage every lease gets its full
    /// duration again.
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

    /// Makes the store refuse all requests of this node, but not those of other nodes, for `span` seconds.
    pub fn refuse_node(self: &Arc<Self>, node: usize, span: f64) {
        let until = self.now() + secs(span);
        self.state().nodes[node].refused_until = until;
        self.note_fault(span);
        self.at_time(until, |sim| sim.store_changed());
    }

    /// Cuts the connection between a node and the store for `span` seconds: its requests get no answer and are
    /// executed after the cut. If `peers` is true, the connections to the other nodes are cut too.
    pub fn cut_store(self: &Arc<Self>, node: usize, span: f64, peers: bool) {
        let until = self.now() + secs(span);
        self.state().nodes[node].store_cut_until = until;
        if peers {
            self.state().nodes[node].peers_cut_until = until;
        }
        self.note_fault(span);
        self.at_time(until, |sim| sim.store_changed());
    }

    /// Cuts the connections between a node and all workers, in both directions, for `span` seconds.
    pub fn cut_workers(self: &Arc<Self>, node: usize, span: f64) {
        self.state().nodes[node].workers_cut_until = self.now() + secs(span);
        self.note_fault(span);
    }

    /// Cuts the connections between a zone and all other zones for `span` seconds.
    pub fn cut_zone(self: &Arc<Self>, zone: &str, span: f64) {
        let until = self.now() + secs(span);
        self.state().zone_cuts.insert(zone.into(), until);
        self.note_fault(span);
    }

    /// Leaves a random share of the store's transactions unanswered for `span` seconds. They are executed at once if
    /// `at_once` is true, or else 2 to 12 seconds later if the store is up then.
    pub fn leave_writes_unanswered(&self, share: f64, at_once: bool, span: f64) {
        let until = self.now() + secs(span);
        self.state().unanswered_writes = Some(UnansweredWrites {
            share,
            at_once,
            until,
        });
        self.note_fault(span + 12.0);
    }

    /// Duplicates a random share of the heartbeats for `span` seconds. The copies arrive when the next leader is
    /// elected if `for_next_leader` is true, or else after 2 seconds to 1.4 worker leases.
    pub fn duplicate_heartbeats(&self, share: f64, for_next_leader: bool, span: f64) {
        let until = self.now() + secs(span);
        self.state().duplicated_heartbeats = Some(DuplicatedHeartbeats {
            share,
            for_next_leader,
            until,
        });
        self.note_fault(span + 1.5 * LEASE_S);
    }

    /// Delays each answer of the store by `delay` seconds, for `span` seconds.
    pub fn slow_store(self: &Arc<Self>, delay: f64, span: f64) {
        self.state().store_delay = secs(delay);
        self.note_fault(span);
        self.after(secs(span), |sim| sim.state().store_delay = 0);
    }

    /// Cuts one direction of a link for `span` seconds.
    pub fn cut_direction(self: &Arc<Self>, direction: Direction, span: f64) {
        let until = self.now() + secs(span);
        self.state().cuts.until.insert(direction, until);
        self.note_fault(span);
        self.at_time(until, |sim| sim.store_changed());
    }

    /// Cuts these directions together for the first half of each period, for `span` seconds. `period` is in seconds.
    pub fn flap_directions(self: &Arc<Self>, directions: Vec<Direction>, period: f64, span: f64) {
        let end = self.now() + secs(span);
        self.note_fault(span);
        self.flap_until(directions, period, end);
    }

    /// Cuts these directions for half a period, and again after each period until `end`.
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

    /// Makes the store refuse the transactions of one node, but no other requests, for `span` seconds.
    pub fn refuse_writes(self: &Arc<Self>, node: usize, span: f64) {
        let until = self.now() + secs(span);
        self.state().cuts.writes_refused.insert(node, until);
        self.note_fault(span);
    }

    /// Delays a random share of the direct commands for `span` seconds, each by a time drawn from `delay_s`, in
    /// seconds. Delayed commands from one node to one worker keep their order, are delivered once, and their answers
    /// are lost. Heartbeats are not affected.
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

    /// Repeats a random share of the direct commands for `span` seconds. The commands are delivered and answered as
    /// usual. A copy of each arrives after a delay drawn from `delay_s`, in seconds; its answer is lost.
    pub fn repeat_commands(&self, share: f64, delay_s: Range<f64>, span: f64) {
        let longest = delay_s.end;
        self.state().repeated_commands = RepeatedCommands {
            share,
            delay: secs(delay_s.start)..secs(delay_s.end),
            until: self.now() + secs(span),
        };
        self.note_fault(span + longest);
    }
}
