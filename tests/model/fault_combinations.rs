//! One test for each combination of faults that the operators named. The faults are scheduled on purpose, at times
//! that depend on the seed. Every test expects that the checker finds no violated rule.

use aspenreel_simulation::checker::{JobPlan, RequestKind};
use aspenreel_simulation::run::run;
use aspenreel_simulation::setup::{CANCEL_S, LEASE_S, Setup};
use aspenreel_simulation::simulation::Simulation;
use aspenreel_simulation::workloads::*;
use std::sync::Arc;

/// Right after a job was accepted, ended or was confirmed as cancelled, users query all nodes repeatedly within
/// milliseconds and repeat the submission; some cancel at once.
#[test]
fn all_nodes_answer_consistently_after_state_changes() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 60.0, 60, |i, p| p.run_s = f64::from(i % 7) * 2.0);
        query_all_nodes_on_updates(sim, &ids);
        cancel_after_acceptance(sim, &every_nth(&ids, 3), 4.0, rng);
    });
    for summary in summaries {
        assert!(summary.cancelled > 10 && summary.done > 30, "{summary:?}");
    }
}

/// The store commits a transaction at once but its answer is lost, while other nodes already read what it wrote.
#[test]
fn answers_of_committed_transactions_are_lost() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 70.0, 50, |i, p| p.run_s = f64::from(i % 7) * 2.0);
        query_all_nodes_on_updates(sim, &ids);
        cancel_after_acceptance(sim, &every_nth(&ids, 3), 12.0, rng);
        sim.at(8.0, |sim| sim.leave_writes_unanswered(0.6, true, 70.0));
        // One node can't reach its peers, and so can't ask the leader. It reads the store itself.
        sim.at(20.0, |sim| {
            let n = (sim.leader_or_any() + 1) % 3;
            sim.state().nodes[n].peers_cut_until = 60_000_000;
        });
    });
    for summary in summaries {
        assert!(summary.cancelled > 5 && summary.done > 20, "{summary:?}");
    }
}

/// Every team is at its limit while jobs are cancelled whose machines are partitioned or frozen, and the leader
/// changes.
#[test]
fn team_limits_hold_while_machines_are_unreachable() {
    let cluster = Setup {
        teams: vec![("a", 16.0), ("b", 12.0)],
        ..setup()
    };
    let summaries = run(2 * SEEDS, &cluster, |sim, rng| {
        let ids = jobs(sim, 4.0, 40.0, 24, |i, p| {
            p.team = if i % 2 == 0 { "a" } else { "b" }.into();
            p.tasks = 1 + i % 5;
            p.cpus = 4.0;
            p.run_s = 18.0;
        });
        let at = 18.0 + rng.f64() * 8.0;
        let (hangs, holds, of) = (rng.bool(), rng.bool(), rng.usize(1..4));
        let span = 3.0 + rng.f64() * 25.0;
        sim.at(at, move |sim| {
            let some = every_nth_of(sim.machines_up(), of);
            match hangs {
                true => sim.freeze_machines(&some, span),
                false => sim.cut_machines(&some, span, holds),
            }
        });
        cancel_each(sim, &every_nth(&ids, 2), at - 1.0, at + 12.0, rng);
        let back = 0.2 + rng.f64() * 3.0;
        sim.at(at + rng.f64() * 5.0, move |sim| {
            sim.crash(sim.leader_or_any(), back)
        });
    });
    for summary in summaries {
        assert!(
            summary.cancelled >= 3 && summary.leaders >= 2,
            "{summary:?}"
        );
    }
}

/// Jobs of one task are submitted at four per second for two minutes; a quarter of them are cancelled.
#[test]
fn stream_of_small_jobs_completes() {
    let summaries = run(
        2,
        &Setup {
            write_rps: 20.0,
            ..setup()
        },
        |sim, rng| {
            let ids = jobs(sim, 4.0, 124.0, 480, |_, p| {
                p.tasks = 1;
                p.cpus = 1.0;
                p.run_s = 6.0;
            });
            for (i, id) in ids.iter().enumerate().step_by(4) {
                let at = 4.0 + 0.25 * i as f64 + 0.3 + rng.f64() * 6.0;
                let id = id.clone();
                sim.at(at, move |sim| sim.user_cancels(&id));
            }
        },
    );
    for summary in summaries {
        assert!(summary.cancelled > 90 && summary.done > 330, "{summary:?}");
    }
}

