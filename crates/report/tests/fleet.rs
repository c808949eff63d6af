//! The fleet measurement covers all machines and tasks.

use aspenreel_report::fleet_size::measure;
use std::time::Duration;

#[test]
fn all_machines_of_a_large_fleet_get_their_tasks() {
    let cost = measure(4200);
    assert_eq!((cost.machines, cost.placed), (4200, 4 * 4200));
}

/// Shortest of several measurements, since other processes may delay one of them.
fn status_request_time(machines: u32) -> Duration {
    let times = (0..5).map(|_| measure(machines).status_request);
    times.min().unwrap_or_default()
}

/// At 4,000 machines, questions about jobs once kept the leader from its other work.
#[test]
fn status_requests_take_longer_in_a_larger_fleet() {
    let (small, large) = (status_request_time(100), status_request_time(4000));
    assert!(
        large < small * 5,
        "100 machines: {small:?}, 4000: {large:?}"
    );
}
