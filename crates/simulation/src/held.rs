//! Direct commands that the network holds back for long, while heartbeats go their way.

use crate::sched::{Time, secs};
use crate::world::World;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

/// Which direct commands are held back, and for how long.
#[derive(Debug, Default)]
pub struct HeldCommands {
    share: f64,
    delay: Range<Time>,
    until: Time,
    /// When the last command held on the way from a node to a worker is let go: those behind it follow.
    last: BTreeMap<(usize, SocketAddr), Time>,
}

impl World {
    /// For `span` seconds that share of direct commands is held back, each for a time in the range, in
    /// order on each way, and delivered once. Nobody gets their answers. Heartbeats are not touched.
    pub fn hold_commands(&self, share: f64, delay_s: Range<f64>, span: f64) {
        let longest = delay_s.end;
        self.state().held_commands = HeldCommands {
            share,
            delay: secs(delay_s.start)..secs(delay_s.end),
            until: self.now() + secs(span),
            last: BTreeMap::new(),
        };
        self.trouble(span + longest);
    }

    /// When a command that arrives now is let go; None if it isn't held back.
    fn command_held_until(&self, node: usize, worker: SocketAddr) -> Option<Time> {
        let now = self.now();
        let mut state = self.state();
        if state.held_commands.until <= now {
            return None;
        }
        let share = state.held_commands.share;
        if state.rng.f64() >= share {
            return None;
        }
        let delay = state.held_commands.delay.clone();
        let drawn = now + state.rng.u64(delay);
        let way = (node, worker);
        let last = state.held_commands.last.entry(way).or_insert(0);
        *last = drawn.max(*last + 1);
        Some(*last)
    }

    /// Commands reach the network: they arrive now, or are held back and arrive once, unanswered.
    pub fn commands_sent(
        self: &Arc<Self>,
        node: usize,
        worker: SocketAddr,
        body: Vec<u8>,
        then: impl FnOnce(&Arc<World>, (u16, Vec<u8>)) + Send + 'static,
    ) {
        match self.command_held_until(node, worker) {
            Some(later) => self.at_time(later, move |w| {
                w.commands_arrive(node, worker, body, |_, _| {});
            }),
            None => self.commands_arrive(node, worker, body, then),
        }
    }
}
