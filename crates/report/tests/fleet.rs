//! The fleet measurement covers all machines and tasks.

use aspenreel_report::fleet_size::measure;

#[test]
fn all_machines_of_a_large_fleet_get_their_tasks() {
    let cost = measure(4200);
    assert_eq!((cost.machines, cost.placed), (4200, 4 * 4200));
}
