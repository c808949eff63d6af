//! Controllers of the program under test.

use aspenreel_simulation::stand_ins::cloud_server::CloudServer;
pub use aspenreel_simulation::stand_ins::deployment::Deployment;
pub use aspenreel_simulation::stand_ins::ports::Addresses;
use aspenreel_simulation::stand_ins::processes::spawn_controller;
pub use aspenreel_simulation::stand_ins::processes::{JobStatus, Nodes, job, leader};
use aspenreel_simulation::stand_ins::store_server::StoreServer;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Stdio};
use std::sync::Arc;

/// Three processes of the newest version.
pub fn start(state: SocketAddr, cloud: SocketAddr, tag: &str) -> Nodes {
    start_with_stores([state; 3], cloud, tag)
}

/// The same, each with its own way to the key-value store.
pub fn start_with_stores(states: [SocketAddr; 3], cloud: SocketAddr, tag: &str) -> Nodes {
    start_program(program_under_test(), states, cloud, tag)
}

/// Processes of some version.
pub fn start_program(
    program: &Path,
    states: [SocketAddr; 3],
    cloud: SocketAddr,
    tag: &str,
) -> Nodes {
    let addresses = Addresses::free();
    let peers = addresses.peers.clone();
    let peer_address = |_, to: usize| peers[to];
    Nodes::start(
        &Deployment::default(),
        addresses,
        peer_address,
        states,
        cloud,
        tag,
        |path| spawn_program(program, path),
    )
}

pub fn program_under_test() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_aspenreel"))
}

pub fn spawn(config: &Path) -> Child {
    spawn_program(program_under_test(), config)
}

/// A process of some version.
pub fn spawn_program(program: &Path, config: &Path) -> Child {
    spawn_controller(program, config, &[], "error", Stdio::inherit())
}

/// A process that watches its links, with delays that suit the tests' short leases.
pub fn spawn_with_link_health(config: &Path) -> Child {
    let flags = [
        "--half-cut-links",
        "--link-down-after-ms",
        "600",
        "--link-up-after-ms",
        "300",
        "--handover-after-ms",
        "300",
        "--handover-pause-ms",
        "3000",
    ];
    spawn_controller(
        program_under_test(),
        config,
        &flags,
        "error",
        Stdio::inherit(),
    )
}

/// Three controllers that are up, and the stand-ins that they talk to.
pub fn start_cluster(tag: &str) -> (Arc<StoreServer>, Arc<CloudServer>, Nodes) {
    let (state, state_addr) = StoreServer::start();
    let (cloud, cloud_addr) = CloudServer::start();
    let nodes = start(state_addr, cloud_addr, tag);
    let named = |i: usize| (format!("n-{i}"), nodes.public[i]);
    *cloud.controllers.lock().unwrap() = (0..3).map(named).collect();
    for n in 0..3 {
        nodes.poll_until(n, "GET", "/up", &[], |s, _| s == 200);
    }
    (state, cloud, nodes)
}
