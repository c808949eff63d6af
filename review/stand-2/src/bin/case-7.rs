//! Case 7: after many small tasks have ended at once, nothing more is placed on their machine.

use review_stand_2::{izmir, portal, refill, with_trouble};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// CPU limit of the team.
const LIMIT: f64 = 712.0;

fn main() {
    let site = izmir(&[("uyelik", 336.0, LIMIT)], 28);
    site.fleet.verbose.store(false, Ordering::Relaxed);
    let service = portal(1, "uyelik", 2, 2.0, 3.2);
    site.submit(&service, 0);
    if !site.wait(30.0, |site| site.running(&service.id) == 2) {
        site.cannot_run("the service did not start");
    }
    std::thread::sleep(Duration::from_secs(4));
    // The rush: three times as many orders as usual in one job array.
    let pieces = if with_trouble() { 1200 } else { 400 };
    let orders = refill(2, "uyelik", pieces, 0.1, 2.0);
    site.submit(&orders, 1);
    let broken = site.waits_in_vain(&orders, LIMIT, 90.0);
    let text = if broken {
        "BROKEN: tasks of the job waited for 90 s while a machine had room and its team was under its limit"
    } else {
        "held: nothing of the job waits"
    };
    site.finish(broken, text);
}
