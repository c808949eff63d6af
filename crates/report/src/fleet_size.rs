//! Measures how the memory of a leader, and its time for a heartbeat, a placement pass and a status request, depend on
//! the size of its fleet.

use aspenreel::http::cbor::{decode, encode};
use aspenreel::jobs::Submission;
use aspenreel::provisioning::wire::Catalog;
use aspenreel::scheduler::{SchedulerConfig, SchedulerState};
use aspenreel::settings::TeamSettings;
use aspenreel::time::{Micros, Moment, WallTime};
use aspenreel::workers::wire::{Heartbeat, ReportedTask, TaskStatus};
use aspenreel::workers::{AgentEpoch, FencingToken};
use aspenreel_simulation::checker::JobPlan;
use aspenreel_simulation::user_job::submission_body;
use ciborium::cbor;
use std::time::{Duration, Instant};

const TERM: u64 = 3;
const TASKS_PER_MACHINE: u32 = 4;
const CPUS_PER_TASK: f64 = 2.0;
/// Number of status requests that are timed.
const STATUS_REQUESTS: u32 = 500;
/// Size of a memory page in bytes. `/proc/self/statm` counts in pages.
const PAGE_BYTES: usize = 4096;

/// Cost of one fleet for its leader.
#[derive(Clone, Copy, Debug)]
pub struct FleetCost {
    /// Number of machines in the fleet.
    pub machines: u32,
    /// Growth of the process's resident memory during the measurement, in bytes.
    pub bytes: usize,
    /// Number of attempts that the first placement pass created.
    pub placed: usize,
    /// Duration of the placement pass that filled all CPUs of the fleet.
    pub filling_pass: Duration,
    /// Duration of a placement pass with one more job, when no machine has a free CPU.
    pub full_pass: Duration,
    /// Mean duration of a heartbeat of a machine that runs its tasks.
    pub heartbeat: Duration,
    /// Mean duration of a status request for a job that runs on all machines.
    pub status_request: Duration,
}

/// Creates a leader with this many empty machines and a job that uses all their CPUs, and measures the leader's cost.
pub fn measure(machines: u32) -> FleetCost {
    let before = resident_bytes();
    let mut scheduler = SchedulerState::new(config(machines), TERM, at(0), 1);
    scheduler.provisioning.catalog = catalog().types();
    for number in 0..machines {
        scheduler.heartbeat(&heartbeat_of(number, 1, Vec::new()), at(1));
    }
    for (revision, write) in scheduler
        .pending_registry_writes(false)
        .into_iter()
        .enumerate()
    {
        scheduler.apply_written(&write, 10 + revision as u64);
    }
    scheduler.release_prior_term(at(60));
    for number in 0..machines {
        scheduler.heartbeat(&heartbeat_of(number, 2, Vec::new()), at(60));
    }
    add_job(&mut scheduler, 1, machines * TASKS_PER_MACHINE, 61);
    let filling_start = Instant::now();
    scheduler.run_placement_pass(at(61));
    let filling_pass = filling_start.elapsed();
    let placed = scheduler.machines.values().map(|m| m.attempts.len()).sum();
    add_job(&mut scheduler, 2, machines, 62);
    let full_start = Instant::now();
    scheduler.run_placement_pass(at(62));
    let full_pass = full_start.elapsed();
    let heartbeats: Vec<Heartbeat> = (0..machines)
        .map(|number| heartbeat_of(number, 3, running_tasks(&scheduler, number)))
        .collect();
    let heartbeats_start = Instant::now();
    for heartbeat in &heartbeats {
        scheduler.heartbeat(heartbeat, at(63));
    }
    let heartbeat = heartbeats_start.elapsed() / machines;
    drop(heartbeats);
    let status_request = time_status_requests(&scheduler);
    FleetCost {
        machines,
        bytes: resident_bytes().saturating_sub(before),
        placed,
        filling_pass,
        full_pass,
        heartbeat,
        status_request,
    }
}

fn time_status_requests(scheduler: &SchedulerState) -> Duration {
    let start = Instant::now();
    for _ in 0..STATUS_REQUESTS {
        std::hint::black_box(scheduler.job_status("run-1"));
    }
    start.elapsed() / STATUS_REQUESTS
}

fn at(seconds: u64) -> Moment {
    Moment(365 * 24 * 3_600_000_000 + seconds * 1_000_000)
}

fn machine_name(number: u32) -> String {
    format!("n-{number:06}")
}

fn config(machines: u32) -> SchedulerConfig {
    let cpus = f64::from(machines) * CPUS_PER_TASK * f64::from(TASKS_PER_MACHINE);
    SchedulerConfig {
        teams: vec![TeamSettings {
            name: "a".into(),
            cpus,
            cpus_max: 2.0 * cpus,
            gpus: 0.0,
            gpus_max: 0.0,
        }],
        worker_lease: Micros::from_secs(20),
        cancellation_bound: Micros::from_secs(46),
        heartbeat_interval: Micros::from_secs(3),
        list_lag: Micros::from_secs(5),
        candidate_sample: 3,
        max_idle: Micros::from_secs(30),
        on_demand_max_wait: Micros::from_secs(120),
        headroom: 0.0,
        objectives: Vec::new(),
        max_queue_wait: Micros::from_secs(90),
        max_gone_machines: 5000,
        value_bytes: 8192,
        job_bytes: 1 << 30,
        max_machines: machines as usize,
    }
}

fn catalog() -> Catalog {
    let wire = cbor!({"builds" => [{"label" => "small", "cpus" => 8, "ramGb" => 32, "cacheGb" => 50,
        "fetchGbPerS" => 1.0, "rate" => 0.4, "lowPrice" => 0.1, "startupS" => 20, "yards" => ["east"]}]});
    decode(&encode(&wire.expect("valid CBOR"))).expect("valid catalog")
}

fn heartbeat_of(number: u32, sequence: u64, tasks: Vec<ReportedTask>) -> Heartbeat {
    Heartbeat {
        machine: machine_name(number),
        addr: "10.1.0.1:9000".into(),
        type_name: "small".into(),
        zone: "east".into(),
        spot: true,
        agent_epoch: AgentEpoch(1),
        sequence,
        fencing_token: FencingToken::of_term(TERM),
        preemption_notice_s: None,
        tasks,
    }
}

/// Returns the tasks of a machine as its worker would report them.
fn running_tasks(scheduler: &SchedulerState, number: u32) -> Vec<ReportedTask> {
    let machine = &scheduler.machines[&machine_name(number)];
    let task = |key: &aspenreel::workers::AttemptKey| ReportedTask {
        task_id: format!("run-1/{}", key.task),
        attempt: key.attempt,
        status: TaskStatus::Running,
        exit_reason: None,
        checkpointed: None,
    };
    machine.attempts.keys().map(task).collect()
}

fn add_job(scheduler: &mut SchedulerState, id: u32, tasks: u32, seconds: u64) {
    let plan = JobPlan::new(id, tasks, CPUS_PER_TASK, 60.0);
    let submission = Submission::decode(&submission_body(&plan));
    let submission = submission.expect("valid submission");
    scheduler.add_job(&submission, 100 + u64::from(id), at(seconds), WallTime(0));
}

/// Returns the resident memory of the process in bytes, from `/proc/self/statm`; 0 if that file can't be read.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