/// Cancellations, status requests and repeated submissions arrive just as a job's last task ends. No other fault.
#[test]
fn cancellations_race_with_the_end_of_the_last_task() {
    let summaries = run(SEEDS, &setup(), |sim, _| {
        let ids = jobs(sim, 4.0, 60.0, 60, |i, p| {
            p.run_s = 2.0 + f64::from(i % 5);
            p.cpus = 1.0;
        });
        query_all_nodes_on_updates(sim, &ids);
        sim.at(3.0, move |sim| cancel_at_last_task_end(sim, ids));
    });
    for summary in summaries {
        assert_eq!(summary.done + summary.cancelled, 60, "{summary:?}");
    }
}

/// Makes the users of these jobs cancel when the last task ends. The setting is repeated at intervals, since a user
/// exists only from the submission of the job on.
fn cancel_at_last_task_end(sim: &Arc<Simulation>, ids: Vec<String>) {
    for id in &ids {
        sim.change_user(id, |u| u.cancels_at_end = true);
    }
    if sim.now() < 65_000_000 {
        sim.after(200_000, move |sim| cancel_at_last_task_end(sim, ids));
    }
}

/// A zone with workers and at least one controller is partitioned for longer than the workers' lease.
#[test]
fn zone_partition_longer_than_the_worker_lease() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 70.0, 40, |_, p| p.run_s = 20.0);
        let span = LEASE_S * (1.1 + rng.f64());
        let zone = sim.zone_of_node(rng.usize(0..2));
        let at = 15.0 + rng.f64() * 10.0;
        sim.at(at, move |sim| sim.cut_zone(zone, span));
        if rng.bool() {
            sim.at(at + rng.f64() * span, |sim| {
                sim.crash(sim.leader_or_any(), 3.0)
            });
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 4), 18.0, rng);
    });
    for summary in summaries {
        assert!(summary.cancelled >= 4 && summary.done > 20, "{summary:?}");
    }
}

/// The leader changes ten times in two minutes, also during an outage of the key-value store.
#[test]
fn ten_leader_changes_in_two_minutes_with_a_store_outage() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 110.0, 50, |i, p| {
            p.run_s = 5.0 + f64::from(i % 4) * 6.0
        });
        query_all_nodes_on_updates(sim, &every_nth(&ids, 5));
        for k in 0..11 {
            let at = 10.0 + 11.0 * f64::from(k) + rng.f64() * 4.0;
            let back = 0.2 + rng.f64() * 3.0;
            sim.at(at, move |sim| sim.crash(sim.leader_or_any(), back));
        }
        sim.at(55.0, |sim| sim.store_outage(14.0));
        cancel_after_acceptance(sim, &every_nth(&ids, 4), 15.0, rng);
        let span = 12.0 + rng.f64() * 8.0;
        sim.at(30.0, move |sim| {
            sim.cut_machines(&every_nth_of(sim.machines_up(), 3), span, true)
        });
    });
    for summary in summaries {
        assert!(summary.leaders >= 10 && summary.done > 25, "{summary:?}");
    }
}

/// Messages from workers reach no controller, while direct commands still reach the workers.
#[test]
fn workers_receive_commands_but_cannot_reach_controllers() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 90.0, 90, |i, p| {
            p.cpus = 1.0;
            p.run_s = 6.0 + f64::from(i % 3) * 4.0;
        });
        let at = 12.0 + rng.f64() * 6.0;
        let span = LEASE_S * (0.5 + 2.0 * rng.f64());
        let of = rng.usize(1..4);
        sim.at(at, move |sim| {
            sim.drop_outbound(&every_nth_of(sim.machines_up(), of), span)
        });
        cancel_after_acceptance(sim, &every_nth(&ids, 5), 10.0, rng);
        if rng.bool() {
            sim.at(at + rng.f64() * span, |sim| {
                sim.crash(sim.leader_or_any(), 3.0)
            });
        }
    });
    for summary in summaries {
        assert!(summary.done > 50, "{summary:?}");
    }
}

