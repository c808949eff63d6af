//! Simulation of a busy period of a whole fleet in one process: all heartbeats, direct calls, placement passes,
//! scale-out plans and write rounds of a leader, with messages in their encoded form, but without a clock and
//! sockets.
//!
//! The test checks the results. It also serves to measure the processor time of the leader, under a profiler that
//! counts instructions (`docs/operations.md`, *Profiling the leader*). `REPLAY_SCALE` multiplies the load and the
//! number of machines.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use aspenreel::http::cbor::{decode, encode};
use aspenreel::jobs::Submission;
use aspenreel::jobs::take_affordable;
use aspenreel::provisioning::ProvisioningResult;
use aspenreel::provisioning::wire::{Catalog, MachineList};
use aspenreel::scheduler::{SchedulerConfig, SchedulerState};
use aspenreel::settings::{Objective, TeamSettings};
use aspenreel::time::{Micros, Moment, WallTime};
use aspenreel::workers::wire::{
    CommandKind, ExitReason, Heartbeat, HeartbeatReplyBody, ReportedTask, TaskStatus, WorkerCommand,
};
use aspenreel::workers::{AgentEpoch, DirectResult, FencingToken, HeartbeatReply};
use ciborium::cbor;
use std::collections::{BTreeMap, HashMap};

const TERM: u64 = 3;
/// Simulated time of one step.
const STEP_MS: u64 = 50;
/// Mean boot time of a machine.
const BOOT_MS: u64 = 20_000;
/// Time to fetch an image that the worker has not cached.
const FETCH_MS: u64 = 4_000;

/// A task on a worker.
struct Task {
    task_id: String,
    attempt: u64,
    /// Time at which the fetch of the image ends and the task starts to run.
    runs_at_ms: u64,
    ends_at_ms: u64,
    exited: bool,
}

/// A simulated worker with its machine.
struct Worker {
    name: String,
    /// Time at which the boot of the machine ends.
    up_at_ms: u64,
    sequence: u64,
    next_heartbeat_ms: u64,
    /// Cached images.
    images: Vec<String>,
    tasks: Vec<Task>,
    /// Free capacity, in CPUs.
    free_cpus: f64,
}

/// A job as submitted.
struct SubmittedJob {
    image: String,
    cpus: f64,
    run_ms: u64,
    tasks: u32,
}

/// A leader and its workers, in simulated time.
struct Replay {
    scheduler: SchedulerState,
    workers: BTreeMap<String, Worker>,
    /// Submitted jobs by id.
    jobs: HashMap<String, SubmittedJob>,
    rng: fastrand::Rng,
    now_ms: u64,
    /// Store revision of the last write.
    revision: u64,
    /// Number of machines granted so far.
    granted_machines: u64,
    max_machines: u64,
    /// Heartbeats so far.
    heartbeat_count: u64,
    /// Direct calls so far.
    direct_call_count: u64,
    /// Number of done tasks, by job.
    done: HashMap<String, u32>,
    /// Name of the worker on which each running task runs. A task must not be started while it is running.
    running: HashMap<String, String>,
}

