//! Half-cut links (`docs/half-cut-links.md`): single directions of links are cut, also several at once or
//! intermittently, in clusters whose controllers monitor their links.

use aspenreel_simulation::checker::{JobPlan, RequestKind};
use aspenreel_simulation::directions::{Direction, Endpoint};
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{LEASE_S, Setup};
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::summary::Summary;
use aspenreel_simulation::workloads::*;
use std::sync::Arc;

const LINK_MONITORING: fn(usize) -> &'static [&'static str] = |_| &["--half-cut-links"];

/// Cluster of this many controllers, all with link monitoring.
fn monitored(nodes: usize) -> Setup {
    Setup {
        nodes,
        flags: LINK_MONITORING,
        ..setup()
    }
}

/// Schedules jobs over a hundred seconds, some of which are cancelled, and users that query all nodes on updates.
fn add_workload(sim: &Arc<Simulation>, rng: &mut fastrand::Rng) {
    let ids = jobs(sim, 4.0, 100.0, 60, |i, p| {
        p.run_s = 4.0 + f64::from(i % 5) * 4.0
    });
    query_all_nodes_on_updates(sim, &every_nth(&ids, 4));
    cancel_after_acceptance(sim, &every_nth(&ids, 5), 15.0, rng);
}

fn leader(sim: &Arc<Simulation>) -> usize {
    sim.leader_or_any()
}

/// Time at which the second leader was elected, in seconds; `None` if there was only one leader.
fn second_term_start(summary: &Summary) -> Option<f64> {
    summary.terms.get(1).map(|(at, _, _)| *at as f64 / 1e6)
}

/// Each direction of each link of the leader is cut alone: to and from the key-value store, the workers and each
/// peer. The time is random, so that some cuts fall between the write of a start watermark and its answer, between
/// the watermark and the start, between the report of an outcome and the done set, or between the done set and the
/// `clear` command.
#[test]
fn each_direction_of_the_leaders_links_is_cut() {
    for nodes in [3, 5] {
        let directions = Direction::all_of(0, nodes).len();
        for index in 0..directions {
            let summaries = run(6, &monitored(nodes), |sim, rng| {
                add_workload(sim, rng);
                let at = 20.0 + rng.f64() * 10.0;
                let span = LEASE_S * (0.2 + 2.0 * rng.f64());
                sim.at(at, move |sim| {
                    let direction = Direction::all_of(leader(sim), sim.setup.nodes)[index];
                    sim.cut_direction(direction, span);
                });
            });
            for summary in summaries {
                assert!(
                    summary.done > 40 && summary.leaders <= 4,
                    "{index}: {summary:?}"
                );
            }
        }
    }
}

/// Each pair of directions of the leader's links is cut at once.
#[test]
fn each_pair_of_directions_of_the_leaders_links_is_cut() {
    let directions = Direction::all_of(0, 3).len();
    let pairs =
        (0..directions).flat_map(|one| (one + 1..directions).map(move |other| (one, other)));
    for (one, other) in pairs {
        let summaries = run(2, &monitored(3), |sim, rng| {
            add_workload(sim, rng);
            let span = LEASE_S * (0.4 + 1.2 * rng.f64());
            sim.at(20.0 + rng.f64() * 10.0, move |sim| {
                let directions = Direction::all_of(leader(sim), 3);
                sim.cut_direction(directions[one], span);
                sim.cut_direction(directions[other], span);
            });
        });
        for summary in summaries {
            assert!(
                summary.done > 40 && summary.leaders <= 5,
                "{one} {other}: {summary:?}"
            );
        }
    }
}

/// Chooses a direction of a link of the leader, given the leader's endpoint.
type DirectionOf = fn(Endpoint) -> Direction;

/// Number of records with this key prefix, and the newest revision among them.
fn count_and_newest_revision(sim: &Arc<Simulation>, prefix: &str) -> (usize, u64) {
    let state = sim.state();
    let rows = state
        .store
        .rows
        .iter()
        .filter(|(key, _)| key.starts_with(prefix));
    let revisions: Vec<u64> = rows.map(|(_, (_, revision, _))| *revision).collect();
    (revisions.len(), revisions.into_iter().max().unwrap_or(0))
}

/// Cuts a direction of the leader's links as soon as the records with this key prefix differ from `seen`.
fn cut_at_next_write(
    sim: &Arc<Simulation>,
    prefix: &'static str,
    seen: (usize, u64),
    direction: DirectionOf,
) {
    if count_and_newest_revision(sim, prefix) != seen {
        let own = Endpoint::Node(leader(sim));
        return sim.cut_direction(direction(own), 1.2 * LEASE_S);
    }
    // Messages take at least 200 us through the simulated network, so this check finds the write before the next
    // message arrives.
    sim.after(100, move |sim| {
        cut_at_next_write(sim, prefix, seen, direction)
    });
}

