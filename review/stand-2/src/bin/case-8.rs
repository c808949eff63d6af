//! Case 8: a machine without free CPUs isn't used for tasks that need only its free GPUs, and no other is rented.

use review_stand_2::store::Limits;
use review_stand_2::{Build, Job, Site, SiteOptions, portal, refill, with_trouble};
use std::thread;
use std::time::Duration;

/// CPU limit of the team.
const LIMIT: f64 = 400.0;

const SETTINGS: &str = r#"skew_ms = 5.0

[[settings.teams]]
name = "vision"
cpus = 200.0
cpus_max = 400.0
gpus = 16.0
gpus_max = 32.0

[settings.workers]
report_s = 3.0
lease_s = 21.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 46.0

[settings.state]
rps = 120.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12

[settings.cloud]
rps = 8.0
list_lag_s = 8.0

[settings.quota]
cpu_share = 0.16
memory_mb = 104.0
sockets = 1500
"#;

fn main() {
    let build = Build {
        label: "g8",
        cpus: 96.0,
        gpus: 8.0,
        ram_gb: 768.0,
        startup_s: 20.0,
        yards: vec!["ege-bolge"],
        capacity: 28,
    };
    let site = Site::start(SiteOptions {
        builds: vec![build.clone()],
        settings: SETTINGS.into(),
        limits: Limits {
            rps: 120.0,
            write_rps: 20.0,
            value_bytes: 8 * 1024,
            txn_ops: 12,
        },
        report_s: 3.0,
        lease_s: 21.0,
        zones: vec!["ege-bolge"],
    });
    site.cloud.create(&build, "ege-bolge", true, true);
    // The rush: the same class twice at once. Together both take all CPUs of the machine.
    let services = if with_trouble() { 2 } else { 1 };
    for number in 1..=services {
        site.submit(&portal(number, "vision", 48, 1.0, 3.2), number as usize);
    }
    let all_run = |site: &Site| site.used_cpus() >= 48.0 * f64::from(services) - 1e-6;
    if !site.wait(30.0, all_run) {
        site.cannot_run("the services did not start");
    }
    thread::sleep(Duration::from_secs(4));
    let training = Job {
        lane: "train",
        gpus: 1.0,
        ram_gb: 16.0,
        ..refill(9, "vision", 2, 0.0, 20.0)
    };
    site.submit(&training, 0);
    let broken = site.waits_in_vain(&training, LIMIT, 90.0);
    let text = if broken {
        "BROKEN: the job waited for 90 s while a machine had its GPUs free, its team was under its limit and the cloud had 27 more machines"
    } else {
        "held: the job started"
    };
    site.finish(broken, text);
}