/// Jobs of all priorities need more than the cluster's capacity, over slow links.
#[test]
fn overload_over_slow_links() {
    let cluster = Setup {
        capacity: 5,
        machines: vec![("small", "east", true, 3), ("small", "west", true, 2)],
        ..setup()
    };
    let summaries = run(SEEDS, &cluster, |sim, rng| {
        sim.state().latency_factor = 60;
        let ids = jobs(sim, 4.0, 60.0, 40, |i, p| {
            p.priority = ["low", "normal", "high", "production"][i as usize % 4];
            p.tasks = 1 + i % 4;
            p.cpus = 4.0;
            p.run_s = 8.0;
            p.checkpoint_s = if i % 3 == 0 { 2.0 } else { 0.0 };
        });
        cancel_each(sim, &every_nth(&ids, 5), 10.0, 70.0, rng);
        sim.at(30.0 + rng.f64() * 10.0, |sim| {
            sim.crash(sim.leader_or_any(), 3.0)
        });
    });
    for summary in summaries {
        assert!(summary.done > 25, "{summary:?}");
    }
}

/// Jobs are cancelled around the moment at which the key-value store begins to refuse the leader alone. Then the
/// store is down for all nodes, for longer than a cancellation may take, while workers still send heartbeats to the
/// old leader. The time between the two faults varies over the whole leader lease, so that in some cases another
/// node has just been elected and has confirmed cancellations.
#[test]
fn cancellations_between_refusal_of_the_leader_and_a_store_outage() {
    let summaries = run(
        3 * SEEDS,
        &Setup {
            nodes: 5,
            ..setup()
        },
        |sim, rng| {
            let ids = jobs(sim, 4.0, 14.0, 16, |_, p| {
                p.run_s = 120.0;
                p.tasks = 1;
            });
            query_all_nodes_on_updates(sim, &every_nth(&ids, 2));
            let at = 22.0 + rng.f64();
            let spacing = rng.f64() * 14.0;
            sim.at(at, move |sim| {
                sim.refuse_node(sim.leader_or_any(), 14.0 + spacing)
            });
            sim.at(at + spacing, |sim| sim.store_outage(CANCEL_S + 12.0));
            cancel_each(sim, &every_nth(&ids, 2), at - 0.2, at + spacing + 3.0, rng);
            cancel_each(sim, &every_nth(&ids, 3), at + spacing, at + 70.0, rng);
        },
    );
    let confirmed: u32 = summaries.iter().map(|e| e.cancelled).sum();
    assert!(confirmed > 8 * summaries.len() as u32 / 2, "{summaries:?}");
}

/// Teams are at their limits when the leader changes. The new leader can't reach some of the machines, and jobs are
/// cancelled during that time.
#[test]
fn cancellations_while_a_new_leader_cannot_reach_all_machines() {
    let cluster = Setup {
        teams: vec![("a", 24.0), ("b", 8.0)],
        ..setup()
    };
    let summaries = run(2 * SEEDS, &cluster, |sim, rng| {
        let ids = jobs(sim, 4.0, 30.0, 20, |i, p| {
            p.tasks = 1 + i % 4;
            p.cpus = 4.0;
            p.run_s = 14.0;
        });
        let at = 16.0 + rng.f64() * 8.0;
        let span = 6.0 + rng.f64() * 20.0;
        let holds = rng.bool();
        sim.at(at, move |sim| {
            sim.cut_machines(&every_nth_of(sim.machines_up(), 2), span, holds)
        });
        sim.at(at + 0.5 + rng.f64() * 3.0, |sim| {
            sim.crash(sim.leader_or_any(), 3.0)
        });
        cancel_each(sim, &every_nth(&ids, 2), at + 1.0, at + span, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 2 && summary.cancelled > 1, "{summary:?}");
    }
}

/// Copies of old heartbeats reach every controller just as a new leader is elected.
#[test]
fn old_heartbeats_arrive_at_an_election() {
    let summaries = run(3 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 90.0, 70, |i, p| {
            p.cpus = 4.0;
            p.run_s = 4.0 + f64::from(i % 5) * 3.0;
        });
        sim.at(6.0, |sim| sim.duplicate_heartbeats(0.5, true, 80.0));
        for k in 0..4 {
            let at = 18.0 + 20.0 * f64::from(k) + rng.f64() * 6.0;
            let (cuts, holds) = (rng.bool(), rng.bool());
            let span = LEASE_S * (0.6 + rng.f64());
            if cuts {
                // Agent epochs end earlier, and new ones begin under the leader that is about to crash.
                sim.at(at - LEASE_S * rng.f64(), move |sim| {
                    sim.cut_machines(&every_nth_of(sim.machines_up(), 3), span, holds);
                });
            }
            sim.at(at, |sim| sim.crash(sim.leader_or_any(), 0.3));
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 6), 12.0, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 4 && summary.done > 40, "{summary:?}");
    }
}

