//! Users of controllers on loopback.

use crate::checker::{Checker, JobPlan, Question};
use crate::stand_ins::loopback_cluster::{LoopbackCluster, NODES, TASK_MS};
use crate::stand_ins::processes::job;
use std::time::{Duration, Instant};

/// What users want done at once.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Jobs that have not ended yet, at most.
    pub open_jobs: usize,
    /// Jobs have from one task up to this many.
    pub max_tasks: u32,
    /// What one task takes.
    pub cpus: f64,
}

impl Default for Demand {
    fn default() -> Demand {
        Demand {
            open_jobs: 8,
            max_tasks: 3,
            cpus: 1.0,
        }
    }
}

/// Users of one cluster: they come with jobs, ask, and cancel some.
pub struct Users<'a> {
    cluster: &'a LoopbackCluster,
    /// Draws what they do.
    pub rng: fastrand::Rng,
    next: u32,
    open: Vec<JobPlan>,
    cancels_one_in: u32,
    demand: Demand,
}

impl<'a> Users<'a> {
    /// Users whose jobs are numbered from `first` on.
    pub fn new(cluster: &'a LoopbackCluster, seed: u64, first: u32) -> Users<'a> {
        Users {
            cluster,
            rng: fastrand::Rng::with_seed(seed),
            next: first,
            open: Vec::new(),
            cancels_one_in: 4,
            demand: Demand::default(),
        }
    }

    /// Sets what they want done at once.
    pub fn set_demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// One in so many jobs is cancelled, sooner or later.
    pub fn cancel_one_in(&mut self, one_in: u32) {
        self.cancels_one_in = one_in;
    }

    fn node(&mut self) -> usize {
        self.rng.usize(0..NODES)
    }

    fn submit(&mut self) {
        self.next += 1;
        let tasks = self.rng.u32(1..=self.demand.max_tasks);
        let plan = JobPlan::new(self.next, tasks, self.demand.cpus, TASK_MS as f64 / 1000.0);
        self.cluster
            .with_checker(|checker, _| checker.submitted(&plan));
        self.open.push(plan);
    }

    /// One question about one open job: a submission until it is accepted, then its state, or a
    /// cancellation.
    fn ask_one(&mut self) {
        let Some(at) = (!self.open.is_empty()).then(|| self.rng.usize(0..self.open.len())) else {
            return;
        };
        let plan = self.open[at].clone();
        let node = self.node();
        let mut accepted = false;
        let mut wants_cancel = false;
        self.cluster.with_checker(|checker, _| {
            accepted = checker.is_accepted(&plan.id);
            wants_cancel = number_of(&plan).is_multiple_of(self.cancels_one_in);
        });
        let question = match accepted {
            false => Question::Submit,
            true if wants_cancel && self.rng.u32(0..4) == 0 => Question::Cancel,
            true => Question::Status,
        };
        if question == Question::Cancel {
            self.cluster
                .with_checker(|checker, _| checker.asks_cancel(&plan.id));
        }
        let body = job(&plan.id, plan.tasks, plan.cpus);
        self.cluster.ask(&plan.id, question, node, &body);
        let cluster = self.cluster;
        self.open.retain(|plan| {
            let mut ended = false;
            cluster.with_checker(|checker, _| ended = checker.ended(&plan.id).is_some());
            !ended
        });
    }

    /// They do what they do for so long.
    pub fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            if self.open.len() < self.demand.open_jobs {
                self.submit();
            }
            self.ask_one();
            self.cluster.with_checker(Checker::look);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Asks until every job has ended: none may be lost.
    pub fn run_until_all_ended(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(240);
        while !self.open.is_empty() {
            self.ask_one();
            let left = &self.open;
            assert!(Instant::now() < deadline, "never ended: {left:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

fn number_of(plan: &JobPlan) -> u32 {
    let number = plan.id.rsplit_once('-');
    number.and_then(|(_, n)| n.parse().ok()).unwrap_or(0)
}
