//! Addresses for controllers that nobody else listens on.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports for controllers come from below the range from which the system takes those of connections: a port
/// of that range could be taken by another test's connection before the controller listens on it, and then
/// the controller would end, and its test wait for it in vain.
const FIRST_PORT: u16 = 20_000;

const PORTS: u16 = 10_000;

/// More than one process takes, and prime to the number of ports.
const PORTS_APART: u32 = 389;

/// A port that nobody else in this process gets, and that nobody listens on.
fn free() -> SocketAddr {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    // Runs of other copies at the same time begin elsewhere: their numbers may follow each other.
    let first = (std::process::id().wrapping_mul(PORTS_APART) % u32::from(PORTS)) as u16;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        assert!(taken < PORTS, "no free port");
        let port = FIRST_PORT + (first + taken) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Where three controllers listen, for users and for each other.
pub struct Addresses {
    /// For users and workers, by controller.
    pub public: Vec<SocketAddr>,
    /// For the other controllers, by controller.
    pub peers: Vec<SocketAddr>,
}

impl Addresses {
    /// Addresses that nobody listens on.
    pub fn free() -> Addresses {
        Addresses {
            public: (0..3).map(|_| free()).collect(),
            peers: (0..3).map(|_| free()).collect(),
        }
    }
}
