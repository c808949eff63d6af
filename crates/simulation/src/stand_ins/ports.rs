//! Loopback addresses for controllers, on ports that nothing else uses.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Controllers use ports below the range from which the operating system assigns ports to connections. A port of
/// that range could be taken by another test's connection before the controller listens on it; the controller
/// would then exit, and its test would wait until its timeout.
const FIRST_PORT: u16 = 20_000;

/// Number of ports for controllers, from `FIRST_PORT` on.
const PORT_COUNT: u16 = 10_000;

/// Distance between the first ports of processes with consecutive ids. It is larger than the number of ports that
/// one process takes, and coprime to `PORT_COUNT`.
const PORT_STRIDE: u32 = 389;

/// Returns an address that nothing listens on and that this function returns only once in this process.
fn free_addr() -> SocketAddr {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    // Tests of other checkouts may run at the same time, with consecutive process ids: each process starts at
    // a port of its own.
    let first = (std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT)) as u16;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        assert!(
            taken < PORT_COUNT,
            "all {PORT_COUNT} ports for controllers have been tried"
        );
        let port = FIRST_PORT + (first + taken) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Addresses on which three controllers listen.
pub struct Addresses {
    /// Addresses for users and workers, by controller.
    pub public: Vec<SocketAddr>,
    /// Addresses for the other controllers, by controller.
    pub peers: Vec<SocketAddr>,
}

impl Addresses {
    /// Selects addresses that nothing listens on.
    pub fn free() -> Addresses {
        Addresses {
            public: (0..3).map(|_| free_addr()).collect(),
            peers: (0..3).map(|_| free_addr()).collect(),
        }
    }
}
