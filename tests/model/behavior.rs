//! Digests of all messages that the controllers send and receive, compared with a stored snapshot.
//!
//! A refactoring must reproduce every digest. A change of behavior changes them; the snapshot is then updated in
//! the commit that describes the new behavior.

use aspenreel_simulation::drawn_faults;
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{CANCEL_S, Setup};
use aspenreel_simulation::summary::Summary;
use aspenreel_simulation::workloads::*;
use std::fmt::Write;

const SEEDS_PER_WORKLOAD: u64 = 3;

/// Formats the digests of one workload, one line per seed.
fn format_lines(label: &str, summaries: &[Summary]) -> String {
    let mut text = String::new();
    for (seed, summary) in (1..).zip(summaries) {
        let (starts, done, leaders) = (summary.starts, summary.done, summary.leaders);
        writeln!(
            text,
            "{label}, seed {seed}: {starts} starts, {done} jobs done, {leaders} leaders, {}",
            summary.transcript
        )
        .unwrap();
    }
    text
}

fn random_faults() -> String {
    let summaries = run(SEEDS_PER_WORKLOAD, &setup(), drawn_faults::draw);
    format_lines("drawn troubles", &summaries)
}

fn random_faults_with_link_monitoring() -> String {
    let cluster = Setup {
        nodes: 4,
        flags: |_| &["--half-cut-links"],
        ..setup()
    };
    let summaries = run(SEEDS_PER_WORKLOAD, &cluster, drawn_faults::draw);
    format_lines("drawn troubles with watched links", &summaries)
}

fn unconfirmed_starts() -> String {
    let summaries = run(SEEDS_PER_WORKLOAD, &setup(), |sim, rng| {
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
        // Standing jobs run until a user cancels them.
        for id in every_nth(&ids, 20) {
            sim.at(110.0, move |sim| sim.user_cancels(&id));
        }
    });
    format_lines("unconfirmed starts", &summaries)
}

#[test]
fn same_messages_for_same_seeds() {
    let kept = [
        random_faults(),
        random_faults_with_link_monitoring(),
        unconfirmed_starts(),
    ]
    .concat();
    insta::assert_snapshot!(kept);
}
