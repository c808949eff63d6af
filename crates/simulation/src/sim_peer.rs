//! Calls between simulated controllers.

use crate::directions::Endpoint;
use crate::pending_call::Slot;
use crate::scheduler::Time;
use crate::simulation::Simulation;
use crate::transcript::Channel;
use aspenreel::peer::{PeerReply, PeerRequest, PeerTransport};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Transport of one controller to another.
pub(crate) struct SimPeer {
    pub(crate) simulation: Arc<Simulation>,
    /// Number of the calling controller.
    pub(crate) from: usize,
    /// Number of the called controller.
    pub(crate) to: usize,
}

impl SimPeer {
    /// True if requests are lost now. Replies can be lost even if requests are not.
    fn is_request_cut(&self) -> bool {
        let simulation = &self.simulation;
        let now = simulation.now();
        let zones = [self.from, self.to].map(|n| simulation.zone_of_node(n));
        let is_connected = simulation.zones_connected(zones[0], zones[1]);
        let state = simulation.state();
        let cut = |n: usize| state.nodes[n].peers_cut_until > now;
        let (from, to) = (Endpoint::Node(self.from), Endpoint::Node(self.to));
        !is_connected || cut(self.from) || cut(self.to) || state.is_cut(from, to, now)
    }
}

impl PeerTransport for SimPeer {
    fn call(&self, request: &PeerRequest, timeout: Duration) -> std::io::Result<PeerReply> {
        let simulation = &self.simulation;
        if self.is_request_cut() {
            let until = simulation.now() + timeout.as_micros() as Time;
            simulation.scheduler.sleep_until(until);
            return Err(ErrorKind::TimedOut.into());
        }
        let slot = Slot::new(simulation);
        let (from, to) = (self.from, self.to);
        let (reply_to, request) = (slot.clone(), request.clone());
        let request_latency = simulation.latency();
        simulation.after(request_latency, move |sim| {
            peer_receives(sim, from, to, request, reply_to);
        });
        let timed_out = || Err(ErrorKind::TimedOut.into());
        slot.wait(simulation, timeout).unwrap_or_else(timed_out)
    }
}

/// Delivers a request to the called controller, whose process answers it on a thread of its own.
fn peer_receives(
    simulation: &Arc<Simulation>,
    from: usize,
    to: usize,
    request: PeerRequest,
    reply_to: Arc<Slot<std::io::Result<PeerReply>>>,
) {
    let (process, controller) = {
        let state = simulation.state();
        (state.nodes[to].process, state.nodes[to].controller.clone())
    };
    let (Some(process), Some(controller)) = (process, controller) else {
        let refused = Err(std::io::Error::from(ErrorKind::ConnectionRefused));
        return reply_to.arrive(simulation, simulation.latency(), refused);
    };
    let seed = simulation.state().rng.u64(..);
    let sim = simulation.clone();
    let work = move || {
        let asked = borsh::to_vec(&request).unwrap();
        let reply = controller.answer_peer(request);
        let replied = borsh::to_vec(&reply).unwrap();
        sim.note_message(Channel::Peer, &[&[from as u8, to as u8], &asked, &replied]);
        let response_latency = sim.latency();
        let lost = sim
            .state()
            .is_cut(Endpoint::Node(to), Endpoint::Node(from), sim.now());
        if !lost {
            reply_to.arrive(&sim, response_latency, Ok(reply));
        }
    };
    simulation.scheduler.spawn(process, seed, Box::new(work));
}
