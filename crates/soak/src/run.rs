//! One run: a cluster, its users, and the faults of a schedule.

use crate::controllers::{self, Controllers, Launch};
use crate::schedule::{Fault, Planned, Schedule, Target};
use aspenreel_simulation::directions::Direction;
use aspenreel_simulation::stand_ins::deployment::{CANCEL_S, Deployment};
use aspenreel_simulation::stand_ins::loopback_cluster::{LoopbackCluster, NODES};
use aspenreel_simulation::stand_ins::loopback_users::{Demand, Users};
use aspenreel_simulation::stand_ins::relay::Traffic;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Threads of users. Each has jobs of its own.
const USERS: u32 = 3;
/// Jobs that one thread of users has open at once.
const OPEN_JOBS: usize = 8;
/// Numbers of jobs that one thread of users may take.
const JOBS_EACH: u32 = 100_000;
/// A stand-in machine's CPUs.
const MACHINE_CPUS: f64 = 8.0;
/// From so many workers on they report less often, as on a site.
const MANY_WORKERS: u32 = 50;
/// A run with many workers has them all along.
const KEEP_MACHINES: [&str; 2] = ["--idle-ms", "3600000"];
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The controllers' program.
    pub program: PathBuf,
    /// Draws the faults, and what users do.
    pub seed: u64,
    /// Workers that the users' jobs need at most, about.
    pub workers: u32,
    /// How long faults begin.
    pub fault_period: Duration,
}

/// How a run ended.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Broken rules, violated invariants, and processes that ended by themselves.
    pub failures: Vec<String>,
    /// Machines that the cloud has made.
    pub machines: u64,
    /// Starts of tasks.
    pub starts: u32,
    /// Jobs that users knew to be done.
    pub done: u32,
    /// Jobs that users knew to be cancelled.
    pub cancelled: u32,
    /// How long it took.
    pub seconds: u64,
    /// It was told to stop before its end.
    pub is_partial: bool,
}

/// Runs one run. Nothing of it is left when it returns.
pub fn run(plan: &RunPlan, stop: &AtomicBool) -> RunReport {
    let began = Instant::now();
    let deployment = Deployment {
        team_cpus: f64::from(plan.workers) * MACHINE_CPUS,
        sockets: 500 + 4 * plan.workers,
    };
    let tag = format!("soak-{}", plan.seed);
    let launch = launch(plan);
    let spawn = |config: &Path| controllers::spawn(&launch, config);
    let mut cluster = LoopbackCluster::start(&tag, &deployment, spawn);
    prepare(&cluster, plan.workers);
    let children = std::mem::take(&mut cluster.nodes.children);
    let controllers = Controllers::new(launch, &cluster.nodes.configs, children);
    let schedule = Schedule::draw(plan.seed, plan.fault_period);
    let run = Run {
        cluster: &cluster,
        controllers: &controllers,
        began: Instant::now(),
        stop,
    };
    let calm = plan.fault_period + longest_after_effect();
    std::thread::scope(|scope| {
        for number in 0..USERS {
            let run = &run;
            scope.spawn(move || run.use_it(plan, number, calm));
        }
        run.inject_faults(scope, &schedule);
    });
    let mut report = RunReport {
        is_partial: stop.load(Ordering::Relaxed),
        seconds: began.elapsed().as_secs(),
        machines: cluster.cloud.machines_created(),
        ..RunReport::default()
    };
    collect_results(&cluster, &controllers, &mut report);
    report
}

/// How the controllers' processes are started.
fn launch(plan: &RunPlan) -> Launch {
    let flags: &[&str] = match plan.workers > MANY_WORKERS {
        true => &KEEP_MACHINES,
        false => &[],
    };
    Launch {
        program: plan.program.clone(),
        flags,
    }
}

/// What the controllers' logs, their processes and the checker tell in the end.
fn collect_results(cluster: &LoopbackCluster, controllers: &Controllers, report: &mut RunReport) {
    report.failures.extend(controllers.violations());
    let ended = controllers.ended();
    report.failures.extend(
        ended
            .iter()
            .map(|node| format!("controller {node} ended by itself")),
    );
    cluster.with_checker(|checker, now| {
        checker.look(now);
        report.failures.extend(checker.broken.iter().cloned());
        report.starts = checker.starts;
        report.done = checker.answered_done;
        report.cancelled = checker.answered_cancelled;
    });
}

