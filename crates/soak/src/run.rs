//! One soak run: a cluster, its users, and the faults of a schedule.

use crate::controllers::{self, Controllers, Launch};
use crate::schedule::{Fault, PlannedFault, Schedule, Target};
use crate::status_crowd::StatusCrowd;
use aspenreel_simulation::directions::{Direction, Endpoint};
use aspenreel_simulation::stand_ins::deployment::{CANCEL_S, Deployment};
use aspenreel_simulation::stand_ins::loopback_cluster::{LoopbackCluster, NODES};
use aspenreel_simulation::stand_ins::loopback_users::{Demand, Users};
use aspenreel_simulation::stand_ins::relay::Traffic;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of user threads. Each has its own jobs.
const USERS: u32 = 3;
/// Number of jobs that one user thread has open at the same time.
const OPEN_JOBS: usize = 8;
/// Size of the range of job numbers of one user thread.
const JOB_NUMBERS_PER_USER: u32 = 100_000;
/// CPUs of a machine of the stand-in cloud.
const MACHINE_CPUS: f64 = 8.0;
/// Number of workers above which heartbeats are less frequent, as in production, and all machines are created at the
/// start of the run.
const MANY_WORKERS: u32 = 50;
/// Flags of a run with more than `MANY_WORKERS` workers: idle machines are kept, so that the run has all its machines
/// from start to end.
const KEEP_MACHINES_FLAGS: [&str; 2] = ["--idle-ms", "3600000"];
/// Time after the end of all faults within which some status request about each job must be answered: 75 s, scaled as
/// the leases are.
const ANSWERED_WITHIN: Duration = Duration::from_secs(15);
/// Store requests a second for all controllers together, in a run with scarce resources: in the same ratio to the
/// status requests as at 4,000 machines.
const SCARCE_STORE_RPS: f64 = 60.0;
/// Sockets of a controller in a run with scarce resources, in addition to those for workers. The number of threads for
/// users' requests follows from it, and is not what is scarce: each lookup takes a thread while it waits for the leader.
const CROWD_SOCKETS: u32 = 1200;
/// Delay of each message between controllers in a run with scarce resources. A request and its answer together take
/// as long as at a leader that is short of processor time.
const SCARCE_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a waiting thread checks whether the run has been stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Program of the controllers.
    pub program: PathBuf,
    /// Seed of the fault schedule and of the users' requests.
    pub seed: u64,
    /// Approximate maximum number of workers that the jobs need.
    pub workers: u32,
    /// Length of the period, from the start of the run, in which faults begin.
    pub fault_period: Duration,
    /// True if controllers have few connections and store requests, answer each other slowly, and get many status
    /// requests.
    pub is_scarce: bool,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Violations of service rules, violated invariants, panics, and controllers that exited by themselves.
    pub failures: Vec<String>,
    /// Number of machines that the cloud has created.
    pub machines: u64,
    /// Number of task starts.
    pub starts: u32,
    /// Number of jobs that were reported to users as done.
    pub done: u32,
    /// Number of jobs that were reported to users as cancelled.
    pub cancelled: u32,
    /// Duration of the run in seconds.
    pub seconds: u64,
    /// True if the run was stopped before its end.
    pub is_partial: bool,
}

