//! Traces of the scheduler: a test feeds events into a `SchedulerState`, and the trace logs its replies.

use aspenreel::http::cbor::{Number, decode, encode};
use aspenreel::jobs::LocalStatus;
use aspenreel::jobs::Submission;
use aspenreel::jobs::{PendingWrite, PendingWriteKind};
use aspenreel::provisioning::wire::{Catalog, ListedMachine};
use aspenreel::scheduler::{SchedulerConfig, SchedulerState};
use aspenreel::settings::TeamSettings;
use aspenreel::time::{Micros, Moment, WallTime};
use aspenreel::workers::wire::{
    CommandKind, ExitReason, Heartbeat, ReportedTask, TaskStatus, WorkerCommand,
};
use aspenreel::workers::{AgentEpoch, DirectResult, FencingToken, HeartbeatReply};
use ciborium::cbor;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A leader's scheduler, the log of its trace, and the time.
pub struct LeaderTrace {
    pub scheduler: SchedulerState,
    pub log: String,
    pub now: Moment,
    /// True if the key-value store accepts higher fencing tokens.
    pub raises_tokens: bool,
    /// Latest heartbeat sequence number of each machine.
    sequences: BTreeMap<String, u64>,
    /// Latest fencing token that was sent to each machine.
    sent_tokens: BTreeMap<String, u64>,
    /// Store revision of the latest write.
    revision: u64,
}

