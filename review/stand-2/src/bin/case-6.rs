//! Case 6: a machine whose report is full counts as capacity, so that no machine is rented for an urgent job.

use review_stand_2::{izmir, portal, refill, with_trouble};
use std::sync::atomic::Ordering;

/// CPU limit of the team.
const LIMIT: f64 = 712.0;

fn main() {
    let site = izmir(&[("uyelik", 336.0, LIMIT)], 28);
    site.fleet.verbose.store(false, Ordering::Relaxed);
    // The rush: the same class twice at once.
    let services = if with_trouble() { 2 } else { 1 };
    for number in 1..=services {
        site.submit(&portal(number, "uyelik", 290, 0.1, 0.1), number as usize);
    }
    if !site.wait(30.0, |site| site.running("run-000001") >= 270) {
        site.cannot_run("the services did not start");
    }
    std::thread::sleep(std::time::Duration::from_secs(4));
    let urgent = refill(9, "uyelik", 2, 2.0, 35.0);
    site.submit(&urgent, 0);
    let broken = site.waits_in_vain(&urgent, LIMIT, 90.0);
    let text = if broken {
        "BROKEN: the urgent job waited for 90 s while a machine had room, its team was under its limit and the cloud had 27 more machines"
    } else {
        "held: the urgent job started"
    };
    site.finish(broken, text);
}
