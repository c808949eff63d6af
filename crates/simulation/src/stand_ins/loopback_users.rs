//! Simulated users of real controllers on loopback.

use crate::checker::{Checker, JobPlan, RequestKind};
use crate::stand_ins::loopback_cluster::{LoopbackCluster, NODES, TASK_MS};
use crate::stand_ins::processes::job;
use std::time::{Duration, Instant};

/// Amount of work that users submit.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Maximum number of jobs that have not ended.
    pub open_jobs: usize,
    /// Maximum number of tasks of a job; the number is drawn from one up to this.
    pub max_tasks: u32,
    /// CPUs of one task.
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

/// Users of one cluster: they submit jobs, ask for their status, and cancel some.
pub struct Users<'a> {
    cluster: &'a LoopbackCluster,
    /// Random numbers for the choice of requests, jobs and controllers.
    pub rng: fastrand::Rng,
    /// Number of the latest job.
    last_number: u32,
    /// Jobs that have not ended.
    open: Vec<JobPlan>,
    /// A cancellation is requested for one in this many jobs, unless the job ends first.
    cancel_one_in: u32,
    demand: Demand,
}

impl<'a> Users<'a> {
    /// Creates users whose jobs have the numbers after `first`.
    pub fn new(cluster: &'a LoopbackCluster, seed: u64, first: u32) -> Users<'a> {
        Users {
            cluster,
            rng: fastrand::Rng::with_seed(seed),
            last_number: first,
            open: Vec::new(),
            cancel_one_in: 4,
            demand: Demand::default(),
        }
    }

    /// Sets the amount of work that the users submit.
    pub fn set_demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// Sets that a cancellation is requested, at a random time, for one in this many jobs.
    pub fn cancel_one_in(&mut self, one_in: u32) {
        self.cancel_one_in = one_in;
    }

    fn random_node(&mut self) -> usize {
        self.rng.usize(0..NODES)
    }

    /// Adds a new job to the open ones; `send_one_request` submits it.
    fn add_job(&mut self) {
        self.last_number += 1;
        let tasks = self.rng.u32(1..=self.demand.max_tasks);
        let plan = JobPlan::new(
            self.last_number,
            tasks,
            self.demand.cpus,
            TASK_MS as f64 / 1000.0,
        );
        self.cluster
            .with_checker(|checker, _| checker.submitted(&plan));
        self.open.push(plan);
    }

    /// Sends one request about a random open job: its submission until it is accepted, then a status request or a
    /// cancellation.
    fn send_one_request(&mut self) {
        let Some(index) = (!self.open.is_empty()).then(|| self.rng.usize(0..self.open.len()))
        else {
            return;
        };
        let plan = self.open[index].clone();
        let node = self.random_node();
        let mut accepted = false;
        let mut wants_cancel = false;
        self.cluster.with_checker(|checker, _| {
            accepted = checker.is_accepted(&plan.id);
            wants_cancel = job_number(&plan).is_multiple_of(self.cancel_one_in);
        });
        let kind = match accepted {
            false => RequestKind::Submit,
            true if wants_cancel && self.rng.u32(0..4) == 0 => RequestKind::Cancel,
            // A repeated submission, which must get the state of the job.
            true if self.rng.u32(0..10) == 0 => RequestKind::Submit,
            true => RequestKind::Status,
        };
        if kind == RequestKind::Cancel {
            self.cluster
                .with_checker(|checker, _| checker.cancel_requested(&plan.id));
        }
        let body = job(&plan.id, plan.tasks, plan.cpus);
        self.cluster.send_request(&plan.id, kind, node, &body);
        let cluster = self.cluster;
        self.open.retain(|plan| {
            let mut ended = false;
            cluster.with_checker(|checker, _| ended = checker.final_state(&plan.id).is_some());
            !ended
        });
    }

    /// Submits jobs and sends requests about them until `span` has passed.
    pub fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            if self.open.len() < self.demand.open_jobs {
                self.add_job();
            }
            self.send_one_request();
            self.cluster.with_checker(Checker::check_time_limits);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends requests until every job has ended, and panics after 240 s: no job may be lost.
    pub fn run_until_all_ended(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(240);
        while !self.open.is_empty() {
            self.send_one_request();
            let left = &self.open;
            assert!(
                Instant::now() < deadline,
                "jobs not ended within 240 s: {left:?}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

fn job_number(plan: &JobPlan) -> u32 {
    let number = plan.id.rsplit_once('-');
    number.and_then(|(_, n)| n.parse().ok()).unwrap_or(0)
}
