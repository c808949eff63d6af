//! The measurement of fleets measures what it says.

use aspenreel_report::fleet_size::measure;

#[test]
fn every_machine_of_a_large_fleet_gets_its_tasks() {
    let cost = measure(4200);
    assert_eq!((cost.machines, cost.placed), (4200, 4 * 4200));
}