/// The cut falls between the write of a start watermark and its answer, between the watermark and the start, between
/// the write of a done set or final state and its answer, and between that write and the `clear` command.
#[test]
fn direction_is_cut_right_after_a_store_write() {
    let cases: [(&'static str, DirectionOf); 4] = [
        ("claims/", |own| Direction::new(Endpoint::Store, own)),
        ("claims/", |own| Direction::new(own, Endpoint::Workers)),
        ("done/", |own| Direction::new(Endpoint::Store, own)),
        ("done/", |own| Direction::new(own, Endpoint::Workers)),
    ];
    for (prefix, direction) in cases {
        let summaries = run(6, &monitored(3), move |sim, rng| {
            add_workload(sim, rng);
            let at = 20.0 + rng.f64() * 10.0;
            sim.at(at, move |sim| {
                cut_at_next_write(
                    sim,
                    prefix,
                    count_and_newest_revision(sim, prefix),
                    direction,
                );
                sim.note_fault(3.0 * LEASE_S);
            });
        });
        for summary in summaries {
            assert!(
                summary.done > 40 && summary.leaders <= 4,
                "{prefix}: {summary:?}"
            );
        }
    }
}

/// A task ends, its heartbeat arrives, and the leader loses the key-value store before the outcome is recorded.
#[test]
fn store_link_is_cut_between_task_end_and_recorded_outcome() {
    for to_store in [true, false] {
        let summaries = run(6, &monitored(3), move |sim, rng| {
            add_workload(sim, rng);
            let at = 20.0 + rng.f64() * 10.0;
            sim.at(at, move |sim| {
                let seen = sim.state().checker.tasks_done();
                cut_at_next_outcome(sim, seen, to_store);
                sim.note_fault(3.0 * LEASE_S);
            });
        });
        for summary in summaries {
            assert!(summary.done > 40 && summary.leaders <= 4, "{summary:?}");
        }
    }
}

/// Cuts one direction between the leader and the store after the next task is done, once its outcome was reported.
fn cut_at_next_outcome(sim: &Arc<Simulation>, seen: usize, to_store: bool) {
    if sim.state().checker.tasks_done() == seen {
        return sim.after(500, move |sim| cut_at_next_outcome(sim, seen, to_store));
    }
    // The worker reports the end of a task within half a second.
    sim.after(520_000, move |sim| {
        let own = Endpoint::Node(leader(sim));
        let direction = match to_store {
            true => Direction::new(own, Endpoint::Store),
            false => Direction::new(Endpoint::Store, own),
        };
        sim.cut_direction(direction, 1.2 * LEASE_S);
    });
}

/// Two random directions are cut at once: both of the leader's links, or one of the leader's and one of another
/// node's.
#[test]
fn random_pairs_of_directions_are_cut() {
    for nodes in [3, 5] {
        let summaries = run(40, &monitored(nodes), |sim, rng| {
            add_workload(sim, rng);
            let at = 20.0 + rng.f64() * 10.0;
            let (one, other) = (rng.usize(..), rng.usize(..));
            let offset = rng.usize(0..2);
            let spans = [(); 2].map(|()| LEASE_S * (0.2 + 1.5 * rng.f64()));
            sim.at(at, move |sim| {
                let nodes = sim.setup.nodes;
                let here = Direction::all_of(leader(sim), nodes);
                let there = Direction::all_of((leader(sim) + offset) % nodes, nodes);
                sim.cut_direction(here[one % here.len()], spans[0]);
                sim.cut_direction(there[other % there.len()], spans[1]);
            });
        });
        for summary in summaries {
            assert!(summary.done > 40 && summary.leaders <= 6, "{summary:?}");
        }
    }
}

/// Links flap with periods from under a second to more than a lease. The number of leader changes stays low.
#[test]
fn few_leader_changes_while_links_flap() {
    const SPAN: f64 = 120.0;
    for (period, max_leaders) in [(0.5, 3), (2.0, 4), (5.0, 6), (10.0, 8), (2.2 * LEASE_S, 10)] {
        let summaries = run(8, &monitored(3), |sim, rng| {
            add_workload(sim, rng);
            let index = rng.usize(..);
            let both = rng.bool();
            sim.at(15.0, move |sim| {
                let directions = Direction::all_of(leader(sim), 3);
                // Both directions of one link, or one direction.
                let first = index % directions.len();
                let flapping = match both {
                    true => vec![directions[first & !1], directions[first | 1]],
                    false => vec![directions[first]],
                };
                sim.flap_directions(flapping, period, SPAN);
            });
        });
        for summary in summaries {
            assert!(summary.done > 40, "period {period}: {summary:?}");
            assert!(
                summary.leaders <= max_leaders,
                "period {period}: {summary:?}"
            );
        }
    }
}

/// The links from the workers to all controllers flap out of step, so that there is always another controller that
/// seems to reach more workers.
#[test]
fn few_leader_changes_while_worker_links_flap_out_of_step() {
    let summaries = run(8, &monitored(3), |sim, rng| {
        add_workload(sim, rng);
        for node in 0..3 {
            let start = 15.0 + 4.0 * node as f64 + rng.f64();
            sim.at(start, move |sim| {
                let direction = Direction::new(Endpoint::Workers, Endpoint::Node(node));
                sim.flap_directions(vec![direction], 24.0, 100.0);
            });
        }
    });
    for summary in summaries {
        assert!(summary.leaders <= 8, "{summary:?}");
    }
}

/// A leader that reaches the key-value store but not the workers hands over to a controller that receives their
/// heartbeats.
#[test]
fn leader_without_workers_hands_over() {
    let directions = [true, false];
    for from_workers in directions {
        let summaries = run(8, &monitored(3), |sim, rng| {
            add_workload(sim, rng);
            let at = 25.0 + rng.f64() * 5.0;
            sim.at(at, move |sim| {
                let own = Endpoint::Node(leader(sim));
                let direction = match from_workers {
                    true => Direction::new(Endpoint::Workers, own),
                    false => Direction::new(own, Endpoint::Workers),
                };
                sim.cut_direction(direction, 40.0);
            });
        });
        for summary in summaries {
            assert_eq!(
                summary.leaders, 2,
                "from workers {from_workers}: {summary:?}"
            );
            // Missing heartbeats are noticed at once. If only the answers are lost, the leader sees nothing before
            // the workers' leases expire.
            let elected_at = second_term_start(&summary).unwrap();
            let latest = if from_workers {
                30.0 + 13.0
            } else {
                30.0 + 1.5 * LEASE_S
            };
            assert!(
                elected_at < latest,
                "from workers {from_workers}: {summary:?}"
            );
        }
    }
}

/// No controller receives the workers' heartbeats. No other controller reaches more workers than the leader, so the
/// leader stays.
#[test]
fn leader_stays_while_no_controller_hears_workers() {
    let summaries = run(8, &monitored(3), |sim, rng| {
        add_workload(sim, rng);
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
    for summary in summaries {
        assert_eq!(summary.leaders, 1, "{summary:?}");
    }
}

/// The key-value store refuses the leader's transactions but no other requests. The leader makes no decision that it
/// can't record, and a controller that can write takes over. If the store refuses the transactions of all
/// controllers, the leader stays.
#[test]
fn leader_whose_writes_are_refused_is_replaced_by_one_that_can_write() {
    let summaries = run(8, &monitored(3), |sim, rng| {
        add_workload(sim, rng);
        let at = 25.0 + rng.f64() * 5.0;
        sim.at(at, |sim| sim.refuse_writes(leader(sim), 40.0));
    });
    for summary in summaries {
        assert_eq!(summary.leaders, 2, "{summary:?}");
        let elected_at = second_term_start(&summary).unwrap();
        assert!(elected_at < 30.0 + 8.0, "{summary:?}");
    }
    // If all writes are refused, no other controller would do better.
    let summaries = run(8, &monitored(3), |sim, rng| {
        add_workload(sim, rng);
        let span = 6.0 + rng.f64() * 20.0;
        sim.at(30.0, move |sim| {
            for node in 0..3 {
                sim.refuse_writes(node, span);
            }
        });
    });
    for summary in summaries {
        assert_eq!(summary.leaders, 1, "{summary:?}");
    }
}

/// The leader is partitioned from its peers and keeps the key-value store but not the workers; the other controllers
/// keep the workers but not the store. Without the store they can't lead, so the leader stays although it receives
/// no heartbeats.
#[test]
fn leader_stays_while_the_majority_has_workers_but_no_store() {
    let summaries = run(8, &monitored(3), |sim, rng| {
        add_workload(sim, rng);
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
    for summary in summaries {
        assert_eq!(summary.leaders, 1, "{summary:?}");
    }
}

/// The leader reaches the key-value store, but neither peers nor workers. Controllers exchange their link views
/// through the store, and the leader hands over.
#[test]
fn handover_with_link_views_exchanged_through_the_store() {
    let summaries = run(8, &monitored(3), |sim, rng| {
        add_workload(sim, rng);
        let at = 25.0 + rng.f64() * 5.0;
        sim.at(at, |sim| {
            let own = leader(sim);
            let directions = Direction::all_of(own, 3);
            let is_store_link = |direction: &Direction| {
                direction.from == Endpoint::Store || direction.to == Endpoint::Store
            };
            for direction in directions
                .into_iter()
                .filter(|direction| !is_store_link(direction))
            {
                sim.cut_direction(direction, 45.0);
            }
        });
    });
    for summary in summaries {
        assert_eq!(summary.leaders, 2, "{summary:?}");
        assert!(second_term_start(&summary).unwrap() < 50.0, "{summary:?}");
    }
}

/// Two zones are partitioned while the jobs need workers of both. In each zone the controllers seem to reach more
/// workers than those of the other one.
#[test]
fn few_leader_changes_during_a_zone_partition() {
    for nodes in [3, 5] {
        let summaries = run(8, &monitored(nodes), |sim, rng| {
            add_workload(sim, rng);
            let span = 10.0 + rng.f64() * 35.0;
            sim.at(25.0, move |sim| sim.cut_zone("west", span));
        });
        for summary in summaries {
            assert!(summary.leaders <= 3, "{summary:?}");
        }
    }
}

/// The preferred controller crashes as the leadership is handed over to it. Another one is elected.
#[test]
fn preferred_controller_crashes_during_handover() {
    let summaries = run(8, &monitored(3), |sim, rng| {
        add_workload(sim, rng);
        let back = 0.2 + rng.f64() * 20.0;
        sim.at(25.0, move |sim| {
            let own = leader(sim);
            sim.cut_direction(Direction::new(Endpoint::Workers, Endpoint::Node(own)), 40.0);
            crash_preferred_at_handover(sim, back);
        });
    });
    for summary in summaries {
        assert!((2..=5).contains(&summary.leaders), "{summary:?}");
        assert!(summary.done > 40, "{summary:?}");
    }
}

/// Crashes the preferred controller of a handover within milliseconds after the handover was recorded.
fn crash_preferred_at_handover(sim: &Arc<Simulation>, back: f64) {
    let record = sim.state().store.data("handover");
    match record.and_then(|data| preferred_node(&data)) {
        Some(node) => sim.crash(node, back),
        None if sim.now() < 60_000_000 => {
            sim.after(10_000, move |sim| crash_preferred_at_handover(sim, back));
        }
        None => {}
    }
}

/// Number of the preferred controller in a handover record.
fn preferred_node(data: &ciborium::Value) -> Option<usize> {
    let map = data.as_map()?;
    let (_, name) = map
        .iter()
        .find(|(key, _)| key.as_text() == Some("preferred"))?;
    name.as_text()?.strip_prefix("n-")?.parse().ok()
}

/// During a handover transactions get no answer, and the store executes them at once or late.
#[test]
fn transactions_during_a_handover_get_no_answer() {
    for at_once in [true, false] {
        let summaries = run(8, &monitored(3), |sim, rng| {
            add_workload(sim, rng);
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
        for summary in summaries {
            assert!(summary.done > 40 && summary.leaders <= 5, "{summary:?}");
        }
    }
}

/// Jobs are cancelled in the seconds in which the leadership is handed over, and users query all nodes.
#[test]
fn cancellations_during_a_handover() {
    let summaries = run(16, &monitored(3), |sim, rng| {
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
    for summary in summaries {
        assert!(summary.cancelled >= 12, "{summary:?}");
        assert_eq!(summary.late_starts, Vec::<String>::new());
    }
}

/// Controllers with and without link monitoring in one cluster, as in a rolling change to it and back.
#[test]
fn only_some_controllers_monitor_links() {
    for flags in [
        (|n| if n == 0 { &[] } else { &["--half-cut-links"] })
            as fn(usize) -> &'static [&'static str],
        |n| if n == 0 { &["--half-cut-links"] } else { &[] },
    ] {
        let cluster = Setup { flags, ..setup() };
        let summaries = run(8, &cluster, |sim, rng| {
            add_workload(sim, rng);
            let index = rng.usize(..);
            let at = 20.0 + rng.f64() * 10.0;
            sim.at(at, move |sim| {
                let directions = Direction::all_of(leader(sim), 3);
                sim.cut_direction(directions[index % directions.len()], 25.0);
            });
            sim.at(at + 30.0, |sim| sim.crash(leader(sim), 2.0));
        });
        for summary in summaries {
            assert!(summary.done > 40, "{summary:?}");
        }
    }
}

/// Random faults of all kinds, with cut and flapping directions of links among them.
#[test]
fn random_faults_with_cut_directions() {
    for nodes in [3, 5] {
        let summaries = run(30, &monitored(nodes), |sim, rng| {
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
        for summary in summaries {
            assert!(summary.done + summary.cancelled > 30, "{summary:?}");
        }
    }
}

/// During a handover each node answers status requests correctly, or that it can't tell.
#[test]
fn status_requests_during_a_handover_are_answered_correctly() {
    let summaries = run(8, &monitored(3), |sim, _| {
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
    for summary in summaries {
        assert_eq!((summary.done, summary.leaders), (10, 2), "{summary:?}");
    }
}
