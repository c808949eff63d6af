//! Operating system interface of a simulated controller.

use crate::scheduler::{Time, lock};
use crate::sim_http::SimHttp;
use crate::sim_peer::SimPeer;
use crate::simulation::Simulation;
use aspenreel::os::{EventCount, HttpClient, ObservedCount, Os};
use aspenreel::peer::PeerTransport;
use aspenreel::time::{Moment, WallTime};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Microseconds in a year.
const YEAR: u64 = 365 * 24 * 3600 * 1_000_000;

/// Operating system interface of one process of a simulated controller.
pub struct SimOs {
    simulation: Arc<Simulation>,
    node: usize,
    /// Time at which the process started.
    started: Time,
    /// Error of the monotonic clock, in seconds per second.
    drift: f64,
    /// Error of the wall clock, in microseconds.
    skew: i64,
}

impl SimOs {
    /// Creates the interface of a process that starts now. `drift` is the error of its monotonic clock in seconds per
    /// second, `skew` the error of its wall clock in microseconds.
    pub fn new(
        simulation: &Arc<Simulation>,
        node: usize,
        _process: u64,
        drift: f64,
        skew: i64,
    ) -> SimOs {
        SimOs {
            simulation: simulation.clone(),
            node,
            started: simulation.now(),
            drift,
            skew,
        }
    }
}

impl Os for SimOs {
    fn now(&self) -> Moment {
        let since = self.simulation.now() - self.started;
        Moment((YEAR + since).saturating_add_signed((since as f64 * self.drift) as i64))
    }

    fn wall(&self) -> WallTime {
        WallTime((50 * YEAR + self.simulation.now()).saturating_add_signed(self.skew))
    }

    fn sleep(&self, time: Duration) {
        let late = self.simulation.random(0..2_000);
        let at = self.simulation.now() + time.as_micros() as Time + late;
        self.simulation.scheduler.sleep_until(at);
    }

    fn event_count(&self) -> Arc<dyn EventCount> {
        Arc::new(SimEventCount {
            simulation: self.simulation.clone(),
            state: Mutex::default(),
        })
    }

    fn http_client(&self, addr: SocketAddr) -> Arc<dyn HttpClient> {
        Arc::new(SimHttp {
            simulation: self.simulation.clone(),
            node: self.node,
            addr,
            connected: AtomicBool::new(false),
        })
    }

    fn peer_transport(&self, addr: SocketAddr) -> Arc<dyn PeerTransport> {
        let IpAddr::V4(ip) = addr.ip() else {
            panic!("peer address {addr} is not IPv4");
        };
        Arc::new(SimPeer {
            simulation: self.simulation.clone(),
            from: self.node,
            to: ip.octets()[3] as usize,
        })
    }
}

/// Event count whose waiting threads are woken by the scheduler.
struct SimEventCount {
    simulation: Arc<Simulation>,
    /// Number of notifications, and the waiting threads in the order in which they began to wait.
    state: Mutex<(u64, Vec<(u64, u64)>)>,
}

impl EventCount for SimEventCount {
    fn prepare_wait(&self) -> ObservedCount {
        ObservedCount(lock(&self.state).0)
    }

    fn wait(&self, observed: ObservedCount, timeout: Duration) {
        let sleeper = self.simulation.scheduler.sleeper();
        {
            let mut state = lock(&self.state);
            if ObservedCount(state.0) != observed {
                return;
            }
            state.1.push(sleeper);
        }
        let until = self.simulation.now() + timeout.as_micros() as Time;
        self.simulation.scheduler.sleep_until(until);
        lock(&self.state).1.retain(|s| *s != sleeper);
    }

    fn notify_one(&self) {
        let mut state = lock(&self.state);
        state.0 += 1;
        if !state.1.is_empty() {
            let first = state.1.remove(0);
            self.simulation
                .scheduler
                .wake(first, self.simulation.now() + 20);
        }
    }

    fn notify_all(&self) {
        let mut state = lock(&self.state);
        state.0 += 1;
        for sleeper in std::mem::take(&mut state.1) {
            self.simulation
                .scheduler
                .wake(sleeper, self.simulation.now() + 20);
        }
    }
}