/// After the last fault, what it held back still arrives, and a cancellation's time passes.
fn longest_after_effect() -> Duration {
    Duration::from_secs_f64(CANCEL_S) + Duration::from_secs(14)
}

fn prepare(cluster: &LoopbackCluster, workers: u32) {
    let cloud = &cluster.cloud;
    cloud
        .max_machines_per_request
        .store(u64::from(workers.max(3)), Ordering::Relaxed);
    if workers > MANY_WORKERS {
        cloud
            .environment
            .heartbeat_interval_ms
            .store(400, Ordering::Relaxed);
        cloud.start_machines(workers);
    }
}

struct Run<'a> {
    cluster: &'a LoopbackCluster,
    controllers: &'a Controllers,
    began: Instant,
    stop: &'a AtomicBool,
}

impl Run<'_> {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Waits until that moment of the run; false if the run is to stop.
    fn wait_until(&self, at: Duration) -> bool {
        while self.began.elapsed() < at && !self.is_stopped() {
            std::thread::sleep(LOOK_EVERY);
        }
        !self.is_stopped()
    }

    /// One thread of users: half of their jobs are cancelled.
    fn use_it(&self, plan: &RunPlan, number: u32, calm: Duration) {
        let mut users = Users::new(
            self.cluster,
            plan.seed ^ u64::from(number),
            number * JOBS_EACH,
        );
        users.cancel_one_in(2);
        let tasks = plan.workers / (USERS * OPEN_JOBS as u32 / 2);
        users.set_demand(Demand {
            open_jobs: OPEN_JOBS,
            max_tasks: tasks.max(3),
            cpus: if plan.workers > MANY_WORKERS {
                MACHINE_CPUS
            } else {
                2.0
            },
        });
        while self.began.elapsed() < calm && !self.is_stopped() {
            users.run_for(Duration::from_millis(200));
        }
        if !self.is_stopped() {
            users.run_until_all_ended();
        }
    }

    /// Begins each fault in its time, beside the others.
    fn inject_faults<'s>(&'s self, scope: &'s std::thread::Scope<'s, '_>, schedule: &Schedule) {
        for planned in schedule.0.clone() {
            scope.spawn(move || self.inject_fault(planned));
        }
    }

    fn inject_fault(&self, planned: Planned) {
        if !self.wait_until(planned.at) {
            return;
        }
        match planned.fault {
            Fault::Kill { target, back_after } => self.kill(self.node(target), back_after),
            Fault::Pause { target, lasts } => {
                let node = self.node(target);
                self.controllers.pause(node);
                self.last(lasts);
                self.controllers.resume(node);
            }
            Fault::Cut {
                target,
                direction,
                traffic,
                lasts,
            } => {
                let direction = Direction::all_of(self.node(target), NODES)[direction];
                self.cluster.set_traffic(direction, traffic);
                self.last(lasts);
                self.cluster.set_traffic(direction, Traffic::Passes);
            }
            Fault::DelayCommands {
                target,
                late_by,
                lasts,
            } => {
                let node = self.node(target);
                self.cluster
                    .set_command_traffic(node, Traffic::Late(late_by));
                self.last(lasts);
                self.cluster.set_command_traffic(node, Traffic::Passes);
            }
            Fault::Outage { lasts } => {
                *self
                    .cluster
                    .store
                    .down
                    .lock()
                    .unwrap_or_else(|e| e.into_inner()) = true;
                self.last(lasts);
                self.cluster.store.end_outage();
            }
            Fault::LeadersInSeries { count, every } => {
                for _ in 0..count {
                    if self.is_stopped() {
                        break;
                    }
                    self.kill(self.node(Target::Leader), every / 2);
                    self.last(every / 2);
                }
            }
        }
    }

    fn node(&self, target: Target) -> usize {
        match target {
            Target::Leader => self.cluster.current_leader().unwrap_or(0),
            Target::Node(node) => node,
        }
    }

    fn last(&self, span: Duration) {
        self.wait_until(self.began.elapsed() + span);
    }

    /// A process that is away already stays away for as long as it was to.
    fn kill(&self, node: usize, back_after: Duration) {
        if !self.controllers.kill(node) {
            return;
        }
        self.last(back_after);
        self.controllers.start(node);
    }
}

/// True if the rules were kept and enough happened to tell.
pub fn is_good(report: &RunReport) -> bool {
    report.failures.is_empty() && report.done > 0 && !report.is_partial
}
