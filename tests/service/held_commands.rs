//! Commands to workers are held on their way for longer than a cancellation takes, while heartbeats flow.

use crate::nodes::spawn;
use aspenreel_simulation::checker::Checker;
use aspenreel_simulation::stand_ins::deployment::{CANCEL_S, Deployment};
use aspenreel_simulation::stand_ins::loopback_cluster::LoopbackCluster;
use aspenreel_simulation::stand_ins::loopback_users::Users;
use aspenreel_simulation::stand_ins::relay::Traffic;
use std::time::Duration;

/// Commands that are held arrive this much later than a cancellation may take.
const BEYOND: Duration = Duration::from_secs(2);

#[test]
fn held_orders_start_nothing_that_was_cancelled() {
    let held = Duration::from_secs_f64(CANCEL_S) + BEYOND;
    let cluster = LoopbackCluster::start("held", &Deployment::default(), spawn);
    let mut users = Users::new(&cluster, 3, 0);
    users.cancel_one_in(2);
    users.run_for(Duration::from_millis(2500));
    let leader = cluster.wait_for_leader();
    cluster.set_command_traffic(leader, Traffic::Late(held));
    users.run_for(Duration::from_secs(8));
    cluster.set_command_traffic(leader, Traffic::Passes);
    users.run_for(held + BEYOND);
    users.run_until_all_ended();
    cluster.with_checker(|checker: &mut Checker, now| {
        checker.check_time_limits(now);
        assert_eq!(checker.violations, Vec::<String>::new());
        assert!(checker.answered_done > 5, "hardly anything ran");
        assert!(
            checker.answered_cancelled > 5,
            "hardly anything was cancelled"
        );
    });
}
