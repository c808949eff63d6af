//! Calls from one controller to another.

use crate::directions::Endpoint;
use crate::pending_call::Slot;
use crate::scheduler::Time;
use crate::simulation::Simulation;
use crate::transcript::Channel;
use aspenreel::leadership::peer::{PeerLink, PeerReply, PeerRequest};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

pub(crate) struct SimPeer {
    pub(crate) simulation: Arc<Simulation>,
    pub(crate) from: usize,
    pub(crate) to: usize,
}

impl PeerLink for SimPeer {
    fn ask(&self, request: &PeerRequest, timeout: Duration) -> std::io::Result<PeerReply> {
        let simulation = &self.simulation;
        let now = simulation.now();
        let zones = (
            simulation.zone_of_node(self.from),
            simulation.zone_of_node(self.to),
        );
        let cut = {
            let joined = simulation.joined(zones.0, zones.1);
            let state = simulation.state();
            let cut = |n: usize| state.nodes[n].peers_cut_until > now;
            let directions = (Endpoint::Node(self.from), Endpoint::Node(self.to));
            !joined
                || cut(self.from)
                || cut(self.to)
                || state.is_cut(directions.0, directions.1, now)
        };
        if cut {
            simulation
                .scheduler
                .sleep_until(now + timeout.as_micros() as Time);
            return Err(ErrorKind::TimedOut.into());
        }
        let slot = Slot::new(simulation);
        let (from, to) = (self.from, self.to);
        let (answer, request) = (slot.clone(), request.clone());
        let there = simulation.latency();
        simulation.after(there, move |sim| {
            let (process, node) = {
                let state = sim.state();
                (state.nodes[to].process, state.nodes[to].node.clone())
            };
            let (Some(process), Some(node)) = (process, node) else {
                let refused = Err(std::io::Error::from(ErrorKind::ConnectionRefused));
                return answer.arrive(sim, sim.latency(), refused);
            };
            let seed = sim.state().rng.u64(..);
            let simulation = sim.clone();
            let work = move || {
                let asked = borsh::to_vec(&request).unwrap();
                let reply = node.answer_peer(request);
                let replied = borsh::to_vec(&reply).unwrap();
                simulation
                    .note_message(Channel::Peer, &[&[from as u8, to as u8], &asked, &replied]);
                let back = simulation.latency();
                let lost = simulation.state().is_cut(
                    Endpoint::Node(to),
                    Endpoint::Node(from),
                    simulation.now(),
                );
                if !lost {
                    answer.arrive(&simulation, back, Ok(reply));
                }
            };
            sim.scheduler.spawn(process, seed, Box::new(work));
        });
        let timed_out = || Err(ErrorKind::TimedOut.into());
        slot.wait(simulation, timeout).unwrap_or_else(timed_out)
    }
}
