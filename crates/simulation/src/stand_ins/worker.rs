//! A worker on loopback, written from the published protocol, and the state that all workers share.

use crate::checker::{Checker, Place};
use crate::stand_ins::deployment::LEASE_S;
use crate::worker_protocol::{DirectCommands, leader_of, split_task_id};
use aspenreel::http::cbor::{decode, encode};
use aspenreel::http::client::{Client, ClientResponse};
use aspenreel::http::server::{Handler, Request, Response};
use aspenreel::workers::wire::{
    CommandKind, ExitReason, Heartbeat, HeartbeatReplyBody, ReportedTask, TaskStatus, WorkerCommand,
};
use aspenreel::workers::{AgentEpoch, FencingToken};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Checker of the service rules with the clock of its run.
pub struct TimedChecker {
    /// Checks the rules against what users and workers observe.
    pub checker: Checker,
    started: Instant,
}

impl TimedChecker {
    /// Starts the clock at zero.
    pub fn new(checker: Checker) -> TimedChecker {
        TimedChecker {
            checker,
            started: Instant::now(),
        }
    }

    /// Returns the time since the start of the run, in microseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

/// Maps a worker's own address to the addresses by which controllers reach it, one for each controller.
pub type WorkerRoutes = Box<dyn Fn(SocketAddr) -> Vec<SocketAddr> + Send + Sync>;

/// State and options that all workers share.
#[derive(Default)]
pub struct WorkerEnvironment {
    /// Checker that is informed of starts and ends of tasks; `None`: the rules are not checked.
    pub timed_checker: Mutex<Option<TimedChecker>>,
    /// Time between two heartbeats of a worker, in milliseconds; 0 stands for 100.
    pub heartbeat_interval_ms: AtomicU64,
    /// Run time of a task, in milliseconds; 0 stands for 150.
    pub task_duration_ms: AtomicU64,
    /// Machine of each running task, by task id.
    pub running: Mutex<HashMap<String, String>>,
    /// Ids of all tasks that were ever started.
    pub started: Mutex<HashSet<String>>,
    /// Descriptions of the tasks that were started while they already ran, each with both machines.
    pub duplicate_runs: Mutex<Vec<String>>,
    /// Ids of jobs whose tasks run until they are stopped.
    pub endless: Mutex<HashSet<String>>,
}

struct Task {
    report: ReportedTask,
    /// Time at which the task ends by itself; `None`: it runs until it is stopped.
    ends_at: Option<Instant>,
}

struct WorkerState {
    tasks: Vec<Task>,
    fencing_token: FencingToken,
    agent_epoch: AgentEpoch,
    sequence: u64,
    /// Start of the lease: the time when the latest answered heartbeat was sent, or when the agent epoch began.
    lease_start: Instant,
    /// True after the cloud has removed the machine.
    gone: bool,
}

/// Time that a worker waits for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// The worker of one machine.
pub struct Worker {
    name: String,
    /// Addresses by which controllers reach the worker: one for all, or one for each controller.
    addresses: Mutex<Vec<SocketAddr>>,
    /// Number of the controller that the worker reports to.
    controller: AtomicUsize,
    state: Mutex<WorkerState>,
    environment: Arc<WorkerEnvironment>,
    /// Held while commands are checked and executed: they are executed one after the other, and no agent epoch ends
    /// between the check of a command's token and its execution.
    command_lock: Mutex<()>,
}

impl WorkerEnvironment {
    fn heartbeat_interval(&self) -> Duration {
        match self.heartbeat_interval_ms.load(Ordering::Relaxed) {
            0 => Duration::from_millis(100),
            ms => Duration::from_millis(ms),
        }
    }

    fn task_duration(&self) -> Duration {
        match self.task_duration_ms.load(Ordering::Relaxed) {
            0 => Duration::from_millis(150),
            ms => Duration::from_millis(ms),
        }
    }

    fn with_checker(&self, work: impl FnOnce(&mut Checker, u64)) {
        if let Some(timed) = &mut *self.timed_checker.lock().unwrap() {
            let now = timed.now();
            work(&mut timed.checker, now);
        }
    }