impl Replay {
    fn new(scale: u64) -> Replay {
        let wire = cbor!({"builds" => [{"label" => "t64", "cpus" => 64, "ramGb" => 128,
            "cacheGb" => 60, "fetchGbPerS" => 0.5, "rate" => 2.3, "lowPrice" => 0.5,
            "startupS" => BOOT_MS / 1000, "yards" => ["a"]}]})
        .unwrap();
        let catalog: Catalog = decode(&encode(&wire)).unwrap();
        let team = |name: &str, cpus: f64| TeamSettings {
            name: name.into(),
            cpus: cpus * scale as f64,
            cpus_max: 2.0 * cpus * scale as f64,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        let objective = |kind: &str, class: &str, within_s| Objective {
            kind: kind.into(),
            class: Some(class.into()),
            within_s,
        };
        let config = SchedulerConfig {
            teams: vec![team("quick", 420.0), team("bulk", 1200.0)],
            worker_lease: Micros::from_secs(21),
            cancellation_bound: Micros::from_secs(46),
            heartbeat_interval: Micros::from_secs(3),
            list_lag: Micros::from_secs(8),
            candidate_sample: 3,
            max_idle: Micros::from_secs(20),
            on_demand_max_wait: Micros::from_secs(120),
            headroom: 0.5,
            objectives: vec![
                objective("wait", "urgent", 25.0),
                objective("finished", "urgent", 120.0),
                objective("deadline", "batch", 0.0),
            ],
            max_queue_wait: Micros::from_secs(90),
            max_gone_machines: 8000,
            value_bytes: 8192,
            job_bytes: 1 << 30,
            max_machines: 10_000,
        };
        let mut scheduler = SchedulerState::new(config, TERM, Moment(Micros::from_secs(1000).0), 7);
        scheduler.provisioning.catalog = catalog.types();
        Replay {
            scheduler,
            workers: BTreeMap::new(),
            jobs: HashMap::new(),
            rng: fastrand::Rng::with_seed(11),
            now_ms: 0,
            revision: 10,
            granted_machines: 0,
            max_machines: 50 * scale,
            heartbeat_count: 0,
            direct_call_count: 0,
            done: HashMap::new(),
            running: HashMap::new(),
        }
    }

    fn now(&self) -> Moment {
        Moment(Micros::from_secs(1000).0 + self.now_ms * 1000)
    }

    fn wall(&self) -> WallTime {
        WallTime(1_700_000_000_000_000 + self.now_ms * 1000)
    }

    fn submit(&mut self, urgent: bool) {
        let id = format!("run-{}", 100_000 + self.jobs.len());
        let tasks = self.rng.u32(10..if urgent { 110 } else { 60 });
        let run_ms = self.rng.u64(if urgent {
            20_000..60_000
        } else {
            60_000..140_000
        });
        let image = format!("{}-{}", if urgent { "u" } else { "b" }, self.rng.u32(0..8));
        let cpus = if urgent { 2.0 } else { 16.0 };
        let wire = cbor!({
            "ref" => &id, "lane" => if urgent { "urgent" } else { "batch" },
            "crew" => if urgent { "quick" } else { "bulk" }, "shape" => "array",
            "rank" => if urgent { "high" } else { "normal" }, "pieces" => tasks, "cpus" => cpus,
            "gpus" => 0.0, "ramGb" => cpus, "bundle" => &image, "imageGb" => 2.0,
            "samePlace" => false, "spread" => false, "loaners" => true,
            "guessS" => run_ms as f64 / 1000.0, "bookmarkS" => 0.0, "stashS" => 0.0,
            "dueS" => if urgent { None } else { Some(run_ms as f64 / 400.0) }
        })
        .unwrap();
        let mut s = Submission::decode(&encode(&wire)).unwrap();
        s.accepted_us = self.wall().0;
        self.revision += 1;
        let (revision, now, wall) = (self.revision, self.now(), self.wall());
        self.scheduler.add_job(&s, revision, now, wall);
        self.scheduler.place_if_due(now);
        let job = SubmittedJob {
            image,
            cpus,
            run_ms,
            tasks,
        };
        self.jobs.insert(id, job);
    }

    fn report(&mut self, name: &str) -> Vec<u8> {
        let now = self.now_ms;
        let w = self.workers.get_mut(name).unwrap();
        w.sequence += 1;
        let tasks = w.tasks.iter().map(|t| ReportedTask {
            task_id: t.task_id.clone(),
            attempt: t.attempt,
            status: match t {
                t if t.exited => TaskStatus::Exited,
                t if t.runs_at_ms <= now => TaskStatus::Running,
                _ => TaskStatus::Fetching,
            },
            exit_reason: t.exited.then_some(ExitReason::Done),
            checkpointed: None,
        });
        encode(&Heartbeat {
            machine: name.into(),
            addr: "10.1.0.2:9000".into(),
            type_name: "t64".into(),
            zone: "a".into(),
            spot: true,
            agent_epoch: AgentEpoch(1),
            sequence: w.sequence,
            fencing_token: FencingToken::of_term(TERM),
            preemption_notice_s: None,
            tasks: tasks.collect(),
        })
    }

    fn execute(&mut self, name: &str, commands: &[WorkerCommand]) {
        let now = self.now_ms;
        let worker = self.workers.get_mut(name).unwrap();
        for command in commands {
            let at = worker
                .tasks
                .iter()
                .position(|t| (&t.task_id, t.attempt) == (&command.task_id, command.attempt));
            match (command.kind, at) {
                (CommandKind::Run, None) => {
                    let job = &self.jobs[command.task_id.split('/').next().unwrap()];
                    let other = self
                        .running
                        .insert(command.task_id.clone(), name.to_string());
                    assert_eq!(
                        other, None,
                        "{} starts on {name}, and runs on another worker",
                        command.task_id
                    );
                    worker.free_cpus -= job.cpus;
                    assert!(
                        worker.free_cpus >= 0.0,
                        "{name} has no capacity for {}",
                        command.task_id
                    );
                    let mut runs_at_ms = now;
                    if !worker.images.contains(&job.image) {
                        worker.images.push(job.image.clone());
                        runs_at_ms += FETCH_MS;
                    }
                    worker.tasks.push(Task {
                        task_id: command.task_id.clone(),
                        attempt: command.attempt,
                        runs_at_ms,
                        ends_at_ms: runs_at_ms + job.run_ms,
                        exited: false,
                    });
                }
                (CommandKind::Run, Some(_)) | (_, None) => {}
                (CommandKind::Stop | CommandKind::Clear, Some(at)) => {
                    let task = worker.tasks.remove(at);
                    if !task.exited {
                        worker.free_cpus += self.jobs[task.task_id.split('/').next().unwrap()].cpus;
                        self.running.remove(&task.task_id);
                    }
                }
            }
        }
    }

    fn end_tasks(&mut self) {
        let now = self.now_ms;
        for worker in self.workers.values_mut() {
            for task in worker
                .tasks
                .iter_mut()
                .filter(|t| !t.exited && t.ends_at_ms <= now)
            {
                task.exited = true;
                let job = task.task_id.split('/').next().unwrap();
                worker.free_cpus += self.jobs[job].cpus;
                self.running.remove(&task.task_id);
                *self.done.entry(job.to_string()).or_insert(0) += 1;
                // Workers report changes soon.
                worker.next_heartbeat_ms = worker.next_heartbeat_ms.min(now + 100);
            }
        }
    }

    fn heartbeats(&mut self) {
        let now = self.now_ms;
        let due = self
            .workers
            .values()
            .filter(|w| w.up_at_ms <= now && w.next_heartbeat_ms <= now);
        let due: Vec<String> = due.map(|w| w.name.clone()).collect();
        for name in due {
            self.heartbeat_count += 1;
            let body = self.report(&name);
            let report: Heartbeat = decode(&body).unwrap();
            let HeartbeatReply::Commands { commands, .. } =
                self.scheduler.heartbeat(&report, self.now())
            else {
                panic!("the heartbeat of {name} is refused");
            };
            let answer = encode(&HeartbeatReplyBody {
                fencing_token: FencingToken::of_term(TERM),
                commands,
            });
            let answer: HeartbeatReplyBody = decode(&answer).unwrap();
            self.execute(&name, &answer.commands);
            let pause = self.rng.u64(2_250..3_750);
            self.workers.get_mut(&name).unwrap().next_heartbeat_ms = now + pause;
        }
    }

    fn direct_calls(&mut self) {
        while let Some(call) = self.scheduler.next_direct_call(self.now()) {
            self.direct_call_count += 1;
            let name = call.machine.clone();
            self.execute(&name, &call.commands);
            let report = decode(&self.report(&name)).unwrap();
            let now = self.now();
            self.scheduler
                .direct_call_finished(&call, DirectResult::Answered(report), now);
        }
    }

    /// Applies the due writes of a step, at most `left` changes. Done sets and retirements are only written in
    /// rounds.
    fn write_records(&mut self, in_round: bool, mut left: usize) {
        let mut writes = take_affordable(self.scheduler.pending_registry_writes(false), &mut left);
        writes.extend(take_affordable(
            self.scheduler.pending_watermark_writes(),
            &mut left,
        ));
        writes.extend(take_affordable(
            self.scheduler.pending_final_writes(12),
            &mut left,
        ));
        if in_round {
            writes.extend(take_affordable(
                self.scheduler.pending_done_sets(left),
                &mut left,
            ));
            writes.extend(take_affordable(
                self.scheduler.pending_retirements(left, 12),
                &mut left,
            ));
        }
        for write in &writes {
            self.revision += 1;
            self.scheduler.apply_written(write, self.revision);
        }
        let now = self.now();
        self.scheduler.place_if_due(now);
    }

    fn provisioning(&mut self) {
        let now = self.now();
        self.scheduler.plan_scale_out(now);
        for request in self.scheduler.provisioning.requests.clone() {
            let left = self.max_machines.saturating_sub(self.workers.len() as u64);
            let count = u64::from(request.count).min(left);
            let names: Vec<String> = (0..count)
                .map(|_| {
                    self.granted_machines += 1;
                    format!("n-{:06}", self.granted_machines)
                })
                .collect();
            for name in &names {
                let boot = self.rng.u64(BOOT_MS / 2..BOOT_MS * 3 / 2);
                let up_at_ms = self.now_ms + boot;
                let worker = Worker {
                    name: name.clone(),
                    up_at_ms,
                    sequence: 0,
                    next_heartbeat_ms: up_at_ms,
                    images: Vec::new(),
                    tasks: Vec::new(),
                    free_cpus: 64.0,
                };
                self.workers.insert(name.clone(), worker);
            }
            let result = match names.is_empty() {
                true => ProvisioningResult::NoCapacity,
                false => ProvisioningResult::Granted(names),
            };
            self.scheduler
                .apply_provisioning_result(&request.name, result, now);
        }
        let names = self.scheduler.plan_scale_in(now);
        for name in &names {
            let gone = self.workers.remove(name).unwrap();
            assert!(
                gone.tasks.iter().all(|t| t.exited),
                "{name} is returned while tasks run on it"
            );
        }
        self.scheduler.drop_gone_machines(&names);
    }

    fn reconcile_machine_list(&mut self) {
        let machines: Vec<ciborium::Value> = self
            .workers
            .values()
            .map(|w| {
                let status = if w.up_at_ms <= self.now_ms {
                    "running"
                } else {
                    "starting"
                };
                cbor!({"ref" => &w.name, "build" => "t64", "yard" => "a", "loaners" => true,
                       "addr" => "10.1.0.2:9000", "status" => status, "heldS" => 30.0})
                .unwrap()
            })
            .collect();
        let wire = encode(&cbor!({"hosts" => machines, "more" => false}).unwrap());
        let list: MachineList = decode(&wire).unwrap();
        let now = self.now();
        self.scheduler
            .reconcile_machine_list(&list.machines, now, now);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.end_tasks();
        self.heartbeats();
        self.direct_calls();
        self.write_records(self.now_ms.is_multiple_of(2000), 6);
        if self.now_ms.is_multiple_of(250) {
            let now = self.now();
            self.scheduler.on_timer(now);
        }
        if self.now_ms.is_multiple_of(500) {
            self.provisioning();
        }
        if self.now_ms.is_multiple_of(3000) {
            self.reconcile_machine_list();
        }
        for job in self.jobs.keys() {
            if self.now_ms.is_multiple_of(5000) {
                self.scheduler.job_status(job);
            }
        }
    }
}

/// Jobs arrive for a while. All of them are done in the end, with each task done once, on machines that are requested
/// for them and returned afterwards. No task runs twice at the same time, and no machine is overcommitted.
#[test]
fn all_jobs_of_a_busy_period_are_done_and_machines_are_returned() {
    let scale = std::env::var("REPLAY_SCALE").map_or(1, |s| s.parse().unwrap());
    let mut replay = Replay::new(scale);
    replay.reconcile_machine_list();
    let mut arrivals = 0.0;
    while replay.now_ms < 150_000 {
        arrivals += 0.11 * scale as f64 * STEP_MS as f64 / 1000.0;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let urgent = replay.rng.u32(0..5) > 0;
            replay.submit(urgent);
        }
        replay.step();
    }
    let peak_machines = replay.workers.len();
    while !replay.scheduler.jobs.table.is_empty() && replay.now_ms < 900_000 {
        replay.step();
    }
    println!(
        "{} machines, {} jobs, {} heartbeats, {} direct calls, {} s",
        peak_machines,
        replay.jobs.len(),
        replay.heartbeat_count,
        replay.direct_call_count,
        replay.now_ms / 1000
    );
    for (id, job) in &replay.jobs {
        assert_eq!(replay.done.get(id), Some(&job.tasks), "{id}");
    }
    while !replay.workers.is_empty() && replay.now_ms < 1_000_000 {
        replay.step();
    }
    assert!(
        replay.workers.len() <= 1,
        "{} machines are kept without any job",
        replay.workers.len()
    );
}
