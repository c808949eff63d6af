//! A worker on loopback, as the protocol's page tells of it, and what all workers share.

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

/// The rules, watched from what workers do.
pub struct History {
    /// The rules.
    pub checker: Checker,
    since: Instant,
}

impl History {
    /// A history that begins now.
    pub fn new(checker: Checker) -> History {
        History {
            checker,
            since: Instant::now(),
        }
    }

    /// Now, as the checker counts time.
    pub fn now(&self) -> u64 {
        self.since.elapsed().as_micros() as u64
    }
}

/// The ways by which one worker is reached, one for each controller; its own address where there are none.
pub type WorkerRoutes = Box<dyn Fn(SocketAddr) -> Vec<SocketAddr> + Send + Sync>;

/// What all workers share: who runs what, and what went wrong.
#[derive(Default)]
pub struct WorkerEnvironment {
    /// Where the rules are watched, if they are.
    pub history: Mutex<Option<History>>,
    /// Time between two heartbeats of a worker, in milliseconds; 0: 100.
    pub report_ms: AtomicU64,
    /// How long a task runs, in milliseconds; 0: 150.
    pub task_ms: AtomicU64,
    /// Tasks that run, and on which machine.
    pub running: Mutex<HashMap<String, String>>,
    /// Tasks that were ever started.
    pub started: Mutex<HashSet<String>>,
    /// Tasks that ran twice at a time.
    pub duplicate_runs: Mutex<Vec<String>>,
    /// Jobs whose tasks run until they are stopped.
    pub endless: Mutex<HashSet<String>>,
}

struct Task {
    report: ReportedTask,
    ends: Option<Instant>,
}

struct Inner {
    tasks: Vec<Task>,
    fencing_token: FencingToken,
    agent_epoch: AgentEpoch,
    sequence: u64,
    /// When the last report that was answered was sent, or the agent epoch began.
    lease_from: Instant,
    /// The cloud took the machine back.
    gone: bool,
}

/// A worker gives up waiting for an answer after this.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// One machine with its worker.
pub struct Worker {
    name: String,
    /// Its own address, or one way to it for each controller.
    addresses: Mutex<Vec<SocketAddr>>,
    /// The controller that it reports to.
    at: AtomicUsize,
    inner: Mutex<Inner>,
    environment: Arc<WorkerEnvironment>,
    /// Commands are executed one after the other, and no agent epoch ends between the look at a command's token
    /// and what it does.
    acting: Mutex<()>,
}

impl WorkerEnvironment {
    fn report_time(&self) -> Duration {
        match self.report_ms.load(Ordering::Relaxed) {
            0 => Duration::from_millis(100),
            ms => Duration::from_millis(ms),
        }
    }

    fn task_time(&self) -> Duration {
        match self.task_ms.load(Ordering::Relaxed) {
            0 => Duration::from_millis(150),
            ms => Duration::from_millis(ms),
        }
    }

    fn note(&self, work: impl FnOnce(&mut Checker, u64)) {
        if let Some(history) = &mut *self.history.lock().unwrap() {
            let now = history.now();
            work(&mut history.checker, now);
        }
    }

    fn note_start(&self, task_id: &str, machine: &str) {
        let (job, task) = split_task_id(task_id);
        let place = Place {
            machine: machine.into(),
            zone: "east".into(),
            spot: true,
        };
        self.note(|checker, now| checker.starts(job, task, &place, now));
    }

    fn note_end(&self, task_id: &str, machine: &str, done: bool) {
        let (job, task) = split_task_id(task_id);
        self.note(|checker, _| checker.leaves(job, task, machine, done));
    }
}

impl Worker {
    /// A worker that has just begun its first agent epoch.
    pub fn new(name: &str, environment: &Arc<WorkerEnvironment>) -> Arc<Worker> {
        Arc::new(Worker {
            name: name.to_string(),
            addresses: Mutex::default(),
            at: AtomicUsize::new(0),
            inner: Mutex::new(Inner {
                tasks: Vec::new(),
                fencing_token: FencingToken::NONE,
                agent_epoch: AgentEpoch(1),
                sequence: 0,
                lease_from: Instant::now(),
                gone: false,
            }),
            environment: environment.clone(),
            acting: Mutex::default(),
        })
    }