    fn note_start(&self, task_id: &str, machine: &str) {
        let (job, task) = split_task_id(task_id);
        let place = Place {
            machine: machine.into(),
            zone: "east".into(),
            spot: true,
        };
        self.with_checker(|checker, now| checker.task_started(job, task, &place, now));
    }

    fn note_end(&self, task_id: &str, machine: &str, done: bool) {
        let (job, task) = split_task_id(task_id);
        self.with_checker(|checker, _| checker.task_stopped(job, task, machine, done));
    }
}

impl Worker {
    /// Creates a worker in its first agent epoch.
    pub fn new(name: &str, environment: &Arc<WorkerEnvironment>) -> Arc<Worker> {
        Arc::new(Worker {
            name: name.to_string(),
            addresses: Mutex::default(),
            controller: AtomicUsize::new(0),
            state: Mutex::new(WorkerState {
                tasks: Vec::new(),
                fencing_token: FencingToken::NONE,
                agent_epoch: AgentEpoch(1),
                sequence: 0,
                lease_start: Instant::now(),
                gone: false,
            }),
            environment: environment.clone(),
            command_lock: Mutex::default(),
        })
    }

    /// Sets the addresses by which controllers reach the worker: one for all, or one for each controller.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap() = addresses;
    }

    /// Removes the machine and everything on it.
    pub fn remove(&self) {
        let _guard = self.command_lock.lock().unwrap();
        let mut state = self.state.lock().unwrap();
        state.gone = true;
        for task in &mut state.tasks {
            self.exit_task(task, ExitReason::Stopped);
        }
        state.tasks.clear();
    }

    fn is_gone(&self) -> bool {
        self.state.lock().unwrap().gone
    }

    fn execute(&self, commands: &[WorkerCommand]) {
        let mut state = self.state.lock().unwrap();
        for command in commands {
            let position = state.tasks.iter().position(|t| {
                t.report.task_id == command.task_id && t.report.attempt == command.attempt
            });
            match (command.kind, position) {
                (CommandKind::Run, None) => {
                    let earlier_machine = self
                        .environment
                        .running
                        .lock()
                        .unwrap()
                        .insert(command.task_id.clone(), self.name.clone());
                    if let Some(other) = earlier_machine {
                        let text = format!("{} on {other} and {}", command.task_id, self.name);
                        self.environment.duplicate_runs.lock().unwrap().push(text);
                    }
                    self.environment.note_start(&command.task_id, &self.name);
                    self.environment
                        .started
                        .lock()
                        .unwrap()
                        .insert(command.task_id.clone());
                    let job = command.task_id.split('/').next().unwrap();
                    let endless = self.environment.endless.lock().unwrap().contains(job);
                    state.tasks.push(Task {
                        report: ReportedTask {
                            task_id: command.task_id.clone(),
                            attempt: command.attempt,
                            status: TaskStatus::Running,
                            exit_reason: None,
                            checkpointed: None,
                        },
                        ends_at: (!endless)
                            .then(|| Instant::now() + self.environment.task_duration()),
                    });
                }
                (CommandKind::Stop, Some(i)) => {
                    self.exit_task(&mut state.tasks[i], ExitReason::Stopped)
                }
                (CommandKind::Clear, Some(i)) => {
                    state.tasks.remove(i);
                }
                _ => {}
            }
        }
    }

    fn exit_task(&self, task: &mut Task, exit_reason: ExitReason) {
        if task.report.status != TaskStatus::Exited {
            task.report.status = TaskStatus::Exited;
            task.report.exit_reason = Some(exit_reason);
            let done = exit_reason == ExitReason::Done;
            self.environment
                .note_end(&task.report.task_id, &self.name, done);
            self.environment
                .running
                .lock()
                .unwrap()
                .remove(&task.report.task_id);
        }
    }

