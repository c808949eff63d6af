//! What the controllers do, message by message, as digests that are kept: a change that is only about the form
//! of the code reproduces all of them.
//!
//! A change of behavior changes them too. Then the kept file is written anew, in the commit that says what else
//! the controllers do now.

use aspenreel_simulation::drawn_faults;
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{CANCEL_S, Setup};
use aspenreel_simulation::summary::Summary;
use aspenreel_simulation::workloads::*;
use std::fmt::Write;

const SEEDS_OF_EACH: u64 = 3;

/// The digests of one kind of day, a line for each seed.
fn lines(name: &str, ends: &[Summary]) -> String {
    let mut text = String::new();
    for (seed, end) in (1..).zip(ends) {
        let (starts, done, leaders) = (end.starts, end.done, end.leaders);
        writeln!(
            text,
            "{name}, seed {seed}: {starts} starts, {done} jobs done, {leaders} leaders, {}",
            end.transcript
        )
        .unwrap();
    }
    text
}

fn drawn_troubles() -> String {
    let ends = run(SEEDS_OF_EACH, &setup(), drawn_faults::draw);
    lines("drawn troubles", &ends)
}

fn link_health() -> String {
    let site = Setup {
        nodes: 4,
        flags: |_| &["--half-cut-links"],
        ..setup()
    };
    let ends = run(SEEDS_OF_EACH, &site, drawn_faults::draw);
    lines("drawn troubles with watched links", &ends)
}

fn unconfirmed_starts() -> String {
    let ends = run(SEEDS_OF_EACH, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 70.0, 60, |i, p| {
            p.run_s = 6.0 + f64::from(i % 4) * 6.0;
            p.priority = ["low", "normal", "high", "production"][i as usize % 4];
            p.standing = i % 20 == 0;
        });
        sim.at(6.0, move |sim| {
            sim.delay_commands(0.5, 10.0..CANCEL_S + 50.0, 70.0)
        });
        sim.at(30.0, move |sim| sim.crash(sim.leader_or_any(), 2.0));
        cancel_after_acceptance(sim, &every_nth(&ids, 2), 8.0, rng);
        // Standing jobs run until somebody cancels them.
        for id in every_nth(&ids, 20) {
            sim.at(110.0, move |sim| sim.user_cancels(&id));
        }
    });
    lines("unconfirmed starts", &ends)
}

#[test]
fn the_same_messages_for_the_same_seeds() {
    let kept = [drawn_troubles(), link_health(), unconfirmed_starts()].concat();
    insta::assert_snapshot!(kept);
}