    /// The ways by which controllers reach it.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap() = addresses;
    }

    /// The machine is gone, with everything on it.
    pub fn remove(&self) {
        let _acting = self.acting.lock().unwrap();
        let mut inner = self.inner.lock().unwrap();
        inner.gone = true;
        for task in &mut inner.tasks {
            self.exit(task, ExitReason::Stopped);
        }
        inner.tasks.clear();
    }

    fn is_gone(&self) -> bool {
        self.inner.lock().unwrap().gone
    }

    fn execute(&self, commands: &[WorkerCommand]) {
        let mut inner = self.inner.lock().unwrap();
        for o in commands {
            let at = inner
                .tasks
                .iter()
                .position(|t| t.report.task_id == o.task_id && t.report.attempt == o.attempt);
            match (o.kind, at) {
                (CommandKind::Run, None) => {
                    let twice = self
                        .environment
                        .running
                        .lock()
                        .unwrap()
                        .insert(o.task_id.clone(), self.name.clone());
                    if let Some(other) = twice {
                        let text = format!("{} on {other} and {}", o.task_id, self.name);
                        self.environment.duplicate_runs.lock().unwrap().push(text);
                    }
                    self.environment.note_start(&o.task_id, &self.name);
                    self.environment
                        .started
                        .lock()
                        .unwrap()
                        .insert(o.task_id.clone());
                    let job = o.task_id.split('/').next().unwrap();
                    let endless = self.environment.endless.lock().unwrap().contains(job);
                    inner.tasks.push(Task {
                        report: ReportedTask {
                            task_id: o.task_id.clone(),
                            attempt: o.attempt,
                            status: TaskStatus::Running,
                            exit_reason: None,
                            checkpointed: None,
                        },
                        ends: (!endless).then(|| Instant::now() + self.environment.task_time()),
                    });
                }
                (CommandKind::Stop, Some(i)) => self.exit(&mut inner.tasks[i], ExitReason::Stopped),
                (CommandKind::Clear, Some(i)) => {
                    inner.tasks.remove(i);
                }
                _ => {}
            }
        }
    }

    fn exit(&self, task: &mut Task, exit_reason: ExitReason) {
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

    /// Its report, to or from the controller with this number.
    fn report(&self, controller: usize) -> Heartbeat {
        let mut inner = self.inner.lock().unwrap();
        for task in &mut inner.tasks {
            if task.ends.is_some_and(|e| e <= Instant::now()) {
                self.exit(task, ExitReason::Done);
            }
        }
        inner.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr_for(controller),
            type_name: "small".into(),
            zone: "east".into(),
            spot: true,
            agent_epoch: inner.agent_epoch,
            sequence: inner.sequence,
            fencing_token: inner.fencing_token,
            preemption_notice_s: None,
            tasks: inner.tasks.iter().map(|t| t.report.clone()).collect(),
        }
    }

    fn addr_for(&self, controller: usize) -> String {
        let addresses = self.addresses.lock().unwrap();
        let addr = addresses.get(controller).or(addresses.first());
        addr.map(SocketAddr::to_string).unwrap_or_default()
    }

    /// Kills everything when nobody answered for too long.
    fn end_lease(&self) {
        let _acting = self.acting.lock().unwrap();
        let mut inner = self.inner.lock().unwrap();
        if inner.lease_from.elapsed() > Duration::from_secs_f64(LEASE_S) {
            for task in &mut inner.tasks {
                self.exit(task, ExitReason::Stopped);
            }
            inner.tasks.clear();
            inner.agent_epoch = inner.agent_epoch.next();
            inner.lease_from = Instant::now();
        }
    }

    /// The answer to a heartbeat of that agent epoch.
    fn take_answer(&self, answer: &HeartbeatReplyBody, agent_epoch: AgentEpoch, sent: Instant) {
        let _acting = self.acting.lock().unwrap();
        {
            let mut inner = self.inner.lock().unwrap();
            if answer.fencing_token < inner.fencing_token
                || agent_epoch != inner.agent_epoch
                || inner.gone
            {
                return;
            }
            inner.fencing_token = answer.fencing_token;
            inner.lease_from = sent;
        }
        self.execute(&answer.commands);
    }

    /// Sends heartbeats until the test ends, following hints and trying others after failures.
    pub fn work(self: Arc<Self>, controllers: Vec<(String, SocketAddr)>) {
        let mut at = 0;
        while !self.is_gone() {
            std::thread::sleep(self.environment.report_time());
            self.end_lease();
            let sent = Instant::now();
            let client = Client::new(controllers[at].1);
            let report = self.report(at);
            self.at.store(at, Ordering::Relaxed);
            let body = encode(&report);
            let result = client.call("POST", "/checkin", &body, ANSWER_TIME);
            match result {
                Ok(ClientResponse { status: 200, body }) => {
                    self.take_answer(&decode(&body).unwrap(), report.agent_epoch, sent)
                }
                Ok(ClientResponse { status: 421, body }) => {
                    let named = leader_of(&body)
                        .and_then(|f| controllers.iter().position(|(n, _)| *n == f));
                    at = named.unwrap_or((at + 1) % controllers.len());
                }
                _ => at = (at + 1) % controllers.len(),
            }
        }
    }
}

impl Handler for Worker {
    fn handle(&self, r: Request) -> Response {
        let commands: DirectCommands = decode(&r.body).unwrap();
        let controller = self.at.load(Ordering::Relaxed);
        // A lease that is over is over before anything else happens, also for a command that was held back.
        self.end_lease();
        let _acting = self.acting.lock().unwrap();
        let is_refused = {
            let mut inner = self.inner.lock().unwrap();
            let refused =
                inner.gone || commands.are_refused(inner.fencing_token, inner.agent_epoch);
            if !refused {
                inner.fencing_token = commands.fencing_token;
            }
            refused
        };
        if is_refused {
            return Response::new(409, encode(&self.report(controller)));
        }
        self.execute(&commands.commands);
        Response::new(200, encode(&self.report(controller)))
    }
}
