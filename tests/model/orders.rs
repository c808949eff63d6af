//! Direct commands that are held on their way for longer than a cancellation may take, while heartbeats
//! renew the workers' agent epochs.

use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{CANCEL_S, Setup};
use aspenreel_simulation::workloads::*;

/// Jobs are cancelled while their starts are on the way. Whatever arrives late starts nothing.
#[test]
fn commands_are_held_for_longer_than_a_cancellation_takes() {
    let ends = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 70.0, 60, |i, p| {
            p.run_s = 6.0 + f64::from(i % 4) * 6.0
        });
        let held = CANCEL_S + 4.0..CANCEL_S + 50.0;
        sim.at(6.0, move |sim| sim.delay_commands(0.5, held, 70.0));
        cancel_after_acceptance(sim, &every_nth(&ids, 2), 8.0, rng);
    });
    for end in ends {
        assert!(end.cancelled > 10 && end.done > 20, "{end:?}");
    }
}

/// The same while the lead changes, whoever confirmed the cancellation.
#[test]
fn commands_are_held_while_leaders_change() {
    let ends = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 90.0, 60, |i, p| {
            p.run_s = 6.0 + f64::from(i % 4) * 6.0
        });
        let held = 10.0..CANCEL_S + 50.0;
        sim.at(6.0, move |sim| sim.delay_commands(0.5, held, 90.0));
        for k in 0..5 {
            let at = 15.0 + 18.0 * f64::from(k) + rng.f64() * 6.0;
            let back = 0.2 + rng.f64() * 3.0;
            sim.at(at, move |sim| sim.crash(sim.leader_or_any(), back));
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 2), 8.0, rng);
    });
    for end in ends {
        assert!(end.leaders >= 5 && end.cancelled > 10, "{end:?}");
    }
}

/// Work is preempted while its starts are on the way: it starts elsewhere, and the late start must find
/// its right lapsed.
#[test]
fn commands_are_held_while_work_is_preempted() {
    let site = Setup {
        capacity: 5,
        machines: vec![("small", "east", true, 3), ("small", "west", true, 2)],
        ..setup()
    };
    let ends = run(SEEDS, &site, |sim, _| {
        jobs(sim, 4.0, 90.0, 60, |i, p| {
            p.priority = ["low", "normal", "high", "production"][i as usize % 4];
            p.cpus = 4.0;
            p.run_s = 8.0;
        });
        let held = 25.0..CANCEL_S + 50.0;
        sim.at(6.0, move |sim| sim.delay_commands(0.6, held, 90.0));
    });
    for end in ends {
        assert!(end.done > 40, "{end:?}");
    }
}

/// Every direct order to hundreds of machines is held, and all jobs are cancelled at once: few tokens fence
/// all of them off, and no agent epoch ends for it.
#[test]
fn a_wave_of_cancellations_ends_no_session() {
    let site = Setup {
        capacity: 300,
        machines: vec![("small", "east", true, 150), ("small", "west", true, 150)],
        teams: vec![("a", 2400.0), ("b", 24.0)],
        ..setup()
    };
    let ends = run(2, &site, |sim, _| {
        sim.at(8.0, |sim| {
            sim.delay_commands(1.0, CANCEL_S + 4.0..CANCEL_S + 20.0, 12.0)
        });
        let ids = jobs(sim, 10.0, 14.0, 40, |_, p| {
            p.tasks = 7;
            p.cpus = 8.0;
            p.run_s = 30.0;
        });
        for id in ids {
            sim.at(16.0, move |sim| sim.user_cancels(&id));
        }
    });
    for end in ends {
        assert!(
            end.commands.unconfirmed_starts > 10 && end.cancelled > 30,
            "{end:?}"
        );
        assert!(end.commands.raises <= 3, "{end:?}");
        let for_doubt = (end.commands.withheld, end.commands.ended_by_epoch);
        assert_eq!(for_doubt, (0, 0), "{end:?}");
    }
}
