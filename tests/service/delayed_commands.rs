//! Commands to workers are delayed for longer than a cancellation may take, while heartbeats are delivered normally.

use crate::nodes::spawn;
use aspenreel_simulation::checker::Checker;
use aspenreel_simulation::stand_ins::deployment::{CANCEL_S, Deployment};
use aspenreel_simulation::stand_ins::loopback_cluster::LoopbackCluster;
use aspenreel_simulation::stand_ins::loopback_users::Users;
use aspenreel_simulation::stand_ins::relay::Traffic;
use std::time::Duration;

/// Time by which the delay of commands exceeds the time that a cancellation may take.
const EXTRA_DELAY: Duration = Duration::from_secs(2);

#[test]
fn delayed_commands_do_not_start_cancelled_tasks() {
    let delay = Duration::from_secs_f64(CANCEL_S) + EXTRA_DELAY;
    let cluster = LoopbackCluster::start("held", &Deployment::default(), spawn);
    let mut users = Users::new(&cluster, 3, 0);
    users.cancel_one_in(2);
    users.run_for(Duration::from_millis(2500));
    let leader = cluster.wait_for_leader();
    cluster.set_command_traffic(leader, Traffic::Late(delay));
    users.run_for(Duration::from_secs(8));
    cluster.set_command_traffic(leader, Traffic::Passes);
    users.run_for(delay + EXTRA_DELAY);
    users.run_until_all_ended();
    cluster.with_checker(|checker: &mut Checker, now| {
        checker.check_time_limits(now);
        assert_eq!(checker.violations, Vec::<String>::new());
        assert!(checker.answered_done > 5, "too few jobs were done");
        assert!(
            checker.answered_cancelled > 5,
            "too few jobs were cancelled"
        );
    });
}
