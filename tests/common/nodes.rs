//! Starts controllers of the program under test.

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

/// Starts three controllers of the program under test that share one key-value store.
pub fn start(store: SocketAddr, cloud: SocketAddr, tag: &str) -> Nodes {
    start_with_stores([store; 3], cloud, tag)
}

/// Starts three controllers of the program under test, each with an address of its own for the key-value store.
pub fn start_with_stores(stores: [SocketAddr; 3], cloud: SocketAddr, tag: &str) -> Nodes {
    start_program(program_under_test(), stores, cloud, tag)
}

/// Starts three controllers from `program`, which may be an earlier version.
pub fn start_program(
    program: &Path,
    stores: [SocketAddr; 3],
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
        stores,
        cloud,
        tag,
        |path| spawn_program(program, path),
    )
}

/// Returns the path of the program that cargo built for this test.
pub fn program_under_test() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_aspenreel"))
}

/// Starts a controller of the program under test.
pub fn spawn(config: &Path) -> Child {
    spawn_program(program_under_test(), config)
}

/// Starts a controller from `program`, which may be an earlier version.
pub fn spawn_program(program: &Path, config: &Path) -> Child {
    spawn_controller(program, config, &[], "error", Stdio::inherit())
}

/// Starts a controller with `--half-cut-links`, and with delays that fit the short leases of the tests.
pub fn spawn_with_link_monitoring(config: &Path) -> Child {
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

/// Starts the key-value store, the cloud and three controllers, and waits until the controllers are up.
pub fn start_cluster(tag: &str) -> (Arc<StoreServer>, Arc<CloudServer>, Nodes) {
    let (store, store_addr) = StoreServer::start();
    let (cloud, cloud_addr) = CloudServer::start();
    let nodes = start(store_addr, cloud_addr, tag);
    let named = |n: usize| (format!("n-{n}"), nodes.public[n]);
    *cloud.controllers.lock().unwrap() = (0..3).map(named).collect();
    for n in 0..3 {
        nodes.poll_until(n, "GET", "/up", &[], |s, _| s == 200);
    }
    (store, cloud, nodes)
}
