//! Real controllers with link monitoring, behind relays that can block single directions.
//!
//! While links are cut, users submit, query and cancel jobs, and workers run tasks. The checker of the simulation
//! checks the answers that users get and the tasks that run. Each test runs one round of each fault. For more rounds,
//! with faults at other times: `LINKS_ROUNDS=20 cargo test --test service half_cut_links` (`docs/half-cut-links.md`).

use crate::nodes::spawn_with_link_monitoring;
use aspenreel_simulation::directions::Direction;
use aspenreel_simulation::stand_ins::deployment::Deployment;
use aspenreel_simulation::stand_ins::loopback_cluster::{LoopbackCluster, NODES};
use aspenreel_simulation::stand_ins::loopback_users::Users;
use aspenreel_simulation::stand_ins::relay::Traffic;
use std::time::{Duration, Instant};

/// Duration of a fault: longer than the workers' lease and the leader's lease.
const FAULT_DURATION: Duration = Duration::from_millis(4600);

/// Temporary fault of some directions of the leader's links.
enum Fault {
    /// The traffic of the directions is treated like this.
    Steady(Traffic),
    /// The directions are blocked for the first half of each period.
    Flapping(Duration),
}

/// Applies a fault to each choice of directions while users and workers are active, and checks the rules. A choice
/// consists of indices into [`Direction::all_of`] the leader.
fn run(tag: &str, choices: &[&[usize]], fault: &Fault) {
    let rounds: u32 = match std::env::var("LINKS_ROUNDS") {
        Ok(rounds) => rounds.parse().unwrap(),
        Err(_) => 1,
    };
    let cluster = LoopbackCluster::start(tag, &Deployment::default(), spawn_with_link_monitoring);
    let mut users = Users::new(&cluster, 1, 0);
    users.run_for(Duration::from_millis(2500));
    for _ in 0..rounds {
        for choice in choices {
            let all = Direction::all_of(cluster.wait_for_leader(), NODES);
            let directions: Vec<Direction> = choice.iter().map(|n| all[*n]).collect();
            let set = |traffic| {
                directions
                    .iter()
                    .for_each(|direction| cluster.set_traffic(*direction, traffic));
            };
            match fault {
                Fault::Steady(traffic) => {
                    set(*traffic);
                    users.run_for(FAULT_DURATION);
                    set(Traffic::Passes);
                }
                Fault::Flapping(period) => {
                    let end = Instant::now() + 2 * FAULT_DURATION;
                    while Instant::now() < end {
                        set(Traffic::Blocked);
                        users.run_for(*period / 2);
                        set(Traffic::Passes);
                        users.run_for(*period / 2);
                    }
                }
            }
            let pause_ms = users.rng.u64(200..900);
            users.run_for(Duration::from_millis(pause_ms));
        }
    }
    users.run_until_all_ended();
    cluster.with_checker(|checker, now| {
        checker.check_time_limits(now);
        assert_eq!(checker.violations, Vec::<String>::new());
        assert!(checker.answered_done > 5, "too few jobs were done");
    });
    let duplicate_runs = cluster.cloud.environment.duplicate_runs.lock().unwrap();
    assert_eq!(*duplicate_runs, Vec::<String>::new());
}

/// Directions to and from the key-value store.
const STORE: [&[usize]; 3] = [&[0], &[1], &[0, 1]];
/// Directions to and from the workers.
const WORKERS: [&[usize]; 3] = [&[2], &[3], &[2, 3]];
/// Directions to and from one peer, and those of both peers.
const PEERS: [&[usize]; 3] = [&[4], &[5], &[4, 5, 6, 7]];

#[test]
fn each_direction_of_the_store_link_is_blocked() {
    run("cut-state", &STORE, &Fault::Steady(Traffic::Blocked));
}

#[test]
fn each_direction_of_the_worker_links_is_blocked() {
    run("cut-workers", &WORKERS, &Fault::Steady(Traffic::Blocked));
}

#[test]
fn each_direction_of_the_peer_links_is_blocked() {
    run("cut-peers", &PEERS, &Fault::Steady(Traffic::Blocked));
}

#[test]
fn links_are_reset_or_slow() {
    let choices: [&[usize]; 3] = [&[0], &[2], &[4]];
    run("reset", &choices, &Fault::Steady(Traffic::Reset));
    let slow = Traffic::Delayed(Duration::from_millis(300));
    run("slow", &choices, &Fault::Steady(slow));
}

#[test]
fn links_flap() {
    let choices: [&[usize]; 2] = [&[0, 1], &[2, 3]];
    let period = Duration::from_millis(1400);
    run("flaps", &choices, &Fault::Flapping(period));
}
