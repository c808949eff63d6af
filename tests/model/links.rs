//! Half-cut links (`docs/half-cut-links.md`): single directions of links are cut, also together and now
//! and then, in clusters whose controllers watch their links.

use aspenreel_simulation::checker::{JobPlan, RequestKind};
use aspenreel_simulation::directions::{Direction, Endpoint};
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{LEASE_S, Setup};
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::summary::Summary;
use aspenreel_simulation::workloads::*;
use std::sync::Arc;

const WATCHING: fn(usize) -> &'static [&'static str] = |_| &["--half-cut-links"];

fn watching(nodes: usize) -> Setup {
    Setup {
        nodes,
        flags: WATCHING,
        ..setup()
    }
}

/// Work for a hundred seconds, some of it cancelled, and users that look closely.
fn work(sim: &Arc<Simulation>, rng: &mut fastrand::Rng) {
    let ids = jobs(sim, 4.0, 100.0, 60, |i, p| {
        p.run_s = 4.0 + f64::from(i % 5) * 4.0
    });
    query_all_nodes_on_updates(sim, &every_nth(&ids, 4));
    cancel_after_acceptance(sim, &every_nth(&ids, 5), 15.0, rng);
}

fn leader(sim: &Arc<Simulation>) -> usize {
    sim.leader_or_any()
}

/// When the first and the second leader began, in seconds.
fn second_term_began(end: &Summary) -> Option<f64> {
    end.terms.get(1).map(|(at, _, _)| *at as f64 / 1e6)
}

/// Each directed link of the leader is cut alone: to and from the key-value store, the workers and each
/// peer. The moment is drawn, so it falls between a claim's write and its answer, between the claim and
/// the start, between an outcome's report and the done set, between the done set and `clear`.
#[test]
fn each_direction_of_each_link_of_the_leader() {
    for nodes in [3, 5] {
        let directions = Direction::all_of(0, nodes).len();
        for number in 0..directions {
            let ends = run(6, &watching(nodes), |sim, rng| {
                work(sim, rng);
                let at = 20.0 + rng.f64() * 10.0;
                let span = LEASE_S * (0.2 + 2.0 * rng.f64());
                sim.at(at, move |sim| {
                    let direction = Direction::all_of(leader(sim), sim.setup.nodes)[number];
                    sim.cut_direction(direction, span);
                });
            });
            for end in ends {
                assert!(end.done > 40 && end.leaders <= 4, "{number}: {end:?}");
            }
        }
    }
}

