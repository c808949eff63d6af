//! Standing services: what happens to them when machines and leaders are lost.

use aspenreel_simulation::plans::*;
use aspenreel_simulation::play::play;
use aspenreel_simulation::sched::lock;
use aspenreel_simulation::trouble;
use aspenreel_simulation::world::{Setup, World};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

/// Standing jobs and arrays on the same machines, with replicas that end by themselves: whatever
/// happens, each replica runs again, and a standing job ends only when it is cancelled.
pub fn standing_jobs(w: &Arc<World>, rng: &mut fastrand::Rng) -> Vec<String> {
    let standing = jobs(w, 6.0, 30.0, 8, |i, p| {
        p.id = format!("run-{}", 500 + i);
        p.standing = true;
        p.tasks = 2 + i % 3;
        p.cpus = 1.0;
        p.rank = "production";
        p.spread = i % 4 == 3;
        p.run_s = match i % 3 {
            0 => 40.0,
            _ => 100_000.0,
        };
    });
    let arrays = jobs(w, 4.0, 70.0, 30, |i, p| {
        p.cpus = 2.0;
        p.run_s = 5.0 + f64::from(i % 5) * 3.0;
    });
    cancel_soon(w, &every_other(&arrays, 5), 10.0, rng);
    cancel_each(w, &every_other(&standing, 3), 40.0, 90.0, rng);
    look_closely(w, &every_other(&standing, 2));
    standing
}

#[test]
fn standing_jobs_on_a_quiet_day() {
    for end in play(2, &setup(), |w, rng| drop(standing_jobs(w, rng))) {
        assert!(end.cancelled >= 3 && end.leaders == 1, "{end:?}");
    }
}

/// The troubles of the operators' pages, with leaders that change and machines that are lost.
#[test]
fn standing_jobs_lose_machines_and_leaders() {
    let ends = play(2 * SEEDS, &setup(), |w, rng| {
        standing_jobs(w, rng);
        for k in 0..3 {
            let at = 30.0 + 20.0 * f64::from(k) + rng.f64() * 8.0;
            let (kind, span, of) = (rng.u32(0..6), 4.0 + rng.f64() * 20.0, rng.usize(2..5));
            w.at(at, move |w| {
                let some = share(w.machines_up(), of);
                match kind {
                    0 => w.die(&some),
                    1 => w.cut(&some, span, true),
                    2 => w.hang(&some, span),
                    3 => w.mute(&some, span),
                    4 => w.deafen(&some, span),
                    _ => w.cut_zone("west", span),
                }
            });
            let back = 0.2 + rng.f64() * 3.0;
            w.at(at + rng.f64() * 6.0, move |w| {
                w.crash(w.leader_or_any(), back)
            });
        }
    });
    for end in ends {
        assert!(end.cancelled >= 3 && end.leaders >= 3, "{end:?}");
    }
}

/// Standing jobs of every kind: bound to one zone or spread over two, of one place only, without spot
/// machines, of the largest size that their team's limit allows, and with replicas that fail at once.
fn services_of_every_kind(w: &Arc<World>) -> Vec<String> {
    jobs(w, 6.0, 20.0, 8, |i, p| {
        p.id = format!("run-{}", 600 + i);
        p.standing = true;
        p.rank = "production";
        p.cpus = 1.0;
        p.tasks = 3;
        p.run_s = 100_000.0;
        match i {
            0 => p.zone = Some("west".into()),
            1 => p.one_zone = true,
            2 => p.spread = true,
            3 => p.spot = false,
            4 => (p.team, p.tasks, p.cpus) = ("b".into(), 24, 1.0),
            5 => p.run_s = 0.3,
            6 => (p.one_zone, p.spot) = (true, false),
            _ => (p.zone, p.spot) = (Some("east".into()), false),
        }
    })
}

