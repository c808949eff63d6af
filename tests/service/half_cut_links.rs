//! Real controllers that watch their links, behind relays that cut one direction at a time.
//!
//! While links are cut users submit, ask and cancel, and workers run tasks; the checker of the simulation watches
//! the rules from what users are told and what workers do. Each test runs one round of each cut; more, with
//! other moments: `LINKS_ROUNDS=20 cargo test --test service half_cut_links` (`docs/half-cut-links.md`).

use crate::nodes::spawn_with_link_health;
use aspenreel_simulation::directions::Direction;
use aspenreel_simulation::stand_ins::deployment::Deployment;
use aspenreel_simulation::stand_ins::loopback_cluster::{LoopbackCluster, NODES};
use aspenreel_simulation::stand_ins::loopback_users::Users;
use aspenreel_simulation::stand_ins::relay::Traffic;
use std::time::{Duration, Instant};

/// Longer than the workers' lease, and than the leader's.
const CUT: Duration = Duration::from_millis(4600);

/// What is done to some ways of the leader for a while.
enum Fault {
    Steady(Traffic),
    /// The ways are blocked for the first half of each period.
    Flapping(Duration),
}

/// Runs a fault on each choice of ways, with users and workers at work, and checks the history.
fn run(tag: &str, choices: &[&[usize]], trouble: &Fault) {
    let rounds: u32 = match std::env::var("LINKS_ROUNDS") {
        Ok(rounds) => rounds.parse().unwrap(),
        Err(_) => 1,
    };
    let cluster = LoopbackCluster::start(tag, &Deployment::default(), spawn_with_link_health);
    let mut users = Users::new(&cluster, 1, 0);
    users.run_for(Duration::from_millis(2500));
    for _ in 0..rounds {
        for choice in choices {
            let all = Direction::all_of(cluster.wait_for_leader(), NODES);
            let ways: Vec<Direction> = choice.iter().map(|n| all[*n]).collect();
            let set = |traffic| {
                ways.iter()
                    .for_each(|way| cluster.set_traffic(*way, traffic))
            };
            match trouble {
                Fault::Steady(traffic) => {
                    set(*traffic);
                    users.run_for(CUT);
                    set(Traffic::Passes);
                }
                Fault::Flapping(period) => {
                    let ends = Instant::now() + 2 * CUT;
                    while Instant::now() < ends {
                        set(Traffic::Blocked);
                        users.run_for(*period / 2);
                        set(Traffic::Passes);
                        users.run_for(*period / 2);
                    }
                }
            }
            let moment = users.rng.u64(200..900);
            users.run_for(Duration::from_millis(moment));
        }
    }
    users.run_until_all_ended();
    cluster.with_checker(|checker, now| {
        checker.check_time_limits(now);
        assert_eq!(checker.violations, Vec::<String>::new());
        assert!(checker.answered_done > 5, "hardly anything ran");
    });
    let twice = cluster.cloud.environment.duplicate_runs.lock().unwrap();
    assert_eq!(*twice, Vec::<String>::new());
}

const STATE: [&[usize]; 3] = [&[0], &[1], &[0, 1]];
const WORKERS: [&[usize]; 3] = [&[2], &[3], &[2, 3]];
const PEERS: [&[usize]; 3] = [&[4], &[5], &[4, 5, 6, 7]];

#[test]
fn each_direction_to_the_state_service_is_blocked() {
    run("cut-state", &STATE, &Fault::Steady(Traffic::Blocked));
}

#[test]
fn each_direction_to_workers_is_blocked() {
    run("cut-workers", &WORKERS, &Fault::Steady(Traffic::Blocked));
}

#[test]
fn each_direction_to_peers_is_blocked() {
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