/// A command or its answer is delayed for seconds, and the machine then continues.
#[test]
fn commands_and_answers_are_delayed() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 80.0, 80, |i, p| {
            p.run_s = 5.0 + f64::from(i % 3) * 5.0
        });
        for k in 0..10 {
            let at = 8.0 + 8.0 * f64::from(k) + rng.f64() * 4.0;
            let (hangs, of, span) = (rng.bool(), rng.usize(1..4), 1.0 + rng.f64() * 9.0);
            sim.at(at, move |sim| {
                let some = every_nth_of(sim.machines_up(), of);
                match hangs {
                    true => sim.freeze_machines(&some, span),
                    false => sim.cut_machines(&some, span, true),
                }
            });
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 3), 15.0, rng);
    });
    for summary in summaries {
        assert!(summary.cancelled > 1 && summary.done > 35, "{summary:?}");
    }
}

/// The leader loses its connections to the key-value store and to the other controllers while workers and users
/// still reach it. Jobs are cancelled through the new leader.
#[test]
fn cancellations_while_the_old_leader_is_cut_from_store_and_peers() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 60.0, 40, |_, p| p.run_s = 25.0);
        query_all_nodes_on_updates(sim, &every_nth(&ids, 2));
        let at = 18.0 + rng.f64() * 5.0;
        sim.at(at, |sim| sim.cut_store(sim.leader_or_any(), 35.0, true));
        cancel_each(sim, &every_nth(&ids, 2), at - 1.0, at + 25.0, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 2 && summary.cancelled > 4, "{summary:?}");
    }
}

/// The leader crashes while machines with long tasks are unreachable, or don't receive the answers of the new
/// leader.
#[test]
fn leader_crash_while_machines_cannot_receive_answers() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 60.0, 40, |_, p| p.run_s = 30.0);
        let at = 18.0 + rng.f64() * 5.0;
        let (deaf, holds, span) = (rng.bool(), rng.bool(), 5.0 + rng.f64() * 30.0);
        sim.at(at - rng.f64() * 2.0, move |sim| {
            let some = every_nth_of(sim.machines_up(), 2);
            match deaf {
                true => sim.drop_inbound(&some, span),
                false => sim.cut_machines(&some, span, holds),
            }
        });
        sim.at(at, |sim| sim.crash(sim.leader_or_any(), 3.0));
        cancel_each(sim, &every_nth(&ids, 3), at - 2.0, at + span, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 2 && summary.done > 20, "{summary:?}");
    }
}

/// New machines are up within two seconds and get work at once while writes to the store are slow or unanswered,
/// and the leader crashes.
#[test]
fn new_machines_get_work_while_store_writes_are_slow() {
    let cluster = Setup {
        machines: vec![("small", "east", true, 1), ("small", "west", true, 1)],
        teams: vec![("a", 96.0), ("b", 24.0)],
        ..setup()
    };
    let summaries = run(2 * SEEDS, &cluster, |sim, rng| {
        sim.state().cloud.fast_boot_until = u64::MAX;
        jobs(sim, 4.0, 80.0, 60, |i, p| {
            p.tasks = 2 + i % 6;
            p.cpus = 4.0;
            p.run_s = 8.0;
        });
        for k in 0..4 {
            let at = 8.0 + 18.0 * f64::from(k) + rng.f64() * 8.0;
            let (delay, unanswered) = (0.2 + rng.f64(), rng.bool());
            sim.at(at, move |sim| match unanswered {
                true => sim.leave_writes_unanswered(0.7, is_at_once(delay), 8.0),
                false => sim.slow_store(delay, 8.0),
            });
            sim.at(at + 1.0 + rng.f64() * 6.0, |sim| {
                sim.crash(sim.leader_or_any(), 0.3)
            });
        }
    });
    for summary in summaries {
        assert!(summary.leaders >= 4 && summary.done > 40, "{summary:?}");
    }
}

