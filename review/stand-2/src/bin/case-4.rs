//! Case 4: a task starts on one machine while it is on another. The new leader's first answer renews the session of a
//! machine that holds a task unknown to it, and the new leader counts one lease from the beginning of its term.

use review_stand_2::{Job, Site, Worker, izmir, refill, with_trouble};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the machine's network is back between the two cuts.
const BACK: Duration = Duration::from_millis(350);
/// Time for which a controller is away.
const AWAY: Duration = Duration::from_secs(4);

fn main() {
    let mut site = izmir(&[("receteler", 192.0, 336.0)], 28);
    let build = site.cloud.builds[0].clone();
    for _ in 0..2 {
        site.cloud.create(&build, "ege-bolge", true, true);
    }
    // Opens the connections on which direct commands are sent.
    let first = Job {
        lane: "gece-karisim",
        rank: "normal",
        ram_gb: 22.0,
        ..refill(1, "receteler", 3, 60.0, 1.0)
    };
    site.submit(&first, 0);
    if !site.wait(40.0, |site| site.completed(&first.id) == 3) {
        site.cannot_run("the first job did not run");
    }
    let machine = site.cloud.machines.lock().unwrap()["n-000001"].clone();
    if !site.wait(20.0, |_| machine.pieces() == 0) {
        site.cannot_run("the first job was not cleared");
    }
    thread::sleep(Duration::from_secs(4));
    let (Some(leader), Some(term)) = (site.leader(), site.term()) else {
        site.cannot_run("there is no leader");
    };
    let job = Job {
        id: "run-000002".into(),
        guess_s: 25.0,
        run: Some(Duration::from_secs(25)),
        ..first
    };
    if with_trouble() {
        while machine.lease_age() > Duration::from_millis(200) {
            thread::sleep(Duration::from_millis(5));
        }
        machine.cut();
        site.submit(&job, leader);
        if !site.wait(5.0, |_| machine.held_commands() > 0) {
            site.cannot_run("no direct command was sent to the machine");
        }
        site.kill_controller(leader);
        await_report(&mut site, &machine, leader, term);
        machine.restore();
        thread::sleep(BACK);
        machine.cut();
    } else {
        site.submit(&job, leader);
    }
    let ran_twice = |site: &Site| !site.fleet.ran_twice.lock().unwrap().is_empty();
    site.wait(45.0, |site| ran_twice(site) || site.completed(&job.id) >= 3);
    site.status(&job.id, (leader + 1) % 3);
    let broken = ran_twice(&site);
    let text = match broken {
        true => format!(
            "BROKEN: {}",
            site.fleet.ran_twice.lock().unwrap().join("; ")
        ),
        false => "held: no task started while it was on another machine".to_string(),
    };
    site.finish(broken, &text);
}

/// Starts the killed controller again after 4 s, and waits until a report of the machine is on its way to the next
/// leader, since less than 0.1 s and at least 2.5 s after that leader's election.
fn await_report(site: &mut Site, machine: &Worker, killed: usize, term: u64) {
    let at = Instant::now();
    let mut elected = None;
    let mut is_away = true;
    loop {
        if is_away && at.elapsed() > AWAY {
            site.start_controller(killed);
            is_away = false;
        }
        if elected.is_none() && site.term().is_some_and(|next| next > term) {
            elected = Some(Instant::now());
            let text = format!("elected: reelhand-{}", site.leader().unwrap_or(9));
            site.record.line(&text);
        }
        if let (Some(elected), Some((node, age))) = (elected, machine.held_report())
            && site.leader() == Some(node)
            && (Duration::from_millis(10)..Duration::from_millis(100)).contains(&age)
            && elected.elapsed().saturating_sub(age) > Duration::from_millis(2500)
        {
            return;
        }
        if machine.shift() > 1 {
            site.record
                .say("no report was on its way to the new leader in time");
            site.stop();
            std::process::exit(review_stand_2::CANNOT_RUN);
        }
        thread::sleep(Duration::from_millis(5));
    }
}