/// Machines with replicas are recalled, hang, are cut off or die, and the leader changes, while arrays
/// fill what room there is. Each service is cancelled in one of these states, and asked for again. A start
/// that its machine was about to make may come after the confirmation only where no order reaches it.
#[test]
fn services_of_every_kind_lose_machines_and_are_cancelled() {
    let ends = play(2 * SEEDS, &setup(), |w, rng| {
        let unreached: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let services = services_of_every_kind(w);
        jobs(w, 4.0, 90.0, 60, |i, p| {
            p.run_s = 4.0 + f64::from(i % 4) * 4.0;
            p.rank = "low";
        });
        look_closely(w, &services);
        for (n, id) in services.iter().enumerate() {
            let at = 30.0 + 8.0 * n as f64 + rng.f64() * 3.0;
            let (kind, span) = (rng.u32(0..6), 2.0 + rng.f64() * 20.0);
            let (lost, unreached) = (id.clone(), unreached.clone());
            w.at(at, move |w| {
                let on = w.machines_of(&lost);
                if matches!(kind, 1..=3) {
                    lock(&unreached).extend(on.iter().cloned());
                }
                match kind {
                    0 => w.give_preemption_notice(&on, span),
                    1 => w.hang(&on, span),
                    2 => w.cut(&on, span, false),
                    3 => w.cut(&on, span, true),
                    4 => w.die(&on),
                    _ => w.mute(&on, span),
                }
            });
            let cancelled = id.clone();
            w.at(at + rng.f64() * 8.0, move |w| w.user_cancels(&cancelled));
            let again = id.clone();
            w.at(150.0 + n as f64, move |w| w.ask_everywhere(&again));
        }
        w.at(160.0, move |w| {
            let on_unreached = |start: &String| {
                let on = start.split(' ').nth(2);
                on.is_some_and(|machine| lock(&unreached).contains(machine))
            };
            let late = &w.state().checker.late_starts;
            assert!(late.iter().all(on_unreached), "{late:?}");
        });
        for k in 0..3 {
            let (at, back) = (35.0 + 22.0 * f64::from(k), 0.2 + rng.f64() * 3.0);
            w.at(at + rng.f64() * 8.0, move |w| {
                w.crash(w.leader_or_any(), back)
            });
        }
    });
    for end in ends {
        assert!(end.cancelled == 8 && end.done > 30, "{end:?}");
    }
}

/// Two hundred services beside thousands of array tasks, on eighty machines, with two changes of leaders and
/// a wave of recalls: a new leader finds the replicas among them, and neither starves the other.
#[test]
fn services_among_thousands_of_tasks() {
    let site = Setup {
        machines: vec![("small", "east", true, 40), ("small", "west", true, 40)],
        teams: vec![("a", 300.0), ("b", 600.0)],
        capacity: 60,
        ..setup()
    };
    let ends = play(2, &site, |w, rng| {
        jobs(w, 4.0, 40.0, 200, |i, p| {
            p.id = format!("run-{}", 3000 + i);
            p.standing = true;
            p.rank = "production";
            p.cpus = 0.25;
            p.tasks = 2 + i % 3;
            p.run_s = 100_000.0;
        });
        let arrays = jobs(w, 4.0, 70.0, 40, |i, p| {
            p.team = "b".into();
            p.tasks = 60;
            p.cpus = 1.0;
            p.run_s = 8.0 + f64::from(i % 5) * 2.0;
        });
        cancel_each(w, &every_other(&arrays, 8), 40.0, 70.0, rng);
        w.at(45.0 + rng.f64() * 4.0, |w| w.crash(w.leader_or_any(), 0.5));
        w.at(60.0 + rng.f64() * 4.0, |w| {
            let some = share(w.machines_up(), 3);
            w.give_preemption_notice(&some, 6.0);
        });
        w.at(62.0 + rng.f64() * 6.0, |w| w.crash(w.leader_or_any(), 3.0));
    });
    for end in ends {
        assert!(end.starts > 2500 && end.leaders >= 3, "{end:?}");
        assert!(end.done >= 35, "{end:?}");
    }
}

/// Standing jobs beside whatever the seed draws.
#[test]
fn standing_jobs_under_any_troubles() {
    play(2 * SEEDS, &setup(), |w, rng| {
        standing_jobs(w, rng);
        trouble::draw(w, rng);
    });
}