/// Executes one run. All its processes have ended and all its files are deleted when this returns.
pub fn run(plan: &RunPlan, stop: &AtomicBool) -> RunReport {
    let began = Instant::now();
    let deployment = deployment(plan);
    let tag = format!("soak-{}", plan.seed);
    let launch = launch(plan);
    let spawn = |config: &Path| controllers::spawn(&launch, config);
    let mut cluster = LoopbackCluster::start(&tag, &deployment, spawn);
    prepare(&cluster, plan.workers);
    if plan.is_scarce {
        delay_answers_between_controllers(&cluster);
    }
    let children = std::mem::take(&mut cluster.nodes.children);
    let controllers = Controllers::new(launch, &cluster.nodes.configs, children);
    let schedule = Schedule::draw(plan.seed, plan.fault_period);
    let run = Run {
        cluster: &cluster,
        controllers: &controllers,
        began: Instant::now(),
        stop,
        is_scarce: plan.is_scarce,
    };
    let users_until = plan.fault_period + submission_time_after_faults();
    std::thread::scope(|scope| {
        for number in 0..USERS {
            let run = &run;
            scope.spawn(move || run.run_users(plan, number, users_until));
        }
        if plan.is_scarce {
            let crowd = StatusCrowd::new(&cluster, plan.seed, stop);
            scope.spawn(move || crowd.run(users_until));
        }
        let faults = run.inject_faults(scope, &schedule);
        faults.into_iter().for_each(|fault| drop(fault.join()));
        cluster.with_checker(|checker, now| {
            checker.faults_ended(now, ANSWERED_WITHIN.as_micros() as u64);
        });
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

fn deployment(plan: &RunPlan) -> Deployment {
    let deployment = Deployment {
        team_cpus: f64::from(plan.workers) * MACHINE_CPUS,
        sockets: 500 + 4 * plan.workers,
        ..Deployment::default()
    };
    match plan.is_scarce {
        true => Deployment {
            store_rps: SCARCE_STORE_RPS,
            sockets: CROWD_SOCKETS + 4 * plan.workers,
            ..deployment
        },
        false => deployment,
    }
}

/// Delays all messages between controllers.
fn delay_answers_between_controllers(cluster: &LoopbackCluster) {
    let nodes = || (0..NODES).map(Endpoint::Node);
    for from in nodes() {
        for to in nodes().filter(|to| *to != from) {
            cluster.set_traffic(Direction::new(from, to), Traffic::Delayed(SCARCE_DELAY));
        }
    }
}

/// Returns the program and flags of the controllers.
fn launch(plan: &RunPlan) -> Launch {
    let flags: &[&str] = match plan.workers > MANY_WORKERS {
        true => &KEEP_MACHINES_FLAGS,
        false => &[],
    };
    Launch {
        program: plan.program.clone(),
        flags,
    }
}

/// Adds the results of the controllers' logs, their processes and the checker to the report.
fn collect_results(cluster: &LoopbackCluster, controllers: &Controllers, report: &mut RunReport) {
    report.failures.extend(controllers.violations());
    report.failures.extend(controllers.exited());
    cluster.with_checker(|checker, now| {
        checker.check_time_limits(now);
        report.failures.extend(checker.violations.iter().cloned());
        report.starts = checker.starts;
        report.done = checker.answered_done;
        report.cancelled = checker.answered_cancelled;
    });
}

/// Time after the fault period during which users still submit jobs, so that cancellations take effect and most of the
/// messages that faults held back arrive in it. Commands with the longest delays, up to 24 s, can arrive later.
fn submission_time_after_faults() -> Duration {
    Duration::from_secs_f64(CANCEL_S) + Duration::from_secs(14)
}

/// Sets the cloud's limits for this number of workers, and starts the machines of a large run.
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

/// Parts of a run that all its threads use.
struct Run<'a> {
    cluster: &'a LoopbackCluster,
    controllers: &'a Controllers,
    began: Instant,
    stop: &'a AtomicBool,
    is_scarce: bool,
}

impl Run<'_> {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Waits until this time after the start of the run. Returns early, with false, if the run is stopped.
    fn wait_until(&self, at: Duration) -> bool {
        while self.began.elapsed() < at && !self.is_stopped() {
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        !self.is_stopped()
    }

    /// Runs one user thread, which requests the cancellation of half of its jobs. It submits jobs until `users_until`,
    /// and then waits until its jobs have ended.
    fn run_users(&self, plan: &RunPlan, number: u32, users_until: Duration) {
        let mut users = Users::new(
            self.cluster,
            plan.seed ^ u64::from(number),
            number * JOB_NUMBERS_PER_USER,
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
        while self.began.elapsed() < users_until && !self.is_stopped() {
            users.run_for(Duration::from_millis(200));
        }
        if !self.is_stopped() {
            users.run_until_all_ended();
        }
    }

    /// Starts a thread for each fault of the schedule, since faults may overlap. Each thread ends with its fault.
    fn inject_faults<'s, 'e>(
        &'s self,
        scope: &'s std::thread::Scope<'s, 'e>,
        schedule: &Schedule,
    ) -> Vec<std::thread::ScopedJoinHandle<'s, ()>> {
        let planned = schedule.0.iter().copied();
        planned
            .map(|planned| scope.spawn(move || self.inject_fault(planned)))
            .collect()
    }

    fn inject_fault(&self, planned: PlannedFault) {
        if !self.wait_until(planned.at) {
            return;
        }
        match planned.fault {
            Fault::Kill { target, back_after } => self.kill(self.target_node(target), back_after),
            Fault::Pause { target, lasts } => {
                let node = self.target_node(target);
                self.controllers.pause(node);
                self.wait_for(lasts);
                self.controllers.resume(node);
            }
            Fault::Cut {
                target,
                direction,
                traffic,
                lasts,
            } => {
                let direction = Direction::all_of(self.target_node(target), NODES)[direction];
                self.cluster.set_traffic(direction, traffic);
                self.wait_for(lasts);
                self.cluster
                    .set_traffic(direction, self.traffic_without_faults(direction));
            }
            Fault::DelayCommands {
                target,
                late_by,
                lasts,
            } => {
                let node = self.target_node(target);
                self.cluster
                    .set_command_traffic(node, Traffic::Late(late_by));
                self.wait_for(lasts);
                self.cluster.set_command_traffic(node, Traffic::Passes);
            }
            Fault::Outage { lasts } => {
                *self
                    .cluster
                    .store
                    .down
                    .lock()
                    .unwrap_or_else(|e| e.into_inner()) = true;
                self.wait_for(lasts);
                self.cluster.store.end_outage();
            }
            Fault::LeadersInSeries { count, every } => {
                for _ in 0..count {
                    if self.is_stopped() {
                        break;
                    }
                    self.kill(self.target_node(Target::Leader), every / 2);
                    self.wait_for(every / 2);
                }
            }
        }
    }

    fn traffic_without_faults(&self, direction: Direction) -> Traffic {
        match (self.is_scarce, direction.from, direction.to) {
            (true, Endpoint::Node(_), Endpoint::Node(_)) => Traffic::Delayed(SCARCE_DELAY),
            _ => Traffic::Passes,
        }
    }

    fn target_node(&self, target: Target) -> usize {
        match target {
            Target::Leader => self.cluster.current_leader().unwrap_or(0),
            Target::Node(node) => node,
        }
    }

    fn wait_for(&self, span: Duration) {
        self.wait_until(self.began.elapsed() + span);
    }

    /// Kills a process and restarts it after `back_after`. A process that is already down stays down for the time
    /// that the earlier kill set.
    fn kill(&self, node: usize, back_after: Duration) {
        if !self.controllers.kill(node) {
            return;
        }
        self.wait_for(back_after);
        self.controllers.start(node);
    }
}

/// True if nothing failed, the run was not stopped, and at least one job was done: a run in which no job was done
/// proves nothing.
pub fn has_passed(report: &RunReport) -> bool {
    report.failures.is_empty() && report.done > 0 && !report.is_partial
}
