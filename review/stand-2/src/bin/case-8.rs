//! Case 8: a team doesn't get its guarantee, since another team's borrowed CPUs are not given back.

use review_stand_2::{Job, izmir, portal, refill, with_trouble};
use std::thread;
use std::time::Duration;

/// CPUs that each team is guaranteed.
const GUARANTEE: f64 = 32.0;
/// How long the job may wait before the rule counts as broken, in seconds.
const LIMIT_S: f64 = 90.0;

fn main() {
    // The trouble: the cloud has no machine to give beyond the one that is up.
    let capacity = if with_trouble() { 1 } else { 28 };
    let teams = [("uyelik", GUARANTEE, 60.0), ("receteler", GUARANTEE, 60.0)];
    let site = izmir(&teams, capacity);
    let service = portal(1, "uyelik", 28, 2.0, 3.2);
    site.submit(&service, 0);
    if !site.wait(30.0, |site| site.running(&service.id) == 28) {
        site.cannot_run("the service did not start");
    }
    thread::sleep(Duration::from_secs(2));
    let batch = Job {
        lane: "gece-karisim",
        rank: "normal",
        ram_gb: 22.0,
        ..refill(2, "receteler", 1, 16.0, 20.0)
    };
    site.submit(&batch, 1);
    let submitted = site.record.seconds();
    let started = site.wait(LIMIT_S, |site| {
        let lent = 2.0 * site.running(&service.id) as f64 - GUARANTEE;
        site.record.line(&format!(
            "team uyelik uses {lent:.0} CPUs beyond its guarantee"
        ));
        thread::sleep(Duration::from_secs(2));
        site.status(&batch.id, 2);
        site.last_start(&batch.id).is_some()
    });
    let waited = site.record.seconds() - submitted;
    let text = if started {
        "held: the job within its team's guarantee started"
    } else {
        "BROKEN: a job within its team's guarantee waited for 90 s for CPUs that another team had borrowed"
    };
    site.record.line(&format!("waited {waited:.1} s"));
    site.finish(!started, text);
}
