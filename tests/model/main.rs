//! Meetings of troubles, brought about in a model of several controllers (`docs/meetings.md`).

mod behavior;
mod large;
mod links;
mod meetings;
mod orders;
mod services;
mod upgrades;

use aspenreel_simulation::play::play;
use aspenreel_simulation::world::Setup;
use aspenreel_simulation::{checker, trouble};

/// Without any trouble every job runs to its end, each task once.
#[test]
fn a_quiet_day() {
    let ends = play(3, &Setup::default(), |w, _| {
        for i in 0..20 {
            let plan = checker::JobPlan::new(i, 1 + i % 5, 2.0, 10.0);
            w.submit(5.0 + f64::from(i), plan);
        }
    });
    for end in ends {
        assert_eq!((end.done, end.leaders, end.starts), (20, 1, 60), "{end:?}");
    }
}

/// Whatever the seed draws: troubles that meet by chance.
#[test]
fn any_troubles() {
    for end in play(24, &Setup::default(), trouble::draw) {
        assert!(end.done + end.cancelled > 30, "{end:?}");
    }
}