/// Each pair of directed links of the leader is cut at once.
#[test]
fn each_pair_of_directions_of_the_leader() {
    let directions = Direction::all_of(0, 3).len();
    let pairs =
        (0..directions).flat_map(|one| (one + 1..directions).map(move |other| (one, other)));
    for (one, other) in pairs {
        let ends = run(2, &watching(3), |sim, rng| {
            work(sim, rng);
            let span = LEASE_S * (0.4 + 1.2 * rng.f64());
            sim.at(20.0 + rng.f64() * 10.0, move |sim| {
                let directions = Direction::all_of(leader(sim), 3);
                sim.cut_direction(directions[one], span);
                sim.cut_direction(directions[other], span);
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 5, "{one} {other}: {end:?}");
        }
    }
}

/// One way of the controller that leads.
type WayOf = fn(Endpoint) -> Direction;

/// How many records with this prefix there are, and the newest revision among them.
fn newest(sim: &Arc<Simulation>, prefix: &str) -> (usize, u64) {
    let state = sim.state();
    let rows = state
        .store
        .rows
        .iter()
        .filter(|(key, _)| key.starts_with(prefix));
    let revisions: Vec<u64> = rows.map(|(_, (_, revision, _))| *revision).collect();
    (revisions.len(), revisions.into_iter().max().unwrap_or(0))
}

/// Cuts a way of the leader in the moment in which a record with this prefix is next written.
fn cut_at_next_write(
    sim: &Arc<Simulation>,
    prefix: &'static str,
    seen: (usize, u64),
    direction: WayOf,
) {
    if newest(sim, prefix) != seen {
        let own = Endpoint::Node(leader(sim));
        return sim.cut_direction(direction(own), 1.2 * LEASE_S);
    }
    // Ways through the simulation's network take 200 us at least.
    sim.after(100, move |sim| {
        cut_at_next_write(sim, prefix, seen, direction)
    });
}

/// The cut falls between a claim's write and its answer, between the claim and the start, between the
/// write of a done set or final state and its answer, and between that and `clear`.
#[test]
fn cuts_between_a_write_and_what_follows_it() {
    let cases: [(&'static str, WayOf); 4] = [
        ("claims/", |own| Direction::new(Endpoint::Store, own)),
        ("claims/", |own| Direction::new(own, Endpoint::Workers)),
        ("done/", |own| Direction::new(Endpoint::Store, own)),
        ("done/", |own| Direction::new(own, Endpoint::Workers)),
    ];
    for (prefix, direction) in cases {
        let ends = run(6, &watching(3), move |sim, rng| {
            work(sim, rng);
            let at = 20.0 + rng.f64() * 10.0;
            sim.at(at, move |sim| {
                cut_at_next_write(sim, prefix, newest(sim, prefix), direction);
                sim.note_fault(3.0 * LEASE_S);
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 4, "{prefix}: {end:?}");
        }
    }
}

/// A task ends, its report arrives, and the leader loses the key-value store before the outcome is on record.
#[test]
fn cuts_between_an_outcome_and_its_record() {
    for to_state in [true, false] {
        let ends = run(6, &watching(3), move |sim, rng| {
            work(sim, rng);
            let at = 20.0 + rng.f64() * 10.0;
            sim.at(at, move |sim| {
                let seen = sim.state().checker.tasks_done();
                cut_at_next_outcome(sim, seen, to_state);
                sim.note_fault(3.0 * LEASE_S);
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 4, "{end:?}");
        }
    }
}

fn cut_at_next_outcome(sim: &Arc<Simulation>, seen: usize, to_state: bool) {
    if sim.state().checker.tasks_done() == seen {
        return sim.after(500, move |sim| cut_at_next_outcome(sim, seen, to_state));
    }
    // The worker reports within half a second.
    sim.after(520_000, move |sim| {
        let own = Endpoint::Node(leader(sim));
        let direction = match to_state {
            true => Direction::new(own, Endpoint::Store),
            false => Direction::new(Endpoint::Store, own),
        };
        sim.cut_direction(direction, 1.2 * LEASE_S);
    });
}

/// Two directed links at once: of the leader, or one of the leader's and one of another node.
#[test]
fn pairs_of_directions() {
    for nodes in [3, 5] {
        let ends = run(40, &watching(nodes), |sim, rng| {
            work(sim, rng);
            let at = 20.0 + rng.f64() * 10.0;
            let (one, other) = (rng.usize(..), rng.usize(..));
            let elsewhere = rng.usize(0..2);
            let spans = [(); 2].map(|()| LEASE_S * (0.2 + 1.5 * rng.f64()));
            sim.at(at, move |sim| {
                let nodes = sim.setup.nodes;
                let here = Direction::all_of(leader(sim), nodes);
                let there = Direction::all_of((leader(sim) + elsewhere) % nodes, nodes);
                sim.cut_direction(here[one % here.len()], spans[0]);
                sim.cut_direction(there[other % there.len()], spans[1]);
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 6, "{end:?}");
        }
    }
}

/// Links that come and go with every period from under a second to over a lease: leaders stay few.
#[test]
fn flapping_links_make_few_leaders() {
    const SPAN: f64 = 120.0;
    for (period, most) in [(0.5, 3), (2.0, 4), (5.0, 6), (10.0, 8), (2.2 * LEASE_S, 10)] {
        let ends = run(8, &watching(3), |sim, rng| {
            work(sim, rng);
            let number = rng.usize(..);
            let both = rng.bool();
            sim.at(15.0, move |sim| {
                let directions = Direction::all_of(leader(sim), 3);
                // Both directions of one link, or one direction.
                let first = number % directions.len();
                let flapping = match both {
                    true => vec![directions[first & !1], directions[first | 1]],
                    false => vec![directions[first]],
                };
                sim.flap_directions(flapping, period, SPAN);
            });
        });
        for end in ends {
            assert!(end.done > 40, "period {period}: {end:?}");
            assert!(end.leaders <= most, "period {period}: {end:?}");
        }
    }
}

/// The workers' links of all controllers flap out of step, so that somebody else always seems better placed.
#[test]
fn everybody_seems_better_placed_in_turn() {
    let ends = run(8, &watching(3), |sim, rng| {
        work(sim, rng);
        for node in 0..3 {
            let begins = 15.0 + 4.0 * node as f64 + rng.f64();
            sim.at(begins, move |sim| {
                let direction = Direction::new(Endpoint::Workers, Endpoint::Node(node));
                sim.flap_directions(vec![direction], 24.0, 100.0);
            });
        }
    });
    for end in ends {
        assert!(end.leaders <= 8, "{end:?}");
    }
}

/// A leader that has the key-value store but not its workers hands over to a controller that hears them.
#[test]
fn a_leader_without_workers_hands_over() {
    let directions = [true, false];
    for arriving in directions {
        let ends = run(8, &watching(3), |sim, rng| {
            work(sim, rng);
            let at = 25.0 + rng.f64() * 5.0;
            sim.at(at, move |sim| {
                let own = Endpoint::Node(leader(sim));
                let direction = match arriving {
                    true => Direction::new(Endpoint::Workers, own),
                    false => Direction::new(own, Endpoint::Workers),
                };
                sim.cut_direction(direction, 40.0);
            });
        });
        for end in ends {
            assert_eq!(end.leaders, 2, "arriving {arriving}: {end:?}");
            // Reports that don't arrive are missed at once. Where only answers are lost, nothing is to
            // be seen before workers' leases run out.
            let began = second_term_began(&end).unwrap();
            let most = if arriving {
                30.0 + 13.0
            } else {
                30.0 + 1.5 * LEASE_S
            };
            assert!(began < most, "arriving {arriving}: {end:?}");
        }
    }
}

/// All controllers are blind to the workers: nobody is better placed, and nothing moves.
#[test]
fn all_controllers_are_blind() {
    let ends = run(8, &watching(3), |sim, rng| {
        work(sim, rng);
        let span = 8.0 + rng.f64() * 30.0;
        sim.at(30.0, move |sim| {
            for node in 0..3 {
                sim.cut_direction(
                    Direction::new(Endpoint::Workers, Endpoint::Node(node)),
                    span,
                );
            }
        });
    });
    for end in ends {
        assert_eq!(end.leaders, 1, "{end:?}");
    }
}

/// The key-value store refuses the leader's transactions, and nothing else: it decides nothing that it
/// can't record, and a controller that can write goes on.
#[test]
fn only_writes_are_refused() {
    let ends = run(8, &watching(3), |sim, rng| {
        work(sim, rng);
        let at = 25.0 + rng.f64() * 5.0;
        sim.at(at, |sim| sim.refuse_writes(leader(sim), 40.0));
    });
    for end in ends {
        assert_eq!(end.leaders, 2, "{end:?}");
        let began = second_term_began(&end).unwrap();
        assert!(began < 30.0 + 8.0, "{end:?}");
    }
    // In an outage for all it would be no better elsewhere.
    let ends = run(8, &watching(3), |sim, rng| {
        work(sim, rng);
        let span = 6.0 + rng.f64() * 20.0;
        sim.at(30.0, move |sim| {
            for node in 0..3 {
                sim.refuse_writes(node, span);
            }
        });
    });
    for end in ends {
        assert_eq!(end.leaders, 1, "{end:?}");
    }
}

/// Each half of the cluster has what the other lacks: one side keeps the key-value store, the other the
/// workers. Whoever has workers but no key-value store can't lead, and whoever leads hears nobody.
#[test]
fn a_minority_with_state_and_a_majority_with_workers() {
    let ends = run(8, &watching(3), |sim, rng| {
        work(sim, rng);
        let span = 10.0 + rng.f64() * 25.0;
        sim.at(30.0, move |sim| {
            let own = leader(sim);
            sim.cut_direction(Direction::new(Endpoint::Workers, Endpoint::Node(own)), span);
            for other in (0..3).filter(|n| *n != own) {
                sim.cut_direction(Direction::new(Endpoint::Node(other), Endpoint::Store), span);
                sim.cut_direction(
                    Direction::new(Endpoint::Node(other), Endpoint::Node(own)),
                    span,
                );
                sim.cut_direction(
                    Direction::new(Endpoint::Node(own), Endpoint::Node(other)),
                    span,
                );
            }
        });
    });
    for end in ends {
        assert_eq!(end.leaders, 1, "{end:?}");
    }
}

/// The leader reaches neither peers nor workers, and has the key-value store: views go through it.
#[test]
fn views_go_through_the_state_service() {
    let ends = run(8, &watching(3), |sim, rng| {
        work(sim, rng);
        let at = 25.0 + rng.f64() * 5.0;
        sim.at(at, |sim| {
            let own = leader(sim);
            let directions = Direction::all_of(own, 3);
            let state = |direction: &Direction| {
                direction.from == Endpoint::Store || direction.to == Endpoint::Store
            };
            for direction in directions.into_iter().filter(|direction| !state(direction)) {
                sim.cut_direction(direction, 45.0);
            }
        });
    });
    for end in ends {
        assert_eq!(end.leaders, 2, "{end:?}");
        assert!(second_term_began(&end).unwrap() < 50.0, "{end:?}");
    }
}

/// Two zones lose each other while workers of both are needed: each half believes that it is better placed.
#[test]
fn both_halves_believe_that_they_are_better_placed() {
    for nodes in [3, 5] {
        let ends = run(8, &watching(nodes), |sim, rng| {
            work(sim, rng);
            let span = 10.0 + rng.f64() * 35.0;
            sim.at(25.0, move |sim| sim.cut_zone("west", span));
        });
        for end in ends {
            assert!(end.leaders <= 3, "{end:?}");
        }
    }
}

/// The preferred controller dies as the lead is handed over to it: another one leads.
#[test]
fn the_preferred_controller_dies_at_once() {
    let ends = run(8, &watching(3), |sim, rng| {
        work(sim, rng);
        let back = 0.2 + rng.f64() * 20.0;
        sim.at(25.0, move |sim| {
            let own = leader(sim);
            sim.cut_direction(Direction::new(Endpoint::Workers, Endpoint::Node(own)), 40.0);
            watch_for_handover(sim, back);
        });
    });
    for end in ends {
        assert!((2..=5).contains(&end.leaders), "{end:?}");
        assert!(end.done > 40, "{end:?}");
    }
}

/// Kills whomever a handover prefers within milliseconds of its record.
fn watch_for_handover(sim: &Arc<Simulation>, back: f64) {
    let record = sim.state().store.data("handover");
    match record.and_then(|data| preferred(&data)) {
        Some(node) => sim.crash(node, back),
        None if sim.now() < 60_000_000 => {
            sim.after(10_000, move |sim| watch_for_handover(sim, back));
        }
        None => {}
    }
}

fn preferred(data: &ciborium::Value) -> Option<usize> {
    let map = data.as_map()?;
    let (_, name) = map
        .iter()
        .find(|(key, _)| key.as_text() == Some("preferred"))?;
    name.as_text()?.strip_prefix("n-")?.parse().ok()
}

/// Transactions get no answer while the lead is handed over, and are carried out at once or late.
#[test]
fn stepping_down_gets_no_answer() {
    for at_once in [true, false] {
        let ends = run(8, &watching(3), |sim, rng| {
            work(sim, rng);
            let share = 0.5 + 0.5 * rng.f64();
            sim.at(25.0, move |sim| {
                sim.cut_direction(
                    Direction::new(Endpoint::Workers, Endpoint::Node(leader(sim))),
                    40.0,
                );
                sim.after(4_000_000, move |sim| {
                    sim.leave_writes_unanswered(share, at_once, 12.0)
                });
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 5, "{end:?}");
        }
    }
}

/// Jobs are cancelled in the seconds in which the lead is handed over, and users ask everywhere.
#[test]
fn cancellations_while_stepping_down() {
    let ends = run(16, &watching(3), |sim, rng| {
        let ids = jobs(sim, 4.0, 40.0, 40, |_, p| p.run_s = 25.0);
        query_all_nodes_on_updates(sim, &ids);
        sim.at(25.0, |sim| {
            sim.cut_direction(
                Direction::new(Endpoint::Workers, Endpoint::Node(leader(sim))),
                30.0,
            );
        });
        cancel_each(sim, &every_nth(&ids, 2), 28.0, 42.0, rng);
    });
    for end in ends {
        assert!(end.cancelled >= 12, "{end:?}");
        assert_eq!(end.late_starts, Vec::<String>::new());
    }
}

/// Controllers with and without the flag in one cluster, and a roll from one to the other and back.
#[test]
fn some_controllers_do_not_watch() {
    for flags in [
        (|n| if n == 0 { &[] } else { &["--half-cut-links"] })
            as fn(usize) -> &'static [&'static str],
        |n| if n == 0 { &["--half-cut-links"] } else { &[] },
    ] {
        let site = Setup { flags, ..setup() };
        let ends = run(8, &site, |sim, rng| {
            work(sim, rng);
            let number = rng.usize(..);
            let at = 20.0 + rng.f64() * 10.0;
            sim.at(at, move |sim| {
                let directions = Direction::all_of(leader(sim), 3);
                sim.cut_direction(directions[number % directions.len()], 25.0);
            });
            sim.at(at + 30.0, |sim| sim.crash(leader(sim), 2.0));
        });
        for end in ends {
            assert!(end.done > 40, "{end:?}");
        }
    }
}

/// Any faults, with directed cuts among them.
#[test]
fn any_troubles_and_directed_cuts() {
    for nodes in [3, 5] {
        let ends = run(30, &watching(nodes), |sim, rng| {
            aspenreel_simulation::drawn_faults::draw(sim, rng);
            let mut at = 15.0;
            while at < 120.0 {
                let number = rng.usize(..);
                let span = 1.0 + rng.f64() * 25.0;
                let period = 0.5 + rng.f64() * 12.0;
                let (flaps, at_leader) = (rng.bool(), rng.bool());
                sim.at(at, move |sim| {
                    let nodes = sim.setup.nodes;
                    let own = if at_leader {
                        leader(sim)
                    } else {
                        number % nodes
                    };
                    let directions = Direction::all_of(own, nodes);
                    let direction = directions[number % directions.len()];
                    match flaps {
                        true => sim.flap_directions(vec![direction], period, span),
                        false => sim.cut_direction(direction, span),
                    }
                });
                at += 5.0 + rng.f64() * 20.0;
            }
        });
        for end in ends {
            assert!(end.done + end.cancelled > 30, "{end:?}");
        }
    }
}

/// Whoever is asked while the lead changes hands says what is true, or that it can't tell.
#[test]
fn questions_during_a_handover() {
    let ends = run(8, &watching(3), |sim, _| {
        for i in 0..10 {
            sim.submit(5.0 + f64::from(i), JobPlan::new(i, 2, 2.0, 40.0));
        }
        sim.at(25.0, |sim| {
            sim.cut_direction(
                Direction::new(Endpoint::Workers, Endpoint::Node(leader(sim))),
                30.0,
            );
        });
        for step in 0..150 {
            sim.at(25.0 + 0.1 * f64::from(step), move |sim| {
                let id = format!("run-{}", step % 10);
                sim.send_request(&id, RequestKind::Status, step as usize % 3, |_, _| ());
            });
        }
    });
    for end in ends {
        assert_eq!((end.done, end.leaders), (10, 2), "{end:?}");
    }
}
