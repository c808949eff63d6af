//! Half-cut links (`docs/half-cut-links.md`): single directions of links are cut, also together and now
//! and then, in clusters whose controllers watch their links.

use aspenreel_simulation::checker::{JobPlan, Question};
use aspenreel_simulation::cuts::{End, Way};
use aspenreel_simulation::plans::*;
use aspenreel_simulation::play::play;
use aspenreel_simulation::world::{LEASE_S, Setup, Summary, World};
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
fn work(w: &Arc<World>, rng: &mut fastrand::Rng) {
    let ids = jobs(w, 4.0, 100.0, 60, |i, p| {
        p.run_s = 4.0 + f64::from(i % 5) * 4.0
    });
    look_closely(w, &every_other(&ids, 4));
    cancel_soon(w, &every_other(&ids, 5), 15.0, rng);
}

fn leader(w: &Arc<World>) -> usize {
    w.leader_or_any()
}

/// When the first and the second leader began, in seconds.
fn second_term_began(end: &Summary) -> Option<f64> {
    end.terms.get(1).map(|(at, _, _)| *at as f64 / 1e6)
}

/// Each directed link of the leader is cut alone: to and from the state service, the workers and each
/// peer. The moment is drawn, so it falls between a claim's write and its answer, between the claim and
/// the start, between an outcome's report and the done set, between the done set and `clear`.
#[test]
fn each_direction_of_each_link_of_the_leader() {
    for nodes in [3, 5] {
        let ways = Way::all_of(0, nodes).len();
        for number in 0..ways {
            let ends = play(6, &watching(nodes), |w, rng| {
                work(w, rng);
                let at = 20.0 + rng.f64() * 10.0;
                let span = LEASE_S * (0.2 + 2.0 * rng.f64());
                w.at(at, move |w| {
                    let way = Way::all_of(leader(w), w.setup.nodes)[number];
                    w.cut_way(way, span);
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
    let ways = Way::all_of(0, 3).len();
    let pairs = (0..ways).flat_map(|one| (one + 1..ways).map(move |other| (one, other)));
    for (one, other) in pairs {
        let ends = play(2, &watching(3), |w, rng| {
            work(w, rng);
            let span = LEASE_S * (0.4 + 1.2 * rng.f64());
            w.at(20.0 + rng.f64() * 10.0, move |w| {
                let ways = Way::all_of(leader(w), 3);
                w.cut_way(ways[one], span);
                w.cut_way(ways[other], span);
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 5, "{one} {other}: {end:?}");
        }
    }
}

/// One way of the controller that leads.
type WayOf = fn(End) -> Way;

/// How many records with this prefix there are, and the newest revision among them.
fn newest(w: &Arc<World>, prefix: &str) -> (usize, u64) {
    let state = w.state();
    let rows = state
        .keys
        .rows
        .iter()
        .filter(|(key, _)| key.starts_with(prefix));
    let revisions: Vec<u64> = rows.map(|(_, (_, revision, _))| *revision).collect();
    (revisions.len(), revisions.into_iter().max().unwrap_or(0))
}

/// Cuts a way of the leader in the moment in which a record with this prefix is next written.
fn cut_at_next_write(w: &Arc<World>, prefix: &'static str, seen: (usize, u64), way: WayOf) {
    if newest(w, prefix) != seen {
        let own = End::Node(leader(w));
        return w.cut_way(way(own), 1.2 * LEASE_S);
    }
    // Ways through the model's network take 200 us at least.
    w.after(100, move |w| cut_at_next_write(w, prefix, seen, way));
}

/// The cut falls between a claim's write and its answer, between the claim and the start, between the
/// write of a done set or final state and its answer, and between that and `clear`.
#[test]
fn cuts_between_a_write_and_what_follows_it() {
    let cases: [(&'static str, WayOf); 4] = [
        ("claims/", |own| Way::new(End::State, own)),
        ("claims/", |own| Way::new(own, End::Workers)),
        ("done/", |own| Way::new(End::State, own)),
        ("done/", |own| Way::new(own, End::Workers)),
    ];
    for (prefix, way) in cases {
        let ends = play(6, &watching(3), move |w, rng| {
            work(w, rng);
            let at = 20.0 + rng.f64() * 10.0;
            w.at(at, move |w| {
                cut_at_next_write(w, prefix, newest(w, prefix), way);
                w.trouble(3.0 * LEASE_S);
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 4, "{prefix}: {end:?}");
        }
    }
}

/// A task ends, its report arrives, and the leader loses the state service before the outcome is on record.
#[test]
fn cuts_between_an_outcome_and_its_record() {
    for to_state in [true, false] {
        let ends = play(6, &watching(3), move |w, rng| {
            work(w, rng);
            let at = 20.0 + rng.f64() * 10.0;
            w.at(at, move |w| {
                let seen = w.state().checker.tasks_done();
                cut_at_next_outcome(w, seen, to_state);
                w.trouble(3.0 * LEASE_S);
            });
        });
        for end in ends {
            assert!(end.done > 40 && end.leaders <= 4, "{end:?}");
        }
    }
}

fn cut_at_next_outcome(w: &Arc<World>, seen: usize, to_state: bool) {
    if w.state().checker.tasks_done() == seen {
        return w.after(500, move |w| cut_at_next_outcome(w, seen, to_state));
    }
    // The worker reports within half a second.
    w.after(520_000, move |w| {
        let own = End::Node(leader(w));
        let way = match to_state {
            true => Way::new(own, End::State),
            false => Way::new(End::State, own),
        };
        w.cut_way(way, 1.2 * LEASE_S);
    });
}

/// Two directed links at once: of the leader, or one of the leader's and one of another node.
#[test]
fn pairs_of_directions() {
    for nodes in [3, 5] {
        let ends = play(40, &watching(nodes), |w, rng| {
            work(w, rng);
            let at = 20.0 + rng.f64() * 10.0;
            let (one, other) = (rng.usize(..), rng.usize(..));
            let elsewhere = rng.usize(0..2);
            let spans = [(); 2].map(|()| LEASE_S * (0.2 + 1.5 * rng.f64()));
            w.at(at, move |w| {
                let nodes = w.setup.nodes;
                let here = Way::all_of(leader(w), nodes);
                let there = Way::all_of((leader(w) + elsewhere) % nodes, nodes);
                w.cut_way(here[one % here.len()], spans[0]);
                w.cut_way(there[other % there.len()], spans[1]);
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
        let ends = play(8, &watching(3), |w, rng| {
            work(w, rng);
            let number = rng.usize(..);
            let both = rng.bool();
            w.at(15.0, move |w| {
                let ways = Way::all_of(leader(w), 3);
                // Both directions of one link, or one direction.
                let first = number % ways.len();
                let flapping = match both {
                    true => vec![ways[first & !1], ways[first | 1]],
                    false => vec![ways[first]],
                };
                w.flap_ways(flapping, period, SPAN);
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
    let ends = play(8, &watching(3), |w, rng| {
        work(w, rng);
        for node in 0..3 {
            let begins = 15.0 + 4.0 * node as f64 + rng.f64();
            w.at(begins, move |w| {
                let way = Way::new(End::Workers, End::Node(node));
                w.flap_ways(vec![way], 24.0, 100.0);
            });
        }
    });
    for end in ends {
        assert!(end.leaders <= 8, "{end:?}");
    }
}

/// A leader that has the state service but not its workers hands over to a controller that hears them.
#[test]
fn a_leader_without_workers_hands_over() {
    let directions = [true, false];
    for arriving in directions {
        let ends = play(8, &watching(3), |w, rng| {
            work(w, rng);
            let at = 25.0 + rng.f64() * 5.0;
            w.at(at, move |w| {
                let own = End::Node(leader(w));
                let way = match arriving {
                    true => Way::new(End::Workers, own),
                    false => Way::new(own, End::Workers),
                };
                w.cut_way(way, 40.0);
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
    let ends = play(8, &watching(3), |w, rng| {
        work(w, rng);
        let span = 8.0 + rng.f64() * 30.0;
        w.at(30.0, move |w| {
            for node in 0..3 {
                w.cut_way(Way::new(End::Workers, End::Node(node)), span);
            }
        });
    });
    for end in ends {
        assert_eq!(end.leaders, 1, "{end:?}");
    }
}

/// The state service refuses the leader's transactions, and nothing else: it decides nothing that it
/// can't record, and a controller that can write goes on.
#[test]
fn only_writes_are_refused() {
    let ends = play(8, &watching(3), |w, rng| {
        work(w, rng);
        let at = 25.0 + rng.f64() * 5.0;
        w.at(at, |w| w.refuse_writes(leader(w), 40.0));
    });
    for end in ends {
        assert_eq!(end.leaders, 2, "{end:?}");
        let began = second_term_began(&end).unwrap();
        assert!(began < 30.0 + 8.0, "{end:?}");
    }
    // In an outage for all it would be no better elsewhere.
    let ends = play(8, &watching(3), |w, rng| {
        work(w, rng);
        let span = 6.0 + rng.f64() * 20.0;
        w.at(30.0, move |w| {
            for node in 0..3 {
                w.refuse_writes(node, span);
            }
        });
    });
    for end in ends {
        assert_eq!(end.leaders, 1, "{end:?}");
    }
}

/// Each half of the cluster has what the other lacks: one side keeps the state service, the other the
/// workers. Whoever has workers but no state service can't lead, and whoever leads hears nobody.
#[test]
fn a_minority_with_state_and_a_majority_with_workers() {
    let ends = play(8, &watching(3), |w, rng| {
        work(w, rng);
        let span = 10.0 + rng.f64() * 25.0;
        w.at(30.0, move |w| {
            let own = leader(w);
            w.cut_way(Way::new(End::Workers, End::Node(own)), span);
            for other in (0..3).filter(|n| *n != own) {
                w.cut_way(Way::new(End::Node(other), End::State), span);
                w.cut_way(Way::new(End::Node(other), End::Node(own)), span);
                w.cut_way(Way::new(End::Node(own), End::Node(other)), span);
            }
        });
    });
    for end in ends {
        assert_eq!(end.leaders, 1, "{end:?}");
    }
}

/// The leader reaches neither peers nor workers, and has the state service: views go through it.
#[test]
fn views_go_through_the_state_service() {
    let ends = play(8, &watching(3), |w, rng| {
        work(w, rng);
        let at = 25.0 + rng.f64() * 5.0;
        w.at(at, |w| {
            let own = leader(w);
            let ways = Way::all_of(own, 3);
            let state = |way: &Way| way.from == End::State || way.to == End::State;
            for way in ways.into_iter().filter(|way| !state(way)) {
                w.cut_way(way, 45.0);
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
        let ends = play(8, &watching(nodes), |w, rng| {
            work(w, rng);
            let span = 10.0 + rng.f64() * 35.0;
            w.at(25.0, move |w| w.cut_zone("west", span));
        });
        for end in ends {
            assert!(end.leaders <= 3, "{end:?}");
        }
    }
}

/// The preferred controller dies as the lead is handed over to it: another one leads.
#[test]
fn the_preferred_controller_dies_at_once() {
    let ends = play(8, &watching(3), |w, rng| {
        work(w, rng);
        let back = 0.2 + rng.f64() * 20.0;
        w.at(25.0, move |w| {
            let own = leader(w);
            w.cut_way(Way::new(End::Workers, End::Node(own)), 40.0);
            watch_for_handover(w, back);
        });
    });
    for end in ends {
        assert!((2..=5).contains(&end.leaders), "{end:?}");
        assert!(end.done > 40, "{end:?}");
    }
}

/// Kills whomever a handover prefers within milliseconds of its record.
fn watch_for_handover(w: &Arc<World>, back: f64) {
    let record = w.state().keys.data("handover");
    match record.and_then(|data| preferred(&data)) {
        Some(node) => w.crash(node, back),
        None if w.now() < 60_000_000 => {
            w.after(10_000, move |w| watch_for_handover(w, back));
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
        let ends = play(8, &watching(3), |w, rng| {
            work(w, rng);
            let share = 0.5 + 0.5 * rng.f64();
            w.at(25.0, move |w| {
                w.cut_way(Way::new(End::Workers, End::Node(leader(w))), 40.0);
                w.after(4_000_000, move |w| w.late_writes(share, at_once, 12.0));
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
    let ends = play(16, &watching(3), |w, rng| {
        let ids = jobs(w, 4.0, 40.0, 40, |_, p| p.run_s = 25.0);
        look_closely(w, &ids);
        w.at(25.0, |w| {
            w.cut_way(Way::new(End::Workers, End::Node(leader(w))), 30.0);
        });
        cancel_each(w, &every_other(&ids, 2), 28.0, 42.0, rng);
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
        let ends = play(8, &site, |w, rng| {
            work(w, rng);
            let number = rng.usize(..);
            let at = 20.0 + rng.f64() * 10.0;
            w.at(at, move |w| {
                let ways = Way::all_of(leader(w), 3);
                w.cut_way(ways[number % ways.len()], 25.0);
            });
            w.at(at + 30.0, |w| w.crash(leader(w), 2.0));
        });
        for end in ends {
            assert!(end.done > 40, "{end:?}");
        }
    }
}

/// Any troubles, with directed cuts among them.
#[test]
fn any_troubles_and_directed_cuts() {
    for nodes in [3, 5] {
        let ends = play(30, &watching(nodes), |w, rng| {
            aspenreel_simulation::trouble::draw(w, rng);
            let mut at = 15.0;
            while at < 120.0 {
                let number = rng.usize(..);
                let span = 1.0 + rng.f64() * 25.0;
                let period = 0.5 + rng.f64() * 12.0;
                let (flaps, at_leader) = (rng.bool(), rng.bool());
                w.at(at, move |w| {
                    let nodes = w.setup.nodes;
                    let own = if at_leader { leader(w) } else { number % nodes };
                    let ways = Way::all_of(own, nodes);
                    let way = ways[number % ways.len()];
                    match flaps {
                        true => w.flap_ways(vec![way], period, span),
                        false => w.cut_way(way, span),
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
    let ends = play(8, &watching(3), |w, _| {
        for i in 0..10 {
            w.submit(5.0 + f64::from(i), JobPlan::new(i, 2, 2.0, 40.0));
        }
        w.at(25.0, |w| {
            w.cut_way(Way::new(End::Workers, End::Node(leader(w))), 30.0);
        });
        for step in 0..150 {
            w.at(25.0 + 0.1 * f64::from(step), move |w| {
                let id = format!("run-{}", step % 10);
                w.question(&id, Question::Status, step as usize % 3, |_, _| ());
            });
        }
    });
    for end in ends {
        assert_eq!((end.done, end.leaders), (10, 2), "{end:?}");
    }
}
