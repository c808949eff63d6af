//! Many users who ask for the status of their jobs all the while.

use aspenreel_simulation::checker::{Checker, JobPlan, RequestKind};
use aspenreel_simulation::stand_ins::deployment::{SMALL_TEAM, SMALL_TEAM_CPUS};
use aspenreel_simulation::stand_ins::loopback_cluster::{LoopbackCluster, NODES};
use aspenreel_simulation::stand_ins::processes::job_of_team;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of users, each with a thread and jobs of its own.
const USERS: u32 = 90;
/// Number of jobs of one user.
const JOBS_PER_USER: u32 = 2;
/// Number of the first job of the crowd, after those of all other users.
const FIRST_JOB: u32 = 900_000;
/// Time between two questions about a job: 5 s, scaled as the leases are.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a submission or cancellation is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Run time that is declared for a task, in seconds.
const DECLARED_RUN_S: f64 = 1.0;

/// Users whose jobs wait for the one that uses all of their team's limit. They ask for the status of each job at the controllers in turn, and cancel all
/// jobs at the end.
pub struct StatusCrowd<'a> {
    cluster: &'a LoopbackCluster,
    seed: u64,
    stop: &'a AtomicBool,
}

impl<'a> StatusCrowd<'a> {
    /// Creates the users; `stop` ends their work early.
    pub fn new(cluster: &'a LoopbackCluster, seed: u64, stop: &'a AtomicBool) -> Self {
        StatusCrowd {
            cluster,
            seed,
            stop,
        }
    }

    /// Runs all users until `span` has passed and their jobs are cancelled.
    pub fn run(&self, span: Duration) {
        let until = Instant::now() + span;
        std::thread::scope(|scope| {
            for user in 0..USERS {
                scope.spawn(move || self.run_user(user, until));
            }
        });
    }

    fn run_user(&self, user: u32, until: Instant) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ u64::from(FIRST_JOB + user));
        let plans: Vec<JobPlan> = (0..JOBS_PER_USER)
            .map(|job| FIRST_JOB + user * JOBS_PER_USER + job)
            .map(|number| JobPlan {
                team: SMALL_TEAM.into(),
                ..JobPlan::new(number, 1, SMALL_TEAM_CPUS, DECLARED_RUN_S)
            })
            .collect();
        for plan in &plans {
            let environment = &self.cluster.cloud.environment;
            let mut endless = environment
                .endless
                .lock()
                .unwrap_or_else(|e| e.into_inner());
            endless.insert(plan.id.clone());
            drop(endless);
            self.cluster
                .with_checker(|checker, _| checker.submitted(plan));
            self.repeat_until(plan, RequestKind::Submit, &mut rng, |checker| {
                checker.is_accepted(&plan.id)
            });
        }
        while Instant::now() < until && !self.is_stopped() {
            let asked_at = Instant::now();
            for plan in &plans {
                self.send(plan, RequestKind::Status, &mut rng);
            }
            std::thread::sleep(POLL_INTERVAL.saturating_sub(asked_at.elapsed()));
        }
        for plan in &plans {
            self.cluster
                .with_checker(|checker, _| checker.cancel_requested(&plan.id));
            self.repeat_until(plan, RequestKind::Cancel, &mut rng, |checker| {
                checker.final_state(&plan.id).is_some()
            });
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends a request about a job to a random controller.
    fn send(&self, plan: &JobPlan, kind: RequestKind, rng: &mut fastrand::Rng) {
        let body = job_of_team(&plan.team, &plan.id, plan.tasks, plan.cpus);
        self.cluster
            .send_request(&plan.id, kind, rng.usize(0..NODES), &body);
    }

    /// Repeats a request until the checker shows that it has taken effect.
    fn repeat_until(
        &self,
        plan: &JobPlan,
        kind: RequestKind,
        rng: &mut fastrand::Rng,
        is_effective: impl Fn(&Checker) -> bool,
    ) {
        while !self.is_stopped() {
            let mut effective = false;
            self.cluster
                .with_checker(|checker, _| effective = is_effective(checker));
            if effective {
                return;
            }
            self.send(plan, kind, rng);
            std::thread::sleep(RETRY_PAUSE);
        }
    }
}