pub fn team(name: &str, cpus: f64, cpus_max: f64) -> TeamSettings {
    TeamSettings {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

/// One team with a quota that most traces don't reach.
pub fn one_team() -> Vec<TeamSettings> {
    vec![team("a", 100.0, 100.0)]
}

pub fn at(seconds: f64) -> Moment {
    Moment((1_000_000_000 + (seconds * 1e6) as i64) as u64)
}

pub fn submission(id: &str, edit: impl Fn(&mut Submission)) -> Submission {
    let wire = cbor!({
        "ref" => id, "lane" => "train", "crew" => "a", "shape" => "array", "rank" => "normal",
        "pieces" => 2, "cpus" => 4.0, "gpus" => 0.0, "ramGb" => 1.0, "bundle" => "img",
        "imageGb" => 1.0, "samePlace" => false, "spread" => false, "loaners" => true,
        "guessS" => 60.0, "bookmarkS" => 0.0, "stashS" => 0.0
    })
    .unwrap();
    let mut s = Submission::decode(&encode(&wire)).unwrap();
    edit(&mut s);
    s
}

pub fn catalog() -> Catalog {
    let wire = cbor!({"builds" => [
        {"label" => "small", "cpus" => 8, "ramGb" => 32, "cacheGb" => 50, "fetchGbPerS" => 1.0,
         "rate" => 0.4, "lowPrice" => 0.1, "startupS" => 30, "yards" => ["east", "west"]},
        {"label" => "big", "cpus" => 32, "ramGb" => 128, "cacheGb" => 50, "fetchGbPerS" => 1.0,
         "rate" => 2.0, "lowPrice" => 0.8, "startupS" => 20, "yards" => ["east"]}
    ]})
    .unwrap();
    decode(&encode(&wire)).unwrap()
}

/// Parses a reported task in the form `run-1/0#5.1 running`: task id, term and counter of the attempt, and status
/// or, for an ended task, exit reason.
fn task_report(text: &str) -> ReportedTask {
    let mut words = text.split(' ');
    let (task_id, attempt) = words.next().unwrap().split_once('#').unwrap();
    let (status, exit_reason) = match words.next().unwrap() {
        "fetching" => (TaskStatus::Fetching, None),
        "running" => (TaskStatus::Running, None),
        "flushing" => (TaskStatus::Flushing, None),
        "done" => (TaskStatus::Exited, Some(ExitReason::Done)),
        "stopped" => (TaskStatus::Exited, Some(ExitReason::Stopped)),
        "error" => (TaskStatus::Exited, Some(ExitReason::Error)),
        other => panic!("unknown task status {other:?}"),
    };
    let (term, counter) = attempt.split_once('.').unwrap();
    let attempt = (term.parse::<u64>().unwrap() << 32) | counter.parse::<u64>().unwrap();
    ReportedTask {
        task_id: task_id.into(),
        attempt,
        status,
        exit_reason,
        checkpointed: None,
    }
}

/// Formats a command in the form `run run-1/0#5.1`.
fn format_command(command: &WorkerCommand) -> String {
    let kind = match command.kind {
        CommandKind::Run => "run",
        CommandKind::Stop => "stop",
        CommandKind::Clear => "clear",
    };
    let (term, counter) = (command.attempt >> 32, command.attempt & 0xffff_ffff);
    format!("{kind} {}#{term}.{counter}", command.task_id)
}

impl LeaderTrace {
    /// Creates a leader of `term` that took over at second 0.
    pub fn new(term: u64, teams: Vec<TeamSettings>) -> LeaderTrace {
        let config = SchedulerConfig {
            teams,
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
            max_gone_machines: 1000,
            value_bytes: 8192,
            job_bytes: 1 << 30,
            max_machines: 10_000,
        };
        let mut scheduler = SchedulerState::new(config, term, at(0.0), 7);
        scheduler.provisioning.catalog = catalog().types();
        LeaderTrace {
            scheduler,
            log: String::new(),
            now: at(0.0),
            raises_tokens: true,
            sequences: BTreeMap::new(),
            sent_tokens: BTreeMap::new(),
            revision: 100,
        }
    }

    /// Logs a line with the present time in seconds.
    pub fn note(&mut self, text: &str) -> &mut Self {
        let seconds = (self.now - at(0.0)).as_secs_f64();
        writeln!(self.log, "{seconds:>6.1}  {text}").unwrap();
        self
    }

    /// Sets the time.
    pub fn at(&mut self, seconds: f64) -> &mut Self {
        self.now = at(seconds);
        self
    }

    /// Accepts a job none of whose tasks is claimed by an earlier term.
    pub fn job(&mut self, submission: Submission) -> &mut Self {
        self.job_with_watermark(submission, 0)
    }

    /// Accepts a job of which an earlier term claimed every task.
    pub fn prior_term_job(&mut self, submission: Submission) -> &mut Self {
        let start_watermark = submission.tasks as u32;
        self.job_with_watermark(submission, start_watermark)
    }

    /// Accepts a job of which an earlier term claimed the tasks below `start_watermark`.
    pub fn job_with_watermark(
        &mut self,
        submission: Submission,
        start_watermark: u32,
    ) -> &mut Self {
        self.revision += 1;
        let mut earlier = String::new();
        if start_watermark > 0 {
            let page = self.revision as u32;
            let entries = vec![(submission.id.clone(), start_watermark)];
            self.scheduler
                .jobs
                .start_watermarks
                .load(page, self.revision, entries);
            earlier = format!(" under an earlier term, {start_watermark} claimed");
        }
        self.scheduler.add_job(
            &submission,
            self.revision,
            self.now,
            WallTime(submission.accepted_us),
        );
        self.note(&format!(
            "{} accepted{earlier}: {} x {} CPUs, {:?}",
            submission.id, submission.tasks, submission.cpus.0, submission.priority
        ));
        self
    }

    /// Creates the next heartbeat of a machine, without sending it.
    pub fn next_heartbeat(
        &mut self,
        machine: &str,
        fencing_token: u64,
        agent_epoch: u64,
        tasks: &[&str],
    ) -> Heartbeat {
        let sequence = self.sequences.entry(machine.to_string()).or_insert(0);
        *sequence += 1;
        // Machine names have the form `small-east-1`: type, zone and number.
        let parts: Vec<&str> = machine.split('-').collect();
        Heartbeat {
            machine: machine.into(),
            addr: "127.0.0.1:1".into(),
            type_name: parts[0].into(),
            zone: parts[1].into(),
            spot: true,
            agent_epoch: AgentEpoch(agent_epoch),
            sequence: *sequence,
            fencing_token: FencingToken(fencing_token),
            preemption_notice_s: None,
            tasks: tasks.iter().map(|t| task_report(t)).collect(),
        }
    }

    /// Sends a heartbeat with the latest fencing token that the machine has received, in agent epoch 1.
    pub fn heartbeat(&mut self, machine: &str, tasks: &[&str]) -> &mut Self {
        let fencing_token = self.known_token(machine);
        let heartbeat = self.next_heartbeat(machine, fencing_token, 1, tasks);
        self.send(&heartbeat)
    }

    /// Returns the fencing token of a worker that has received every reply.
    fn known_token(&self, machine: &str) -> u64 {
        let sent = self.sent_tokens.get(machine).copied();
        sent.unwrap_or(self.scheduler.term)
    }

    /// Sends a heartbeat and logs the reply.
    pub fn send(&mut self, heartbeat: &Heartbeat) -> &mut Self {
        self.send_for_token(heartbeat);
        self
    }

    /// Sends a heartbeat and logs the reply. Returns the fencing token of the reply, if it carries one.
    pub fn send_for_token(&mut self, heartbeat: &Heartbeat) -> Option<u64> {
        // In a trace start watermarks and the machine registry are written as soon as they are due.
        self.scheduler.run_placement_pass(self.now);
        self.apply_start_writes();
        let reply = self.scheduler.heartbeat(heartbeat, self.now);
        let fencing_token = match reply {
            HeartbeatReply::Commands { fencing_token, .. } => Some(fencing_token.0),
            _ => None,
        };
        if let Some(fencing_token) = fencing_token {
            self.sent_tokens
                .insert(heartbeat.machine.clone(), fencing_token);
        }
        let text = match reply {
            HeartbeatReply::Commands {
                fencing_token,
                commands,
            } => {
                let commands: Vec<String> = commands.iter().map(format_command).collect();
                let text = match commands.is_empty() {
                    true => "nothing to do".to_string(),
                    false => commands.join(", "),
                };
                match fencing_token == FencingToken::of_term(self.scheduler.term) {
                    true => text,
                    false => format!("{text} (fencing token {fencing_token})"),
                }
            }
            other => format!("{other:?}"),
        };
        let tasks: Vec<String> = heartbeat
            .tasks
            .iter()
            .map(|t| {
                let (term, n) = (t.attempt >> 32, t.attempt & 0xffff_ffff);
                let end = t
                    .exit_reason
                    .map(|reason| format!(" {reason:?}"))
                    .unwrap_or_default();
                format!("{}#{term}.{n} {:?}{end}", t.task_id, t.status)
            })
            .collect();
        self.note(&format!(
            "{} (agent epoch {}, sequence {}, fencing token {}) reports [{}] -> {text}",
            heartbeat.machine,
            heartbeat.agent_epoch,
            heartbeat.sequence,
            heartbeat.fencing_token,
            tasks.join(", ")
        ));
        // A placement pass too soon after the previous one is deferred to the next timer event. A trace runs it now.
        if self.scheduler.placement.due {
            self.scheduler.run_placement_pass(self.now);
        }
        self.apply_start_writes();
        fencing_token
    }

    /// Records a higher fencing token, if the scheduler asks for one and the store accepts it.
    fn raise_fencing_token(&mut self) {
        if self.raises_tokens && self.scheduler.fencing_token_raise_due(self.now) {
            let fencing_token = FencingToken(self.scheduler.fencing.newest().0 + 1);
            self.scheduler.fencing_token_raised(fencing_token, self.now);
            self.note(&format!("fencing token {fencing_token} is on record"));
        }
    }

    /// Applies the writes that must precede task starts: a higher fencing token, start watermarks and the machine
    /// registry.
    pub fn apply_start_writes(&mut self) {
        self.raise_fencing_token();
        let mut writes = self.scheduler.pending_watermark_writes();
        writes.extend(self.scheduler.pending_registry_writes(true));
        for write in &writes {
            self.revision += 1;
            self.scheduler.apply_written(write, self.revision);
        }
    }

    /// Adds a machine from the registry of an earlier term that existed at `existed_at` seconds.
    pub fn prior_term_machine(&mut self, machine: &str, existed_at: f64) -> &mut Self {
        self.revision += 1;
        let page = self.revision as u32;
        let entries = vec![(machine.to_string(), 0)];
        self.scheduler
            .provisioning
            .registry
            .load(page, self.revision, entries);
        self.scheduler
            .prior_term
            .note_machine(machine, at(existed_at));
        self
    }

    /// Sets the time and runs the scheduler's timer event.
    pub fn on_timer(&mut self, seconds: f64) -> &mut Self {
        self.now = at(seconds);
        self.scheduler.on_timer(self.now);
        self.apply_start_writes();
        self
    }

    /// Takes the next direct call, if there is one, and finishes it with `result`.
    pub fn direct_call(
        &mut self,
        result: impl FnOnce(&mut LeaderTrace) -> DirectResult,
    ) -> &mut Self {
        let Some(call) = self.scheduler.next_direct_call(self.now) else {
            self.note("no direct call");
            return self;
        };
        let commands: Vec<String> = call.commands.iter().map(format_command).collect();
        let result = result(self);
        let end = match &result {
            DirectResult::Answered(_) => "answered",
            DirectResult::NotSent => "not sent",
            DirectResult::Unreachable => "no connection",
            DirectResult::OutcomeUnknown => "no answer",
        };
        self.note(&format!(
            "direct to {}: {} -> {end}",
            call.machine,
            commands.join(", ")
        ));
        self.scheduler.direct_call_finished(&call, result, self.now);
        self
    }

    /// Runs one round of writes. If `commit` is true, the store applies them, otherwise it doesn't answer.
    pub fn write_round(&mut self, commit: bool) -> &mut Self {
        let mut writes: Vec<PendingWrite> = self.scheduler.pending_final_writes(12);
        writes.extend(self.scheduler.pending_done_sets(100));
        writes.extend(self.scheduler.pending_retirements(100, 12));
        let texts: Vec<String> = writes
            .iter()
            .map(|w| {
                let id = |job| &self.scheduler.jobs.table[job].spec.id;
                match &w.kind {
                    PendingWriteKind::FinalState(job, outcome) => {
                        format!("{} is {outcome:?}", id(job))
                    }
                    PendingWriteKind::DoneSet { job, chunk, text } => {
                        format!("{} chunk {chunk} = {text:.40}", id(job))
                    }
                    PendingWriteKind::Retirement(job, outcome) => {
                        format!("{} is {outcome:?} and retired", id(job))
                    }
                    other => format!("{other:?}"),
                }
            })
            .collect();
        let end = if commit { "written" } else { "no answer" };
        self.note(&format!("round: [{}] {end}", texts.join("; ")));
        if commit {
            for write in &writes {
                self.revision += 1;
                self.scheduler.apply_written(write, self.revision);
            }
        }
        self
    }

    /// Logs the status of a job as users see it.
    pub fn view(&mut self, id: &str) -> &mut Self {
        let text = match self.scheduler.job_status(id) {
            LocalStatus::View(v) => format!(
                "{} ({} done, {} running)",
                v.state.name(),
                v.done,
                v.running
            ),
            LocalStatus::FinalWriteInFlight => "being decided".into(),
            LocalStatus::Unknown => "unknown".into(),
        };
        self.note(&format!("{id} is told as {text}"));
        self
    }

    /// Reconciles the fleet with a machine list of the cloud; each machine has a name and a status.
    pub fn list(&mut self, machines: &[(&str, &str)]) -> &mut Self {
        let list: Vec<ListedMachine> = machines
            .iter()
            .map(|(name, status)| {
                let parts: Vec<&str> = name.split('-').collect();
                let wire = cbor!({"ref" => *name, "build" => parts[0], "yard" => parts[1],
                    "loaners" => true, "status" => *status, "heldS" => 100.0})
                .unwrap();
                decode(&encode(&wire)).unwrap()
            })
            .collect();
        self.scheduler
            .reconcile_machine_list(&list, self.now, self.now);
        self.apply_start_writes();
        let names: Vec<&str> = machines.iter().map(|(n, _)| *n).collect();
        self.note(&format!("the cloud lists [{}]", names.join(", ")));
        self
    }

    /// Plans the scale-out and logs the provisioning requests.
    pub fn plan_scale_out(&mut self) -> &mut Self {
        self.scheduler.plan_scale_out(self.now);
        let requests: Vec<String> = self
            .scheduler
            .provisioning
            .requests
            .iter()
            .map(|request| {
                format!(
                    "{} {} {} in {}, spot {}",
                    request.name,
                    request.count,
                    request.type_name,
                    request.offer.zone,
                    request.offer.spot
                )
            })
            .collect();
        self.note(&format!("rentals wanted: [{}]", requests.join("; ")));
        self
    }

    /// Logs the tasks that hold resources, by machine.
    pub fn bound(&mut self) -> &mut Self {
        let mut lines = Vec::new();
        for machine in self.scheduler.machines.values() {
            let tasks: Vec<String> = machine
                .attempts
                .iter()
                .filter(|(_, a)| a.holds_resources())
                .map(|(k, _)| format!("{}/{}", self.scheduler.jobs.table[&k.job].spec.id, k.task))
                .collect();
            lines.push(format!("{}: {}", machine.name, tasks.join(" ")));
        }
        self.note(&format!("bound: [{}]", lines.join("; ")));
        self
    }
}

/// A worker for long traces: it executes the commands that it receives, and its tasks end by themselves.
pub struct ExecutingWorker {
    pub name: String,
    /// Task id, attempt and end in seconds of each running task.
    tasks: Vec<(String, u64, f64)>,
    /// Task id and attempt of each ended task that the leader hasn't cleared.
    ended: Vec<(String, u64)>,
}

impl ExecutingWorker {
    pub fn new(name: &str) -> ExecutingWorker {
        ExecutingWorker {
            name: name.into(),
            tasks: Vec::new(),
            ended: Vec::new(),
        }
    }
}

impl LeaderTrace {
    /// Sends one heartbeat of the worker at `seconds`, executes the commands of the reply, and applies the pending
    /// writes of job results. A task takes `run` seconds, given its job's id. `begun` gets the time of the first
    /// start of each job.
    pub fn run_worker(
        &mut self,
        worker: &mut ExecutingWorker,
        seconds: f64,
        run: &impl Fn(&str) -> f64,
        begun: &mut BTreeMap<String, f64>,
    ) {
        self.now = at(seconds);
        let (ended, tasks): (Vec<_>, Vec<_>) = worker.tasks.drain(..).partition(|t| t.2 <= seconds);
        worker.tasks = tasks;
        worker.ended.extend(ended.into_iter().map(|t| (t.0, t.1)));
        let task = |task_id: &str, attempt: u64, status: &str| {
            task_report(&format!(
                "{task_id}#{}.{} {status}",
                attempt >> 32,
                attempt & 0xffff_ffff
            ))
        };
        let mut heartbeat = self.next_heartbeat(&worker.name, self.scheduler.term, 1, &[]);
        let running = worker.tasks.iter().map(|t| task(&t.0, t.1, "running"));
        let done = worker.ended.iter().map(|t| task(&t.0, t.1, "done"));
        heartbeat.tasks = running.chain(done).collect();
        let reply = self.scheduler.heartbeat(&heartbeat, self.now);
        self.apply_start_writes();
        let HeartbeatReply::Commands { commands, .. } = reply else {
            panic!("heartbeat of {} got no commands: {reply:?}", worker.name);
        };
        for command in commands {
            match command.kind {
                CommandKind::Run => {
                    let job = command.task_id.split('/').next().unwrap().to_string();
                    let ends = seconds + run(&job);
                    begun.entry(job).or_insert(seconds);
                    worker.tasks.push((command.task_id, command.attempt, ends));
                }
                CommandKind::Stop => worker.tasks.retain(|t| t.1 != command.attempt),
                CommandKind::Clear => worker.ended.retain(|t| t.1 != command.attempt),
            }
        }
        let mut writes = self.scheduler.pending_final_writes(12);
        writes.extend(self.scheduler.pending_done_sets(100));
        writes.extend(self.scheduler.pending_retirements(100, 12));
        for write in &writes {
            self.revision += 1;
            self.scheduler.apply_written(write, self.revision);
        }
    }
}

pub fn decimal(value: f64) -> Number {
    Number(value)
}