/// Whether unanswered writes are executed at once, derived from the delay that was drawn for slow writes.
fn is_at_once(delay: f64) -> bool {
    delay > 0.7
}

/// The tasks of a job, two or three, end far apart, so that the leader changes between their ends.
#[test]
fn tasks_of_one_job_end_under_different_leaders() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 50.0, 40, |i, p| {
            p.tasks = 2 + i % 2;
            p.run_s = 3.0;
            p.run_increment_s = 14.0;
        });
        query_all_nodes_on_updates(sim, &ids);
        for k in 0..4 {
            let at = 14.0 + 14.0 * f64::from(k) + rng.f64() * 6.0;
            sim.at(at, |sim| sim.crash(sim.leader_or_any(), 0.5));
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 4), 15.0, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 4 && summary.done >= 28, "{summary:?}");
    }
}

/// The store executes unanswered transactions late, after newer ones of the same controller.
#[test]
fn unanswered_transactions_execute_after_newer_ones() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 80.0, 60, |i, p| {
            p.run_s = 2.0 + f64::from(i % 6) * 2.0
        });
        query_all_nodes_on_updates(sim, &every_nth(&ids, 2));
        sim.at(6.0, |sim| sim.leave_writes_unanswered(0.4, false, 75.0));
        cancel_after_acceptance(sim, &every_nth(&ids, 3), 12.0, rng);
        sim.at(30.0 + rng.f64() * 20.0, |sim| {
            sim.crash(sim.leader_or_any(), 0.3)
        });
    });
    for summary in summaries {
        assert!(summary.cancelled > 2 && summary.done > 30, "{summary:?}");
    }
}

/// Heartbeats are delayed until a new leader has acted, and then arrive there.
#[test]
fn delayed_heartbeats_arrive_at_a_new_leader() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 70.0, 50, |i, p| {
            p.run_s = 6.0 + f64::from(i % 4) * 5.0
        });
        for k in 0..3 {
            let at = 14.0 + 20.0 * f64::from(k) + rng.f64() * 6.0;
            let span = 3.0 + rng.f64() * 20.0;
            sim.at(at, move |sim| {
                sim.cut_machines(&every_nth_of(sim.machines_up(), 2), span, true)
            });
            sim.at(at + 0.3 + rng.f64() * 2.0, |sim| {
                sim.crash(sim.leader_or_any(), 0.3)
            });
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 5), 15.0, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 3 && summary.done > 30, "{summary:?}");
    }
}

/// All controllers crash at once, three times. One restarts within a second, the others after several seconds, and
/// shortly after that the leader crashes again.
#[test]
fn all_controllers_crash_repeatedly() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 80.0, 50, |i, p| {
            p.run_s = 6.0 + f64::from(i % 4) * 4.0
        });
        query_all_nodes_on_updates(sim, &every_nth(&ids, 3));
        for k in 0..3 {
            let at = 14.0 + 22.0 * f64::from(k) + rng.f64() * 5.0;
            let first_back = rng.usize(0..3);
            let backs: Vec<f64> = (0..3)
                .map(|n| {
                    if n == first_back {
                        0.1 + rng.f64() * 0.8
                    } else {
                        4.0 + rng.f64() * 10.0
                    }
                })
                .collect();
            sim.at(at, move |sim| {
                for (n, back) in backs.iter().enumerate() {
                    sim.crash(n, *back);
                }
            });
            sim.at(at + 1.0 + rng.f64(), |sim| {
                sim.crash(sim.leader_or_any(), 0.2)
            });
        }
        cancel_after_acceptance(sim, &every_nth(&ids, 4), 15.0, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 4 && summary.done > 30, "{summary:?}");
    }
}

/// All controllers are down for longer than the workers' lease.
#[test]
fn all_controllers_down_longer_than_the_worker_lease() {
    let summaries = run(SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 70.0, 40, |_, p| p.run_s = 20.0);
        let at = 15.0 + rng.f64() * 10.0;
        sim.at(at, |sim| {
            (0..3).for_each(|n| sim.crash(n, LEASE_S + 4.0 + n as f64))
        });
        cancel_each(sim, &every_nth(&ids, 4), at - 2.0, at + LEASE_S, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 2 && summary.done > 25, "{summary:?}");
    }
}

