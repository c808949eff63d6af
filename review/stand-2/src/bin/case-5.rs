//! Case 5: a waiting job that its team's limit has no room for keeps the team's urgent jobs from starting.

use review_stand_2::{Job, izmir, portal, refill, with_trouble};
use std::time::Duration;

/// CPU limit of the team.
const LIMIT: f64 = 40.0;

/// Time between the batch and the urgent job, which must be longer than the maximum queue wait.
fn pause_s() -> f64 {
    let given = std::env::var("PAUSE_S").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(12.0)
}

fn main() {
    let site = izmir(&[("dagitim", 32.0, LIMIT)], 28);
    let service = portal(1, "dagitim", 15, 2.0, 3.2);
    site.submit(&service, 0);
    if !site.wait(30.0, |site| site.running(&service.id) == 15) {
        site.cannot_run("the service did not start");
    }
    if with_trouble() {
        // The rush: one more batch. A task of it needs 16 CPUs, and the team has 10 left.
        let batch = Job {
            lane: "gece-karisim",
            rank: "normal",
            ram_gb: 22.0,
            ..refill(2, "dagitim", 7, 16.0, 100.0)
        };
        site.submit(&batch, 1);
    }
    std::thread::sleep(Duration::from_secs_f64(pause_s()));
    let urgent = refill(3, "dagitim", 5, 2.0, 3.0);
    site.submit(&urgent, 2);
    let broken = site.waits_in_vain(&urgent, LIMIT, 90.0);
    let text = if broken {
        "BROKEN: the urgent job waited for 90 s while a machine had room and its team was under its limit"
    } else {
        "held: the urgent job started"
    };
    site.finish(broken, text);
}