    /// Ends the tasks whose run time is over, and returns the next heartbeat for the controller with this number.
    fn next_heartbeat(&self, controller: usize) -> Heartbeat {
        let mut state = self.state.lock().unwrap();
        for task in &mut state.tasks {
            if task.ends_at.is_some_and(|end| end <= Instant::now()) {
                self.exit_task(task, ExitReason::Done);
            }
        }
        state.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr_for(controller),
            type_name: "small".into(),
            zone: "east".into(),
            spot: true,
            agent_epoch: state.agent_epoch,
            sequence: state.sequence,
            fencing_token: state.fencing_token,
            preemption_notice_s: None,
            tasks: state.tasks.iter().map(|t| t.report.clone()).collect(),
        }
    }

    fn addr_for(&self, controller: usize) -> String {
        let addresses = self.addresses.lock().unwrap();
        let addr = addresses.get(controller).or(addresses.first());
        addr.map(SocketAddr::to_string).unwrap_or_default()
    }

    /// Stops all tasks and begins a new agent epoch if no heartbeat was answered within the lease.
    fn expire_lease(&self) {
        let _guard = self.command_lock.lock().unwrap();
        let mut state = self.state.lock().unwrap();
        if state.lease_start.elapsed() > Duration::from_secs_f64(LEASE_S) {
            for task in &mut state.tasks {
                self.exit_task(task, ExitReason::Stopped);
            }
            state.tasks.clear();
            state.agent_epoch = state.agent_epoch.next();
            state.lease_start = Instant::now();
        }
    }

    /// Renews the lease and executes the commands of a reply. `agent_epoch` is the one of the heartbeat. Replies
    /// with an older fencing token, or to a heartbeat of another agent epoch, are ignored.
    fn apply_reply(&self, reply: &HeartbeatReplyBody, agent_epoch: AgentEpoch, sent: Instant) {
        let _guard = self.command_lock.lock().unwrap();
        {
            let mut state = self.state.lock().unwrap();
            if reply.fencing_token < state.fencing_token
                || agent_epoch != state.agent_epoch
                || state.gone
            {
                return;
            }
            state.fencing_token = reply.fencing_token;
            state.lease_start = sent;
        }
        self.execute(&reply.commands);
    }

    /// Sends heartbeats until the machine is removed. After a refusal the worker sends them to the controller that the
    /// refusal names as leader; after a refusal without a known name, or a failure, to the next controller.
    pub fn run(self: Arc<Self>, controllers: Vec<(String, SocketAddr)>) {
        let mut controller = 0;
        let mut client = Client::new(controllers[controller].1);
        while !self.is_gone() {
            std::thread::sleep(self.environment.heartbeat_interval());
            self.expire_lease();
            let sent = Instant::now();
            let heartbeat = self.next_heartbeat(controller);
            self.controller.store(controller, Ordering::Relaxed);
            let body = encode(&heartbeat);
            let result = client.call("POST", "/checkin", &body, HEARTBEAT_TIMEOUT);
            let called = controller;
            match result {
                Ok(ClientResponse { status: 200, body }) => {
                    self.apply_reply(&decode(&body).unwrap(), heartbeat.agent_epoch, sent)
                }
                Ok(ClientResponse { status: 421, body }) => {
                    let named = leader_of(&body).and_then(|leader| {
                        controllers.iter().position(|(name, _)| *name == leader)
                    });
                    controller = named.unwrap_or((controller + 1) % controllers.len());
                }
                _ => controller = (controller + 1) % controllers.len(),
            }
            if controller != called {
                client = Client::new(controllers[controller].1);
            }
        }
    }
}

impl Handler for Worker {
    fn handle(&self, request: Request) -> Response {
        let commands: DirectCommands = decode(&request.body).unwrap();
        let controller = self.controller.load(Ordering::Relaxed);
        // An expired lease is handled before the commands are checked, even if the commands were delayed on their way.
        self.expire_lease();
        let _guard = self.command_lock.lock().unwrap();
        let is_refused = {
            let mut state = self.state.lock().unwrap();
            let refused =
                state.gone || commands.are_refused(state.fencing_token, state.agent_epoch);
            if !refused {
                state.fencing_token = commands.fencing_token;
            }
            refused
        };
        if is_refused {
            return Response::new(409, encode(&self.next_heartbeat(controller)));
        }
        self.execute(&commands.commands);
        Response::new(200, encode(&self.next_heartbeat(controller)))
    }
}