/// Old heartbeats arrive after newer ones, also from an earlier agent epoch or with an earlier attempt.
#[test]
fn old_heartbeats_arrive_after_newer_ones() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 90.0, 60, |i, p| {
            p.run_s = 4.0 + f64::from(i % 5) * 3.0
        });
        sim.at(6.0, |sim| sim.duplicate_heartbeats(0.6, false, 80.0));
        let span = LEASE_S * (1.05 + 0.4 * rng.f64());
        let holds = rng.bool();
        sim.at(20.0 + rng.f64() * 10.0, move |sim| {
            sim.cut_machines(&every_nth_of(sim.machines_up(), 2), span, holds)
        });
        sim.at(40.0 + rng.f64() * 30.0, |sim| {
            sim.crash(sim.leader_or_any(), 0.3)
        });
        cancel_after_acceptance(sim, &every_nth(&ids, 4), 15.0, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 2 && summary.done > 35, "{summary:?}");
    }
}

/// Array jobs with zone constraints (one zone for all tasks, spread over zones, a given zone) lose machines while
/// the leader changes.
#[test]
fn jobs_with_zone_constraints_lose_machines() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 60.0, 30, |i, p| {
            p.tasks = 2 + i % 7;
            p.cpus = 4.0;
            p.run_s = 12.0;
            match i % 3 {
                0 => p.same_zone = true,
                1 => p.spread = true,
                _ => p.zone = Some(["east", "west"][i as usize % 2].into()),
            }
        });
        let at = 16.0 + rng.f64() * 8.0;
        let (dies, holds, span) = (rng.bool(), rng.bool(), 4.0 + rng.f64() * 20.0);
        sim.at(at, move |sim| {
            let some = every_nth_of(sim.machines_up(), 2);
            match dies {
                true => sim.kill_machines(&some),
                false => sim.cut_machines(&some, span, holds),
            }
        });
        sim.at(at + rng.f64() * 4.0, |sim| {
            sim.crash(sim.leader_or_any(), 1.0)
        });
        cancel_each(sim, &every_nth(&ids, 5), at, at + 20.0, rng);
    });
    for summary in summaries {
        assert!(summary.leaders >= 2 && summary.done > 15, "{summary:?}");
    }
}

/// The key-value store answers slowly, or it refuses the leader alone and then all nodes for longer than a
/// cancellation may take. Meanwhile users cancel jobs and query them.
#[test]
fn cancellations_while_the_store_is_slow_or_refuses() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 60.0, 36, |_, p| p.run_s = 20.0);
        query_all_nodes_on_updates(sim, &ids);
        let at = 16.0 + rng.f64() * 5.0;
        match rng.bool() {
            true => sim.at(at, |sim| sim.slow_store(0.9, 50.0)),
            false => {
                sim.at(at, |sim| sim.refuse_node(sim.leader_or_any(), 20.0));
                sim.at(at + rng.f64() * 12.0, |sim| {
                    sim.store_outage(CANCEL_S + 5.0)
                });
            }
        }
        cancel_each(sim, &every_nth(&ids, 2), at - 1.0, at + 30.0, rng);
    });
    for summary in summaries {
        assert!(summary.done + summary.cancelled > 20, "{summary:?}");
    }
}

/// Jobs are cancelled in the seconds in which another controller takes over from a crashed or frozen leader.
#[test]
fn cancellations_during_a_takeover() {
    let summaries = run(2 * SEEDS, &setup(), |sim, rng| {
        let ids = jobs(sim, 4.0, 60.0, 50, |i, p| {
            p.run_s = 8.0 + f64::from(i % 3) * 8.0
        });
        query_all_nodes_on_updates(sim, &every_nth(&ids, 2));
        for (k, some) in ids.chunks(12).enumerate() {
            let at = 16.0 + 14.0 * k as f64 + rng.f64() * 4.0;
            let (freezes, back) = (rng.bool(), 0.2 + rng.f64() * 3.0);
            sim.at(at, move |sim| match freezes {
                true => sim.freeze(sim.leader_or_any(), 12.0),
                false => sim.crash(sim.leader_or_any(), back),
            });
            cancel_each(sim, some, at - 1.0, at + 4.0, rng);
        }
    });
    for summary in summaries {
        assert!(
            summary.leaders >= 3 && summary.cancelled > 10,
            "{summary:?}"
        );
    }
}

