//! Direct commands that are delayed for longer than a cancellation may take, while heartbeats keep renewing the
//! workers' leases, so that no agent epoch ends by itself.

use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{CANCEL_S, Setup};
use aspenreel_simulation::workloads::*;

/// Jobs are cancelled while their start commands are in flight. Starts that arrive after the confirmation must not
/// be executed.
#[test]
fn delayed_starts_of_cancelled_jobs_are_not_executed() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 70.0, 60, |i, p| {
            p.run_s = 6.0 + f64::from(i % 4) * 6.0
        });
        let delay_s = CANCEL_S + 4.0..CANCEL_S + 50.0;
        sim.at(6.0, move |sim| sim.delay_commands(0.5, delay_s, 70.0));
        cancel_after_acceptance(sim, &every_nth(&ids, 2), 8.0, rng);
    });
    for summary in summaries {
        assert!(summary.cancelled > 10 && summary.done > 20, "{summary:?}");
    }
}

/// The same across leader changes: the cancellation may be confirmed by a later leader than the one that sent the
/// start.
#[test]
fn delayed_starts_of_cancelled_jobs_are_not_executed_after_leader_changes() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 90.0, 60, |i, p| {
            p.run_s = 6.0 + f64::from(i % 4) * 6.0
        });
        let delay_s = 10.0..CANCEL_S + 50.0;
        sim.at(6.0, move |sim| sim.delay_commands(0.5, delay_s, 90.0));
        for k in 0..5 {
            let at = 15.0 + 18.0 * f64::from(k) + rng.f64() * 6.0;
            let back = 0.2 + rng.f64() * 3.0;
            sim.at(at, move |sim| sim.crash(sim.leader_or_any(), back));
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 2), 8.0, rng);
    });
    for summary in summaries {
        assert!(
            summary.leaders >= 5 && summary.cancelled > 10,
            "{summary:?}"
        );
    }
}

/// Tasks are preempted while their start commands are in flight, and start on other machines. The delayed start is
/// no longer valid when it arrives.
#[test]
fn delayed_starts_of_preempted_tasks_are_not_executed() {
    let cluster = Setup {
        capacity: 5,
        machines: vec![("small", "east", true, 3), ("small", "west", true, 2)],
        ..setup()
    };
    let summaries = run(SEEDS, &cluster, |sim, _| {
        jobs(sim, 4.0, 90.0, 60, |i, p| {
            p.priority = ["low", "normal", "high", "production"][i as usize % 4];
            p.cpus = 4.0;
            p.run_s = 8.0;
        });
        let delay_s = 25.0..CANCEL_S + 50.0;
        sim.at(6.0, move |sim| sim.delay_commands(0.6, delay_s, 90.0));
    });
    for summary in summaries {
        assert!(summary.done > 40, "{summary:?}");
    }
}

/// All direct commands to hundreds of machines are delayed, and all jobs are cancelled at once. A few raises of the
/// fencing token invalidate all of these starts, and no agent epoch has to end for it.
#[test]
fn mass_cancellation_needs_few_token_raises_and_ends_no_epoch() {
    let cluster = Setup {
        capacity: 300,
        machines: vec![("small", "east", true, 150), ("small", "west", true, 150)],
        teams: vec![("a", 2400.0), ("b", 24.0)],
        ..setup()
    };
    let summaries = run(2, &cluster, |sim, _| {
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
    for summary in summaries {
        assert!(
            summary.commands.unconfirmed_starts > 10 && summary.cancelled > 30,
            "{summary:?}"
        );
        assert!(summary.commands.raises <= 3, "{summary:?}");
        let ended_epochs = (summary.commands.withheld, summary.commands.ended_by_epoch);
        assert_eq!(ended_epochs, (0, 0), "{summary:?}");
    }
}