/// With or without a leader, each node answers by itself whatever the stored records determine: refusals and final
/// states. Otherwise it says at once when to retry.
#[test]
fn nodes_give_refusals_and_final_states_without_a_leader() {
    run(SEEDS, &setup(), |sim, rng| {
        let mut plans = infeasible_submissions();
        let ended = JobPlan::new(900, 1, 1.0, 1.0);
        let runs = JobPlan::new(901, 1, 1.0, 60.0);
        sim.submit(4.0, ended.clone());
        sim.submit(4.0, runs.clone());
        let crash = 20.0 + rng.f64() * 3.0;
        // There is no leader until the lease of the crashed leader has expired.
        sim.at(crash, |sim| sim.crash(sim.leader_or_any(), 60.0));
        plans.push((ended.clone(), 200, Some("done")));
        plans.push((runs.clone(), 200, Some("queued")));
        for k in 0..20 {
            // Slowly enough to stay within a node's share of the key-value store's request rate.
            let at = crash + 0.02 + 0.4 * f64::from(k) + 0.2 * rng.f64();
            for (plan, status, state) in plans.clone() {
                let n = rng.usize(0..3);
                sim.at(at, move |sim| {
                    sim.state().checker.submitted(&plan);
                    let id = plan.id.clone();
                    sim.insert_user(plan);
                    if sim.state().nodes[n].process.is_none() {
                        return;
                    }
                    sim.send_request(&id, RequestKind::Submit, n, move |sim, answer| {
                        expect_answer(sim, answer, status, state);
                    });
                });
            }
            let (n, ended, runs) = (rng.usize(0..3), ended.id.clone(), runs.id.clone());
            sim.at(at, move |sim| {
                if sim.state().nodes[n].process.is_none() {
                    return;
                }
                let send = |id: &str, kind, status, state| {
                    sim.send_request(id, kind, n, move |sim, answer| {
                        expect_answer(sim, answer, status, state)
                    });
                };
                send(&ended, RequestKind::Cancel, 200, Some("done"));
                send(&ended, RequestKind::Status, 200, Some("done"));
                send(&ended, RequestKind::MalformedSubmit, 200, Some("done"));
                send(&runs, RequestKind::MalformedSubmit, 200, None);
                send("run-999", RequestKind::Cancel, 404, None);
                send("run-999", RequestKind::Status, 404, None);
                send("run-800", RequestKind::MalformedSubmit, 400, None);
            });
        }
    });
}

/// Submissions that no node may ever accept, each with the expected HTTP status and job state.
fn infeasible_submissions() -> Vec<(JobPlan, u16, Option<&'static str>)> {
    let plan = |id: u32, edit: fn(&mut JobPlan)| {
        let mut p = JobPlan::new(id, 1, 1.0, 5.0);
        edit(&mut p);
        (p, 422, None)
    };
    vec![
        plan(800, |p| p.team = "nobody".into()),
        plan(801, |p| p.cpus = 9.0),
        plan(802, |p| p.zone = Some("north".into())),
        plan(803, |p| {
            p.team = "b".into();
            p.cpus = 25.0;
        }),
    ]
}

/// A test of the simulation itself: once all controllers are down for good, the checker reports jobs that never end
/// and jobs that wait although there are free machines.
#[test]
fn checker_reports_starved_and_unfinished_jobs() {
    let sim = Simulation::new(1, setup());
    jobs(&sim, 4.0, 8.0, 4, |_, p| p.run_s = 300.0);
    sim.at(6.0, |sim| {
        for n in 0..3 {
            sim.crash(n, 100_000.0);
        }
        sim.state().faults_until = sim.now();
    });
    let summary = sim.finish();
    let violates = |rule: &str| summary.violations.iter().any(|v| v.contains(rule));
    assert!(
        violates("starved: ") && violates("never ended: "),
        "{summary:?}"
    );
}
