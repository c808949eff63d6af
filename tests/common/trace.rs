//! A small world for traces: events go into a `SchedulerState`, and what it wants is written down.

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

pub struct LeaderTrace {
    pub scheduler: SchedulerState,
    pub log: String,
    pub now: Moment,
    /// The key-value store takes higher fencing tokens.
    pub raises_tokens: bool,
    sequences: BTreeMap<String, u64>,
    told: BTreeMap<String, u64>,
    epoch: u64,
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

/// One team whose quota is no limit in most traces.
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

/// `run-1/0#5 running`: a task as a worker reports it.
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
        other => panic!("{other}"),
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

fn show(command: &WorkerCommand) -> String {
    let kind = match command.kind {
        CommandKind::Run => "run",
        CommandKind::Stop => "stop",
        CommandKind::Clear => "clear",
    };
    let (term, counter) = (command.attempt >> 32, command.attempt & 0xffff_ffff);
    format!("{kind} {}#{term}.{counter}", command.task_id)
}

impl LeaderTrace {
    /// A leader of `term` that took over at second 0.
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
            told: BTreeMap::new(),
            epoch: 100,
        }
    }

    pub fn note(&mut self, text: &str) -> &mut Self {
        let seconds = (self.now - at(0.0)).as_secs_f64();
        writeln!(self.log, "{seconds:>6.1}  {text}").unwrap();
        self
    }

    pub fn at(&mut self, seconds: f64) -> &mut Self {
        self.now = at(seconds);
        self
    }

    pub fn job(&mut self, submission: Submission) -> &mut Self {
        self.job_with_watermark(submission, 0)
    }

    /// A job of which an earlier term claimed every task.
    pub fn prior_term_job(&mut self, submission: Submission) -> &mut Self {
        let start_watermark = submission.tasks as u32;
        self.job_with_watermark(submission, start_watermark)
    }

    /// A job of which an earlier term claimed the first tasks.
    pub fn job_with_watermark(&mut self, s: Submission, start_watermark: u32) -> &mut Self {
        self.epoch += 1;
        let mut earlier = String::new();
        if start_watermark > 0 {
            let page = self.epoch as u32;
            let entries = vec![(s.id.clone(), start_watermark)];
            self.scheduler
                .jobs
                .start_watermarks
                .load(page, self.epoch, entries);
            earlier = format!(" under an earlier term, {start_watermark} claimed");
        }
        self.scheduler
            .add_job(&s, self.epoch, self.now, WallTime(s.accepted_us));
        self.note(&format!(
            "{} accepted{earlier}: {} x {} CPUs, {:?}",
            s.id, s.tasks, s.cpus.0, s.priority
        ));
        self
    }

    pub fn report(
        &mut self,
        machine: &str,
        fencing_token: u64,
        agent_epoch: u64,
        tasks: &[&str],
    ) -> Heartbeat {
        let sequence = self.sequences.entry(machine.to_string()).or_insert(0);
        *sequence += 1;
        // Names tell type and zone: `small-east-1`.
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

    pub fn heartbeat(&mut self, machine: &str, tasks: &[&str]) -> &mut Self {
        let fencing_token = self.known_token(machine);
        let report = self.report(machine, fencing_token, 1, tasks);
        self.send(&report)
    }

    /// The highest token that a worker which takes every answer has seen.
    fn known_token(&self, machine: &str) -> u64 {
        let told = self.told.get(machine).copied();
        told.unwrap_or(self.scheduler.term)
    }

    pub fn send(&mut self, report: &Heartbeat) -> &mut Self {
        self.send_for_token(report);
        self
    }

    /// Sends a report; the token of its answer, if it is answered.
    pub fn send_for_token(&mut self, report: &Heartbeat) -> Option<u64> {
        // In a trace claims and the registry are written as soon as they are due.
        self.scheduler.run_placement_pass(self.now);
        self.apply_start_writes();
        let answer = self.scheduler.heartbeat(report, self.now);
        let fencing_token = match answer {
            HeartbeatReply::Commands { fencing_token, .. } => Some(fencing_token.0),
            _ => None,
        };
        if let Some(fencing_token) = fencing_token {
            self.told.insert(report.machine.clone(), fencing_token);
        }
        let text = match answer {
            HeartbeatReply::Commands {
                fencing_token,
                commands,
            } => {
                let commands: Vec<String> = commands.iter().map(show).collect();
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
        let tasks: Vec<String> = report
            .tasks
            .iter()
            .map(|t| {
                let (term, n) = (t.attempt >> 32, t.attempt & 0xffff_ffff);
                let end = t.exit_reason.map(|c| format!(" {c:?}")).unwrap_or_default();
                format!("{}#{term}.{n} {:?}{end}", t.task_id, t.status)
            })
            .collect();
        self.note(&format!(
            "{} (agent epoch {}, sequence {}, fencing token {}) reports [{}] -> {text}",
            report.machine,
            report.agent_epoch,
            report.sequence,
            report.fencing_token,
            tasks.join(", ")
        ));
        // What passes too close to the last one left undone is done by the next tick.
        if self.scheduler.placement.due {
            self.scheduler.run_placement_pass(self.now);
        }
        self.apply_start_writes();
        fencing_token
    }

    /// Puts a higher fencing token on record, if one is wanted.
    fn raise_fencing_token(&mut self) {
        if self.raises_tokens && self.scheduler.fencing_token_raise_due(self.now) {
            let fencing_token = FencingToken(self.scheduler.fencing.newest().0 + 1);
            self.scheduler.fencing_token_raised(fencing_token, self.now);
            self.note(&format!("fencing token {fencing_token} is on record"));
        }
    }

    /// Writes what starts wait for.
    pub fn apply_start_writes(&mut self) {
        self.raise_fencing_token();
        let mut writes = self.scheduler.pending_watermark_writes();
        writes.extend(self.scheduler.pending_registry_writes(true));
        for write in &writes {
            self.epoch += 1;
            self.scheduler.apply_written(write, self.epoch);
        }
    }

    /// A machine on an earlier term's registry.
    pub fn prior_term_machine(&mut self, machine: &str, since: f64) -> &mut Self {
        self.epoch += 1;
        let page = self.epoch as u32;
        let entries = vec![(machine.to_string(), 0)];
        self.scheduler
            .provisioning
            .registry
            .load(page, self.epoch, entries);
        self.scheduler.prior_term.note_machine(machine, at(since));
        self
    }

    pub fn on_timer(&mut self, seconds: f64) -> &mut Self {
        self.now = at(seconds);
        self.scheduler.on_timer(self.now);
        self.apply_start_writes();
        self
    }

    /// Sends one direct call, if there is one, and ends it as told.
    pub fn direct_call(
        &mut self,
        result: impl FnOnce(&mut LeaderTrace) -> DirectResult,
    ) -> &mut Self {
        let Some(call) = self.scheduler.next_direct_call(self.now) else {
            self.note("no direct call");
            return self;
        };
        let commands: Vec<String> = call.commands.iter().map(show).collect();
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

    /// One write round; `commit` says whether the key-value store took it.
    pub fn write_round(&mut self, commit: bool) -> &mut Self {
        let mut writes: Vec<PendingWrite> = self.scheduler.pending_final_writes(12);
        writes.extend(self.scheduler.pending_done_sets(100));
        writes.extend(self.scheduler.pending_retirements(100, 12));
        let told: Vec<String> = writes
            .iter()
            .map(|w| {
                let id = |job| &self.scheduler.jobs.table[job].spec.id;
                match &w.kind {
                    PendingWriteKind::FinalState(j, o) => format!("{} is {o:?}", id(j)),
                    PendingWriteKind::DoneSet { job, chunk, text } => {
                        format!("{} chunk {chunk} = {text:.40}", id(job))
                    }
                    PendingWriteKind::Retirement(j, o) => format!("{} is {o:?} and retired", id(j)),
                    other => format!("{other:?}"),
                }
            })
            .collect();
        let end = if commit { "written" } else { "no answer" };
        self.note(&format!("round: [{}] {end}", told.join("; ")));
        if commit {
            for write in &writes {
                self.epoch += 1;
                self.scheduler.apply_written(write, self.epoch);
            }
        }
        self
    }

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

    pub fn plan_scale_out(&mut self) -> &mut Self {
        self.scheduler.plan_scale_out(self.now);
        let requests: Vec<String> = self
            .scheduler
            .provisioning
            .requests
            .iter()
            .map(|h| {
                format!(
                    "{} {} {} in {}, spot {}",
                    h.name, h.count, h.type_name, h.offer.zone, h.offer.spot
                )
            })
            .collect();
        self.note(&format!("rentals wanted: [{}]", requests.join("; ")));
        self
    }

    /// What is bound, by machine.
    pub fn bound(&mut self) -> &mut Self {
        let mut lines = Vec::new();
        for m in self.scheduler.machines.values() {
            let tasks: Vec<String> = m
                .attempts
                .iter()
                .filter(|(_, a)| a.holds_resources())
                .map(|(k, _)| format!("{}/{}", self.scheduler.jobs.table[&k.job].spec.id, k.task))
                .collect();
            lines.push(format!("{}: {}", m.name, tasks.join(" ")));
        }
        self.note(&format!("bound: [{}]", lines.join("; ")));
        self
    }
}

/// A worker as a long trace needs it: it does what it is told, and its tasks end by themselves.
pub struct ExecutingWorker {
    pub name: String,
    tasks: Vec<(String, u64, f64)>,
    over: Vec<(String, u64)>,
}

impl ExecutingWorker {
    pub fn new(name: &str) -> ExecutingWorker {
        ExecutingWorker {
            name: name.into(),
            tasks: Vec::new(),
            over: Vec::new(),
        }
    }
}

impl LeaderTrace {
    /// One heartbeat of such a worker at `seconds`. Tasks run for `run` of their job. Jobs that it
    /// starts for the first time go into `begun`.
    pub fn run_worker(
        &mut self,
        worker: &mut ExecutingWorker,
        seconds: f64,
        run: &impl Fn(&str) -> f64,
        begun: &mut BTreeMap<String, f64>,
    ) {
        self.now = at(seconds);
        let (over, tasks): (Vec<_>, Vec<_>) = worker.tasks.drain(..).partition(|t| t.2 <= seconds);
        worker.tasks = tasks;
        worker.over.extend(over.into_iter().map(|t| (t.0, t.1)));
        let show = |task_id: &str, attempt: u64, status: &str| {
            task_report(&format!(
                "{task_id}#{}.{} {status}",
                attempt >> 32,
                attempt & 0xffff_ffff
            ))
        };
        let mut report = self.report(&worker.name, self.scheduler.term, 1, &[]);
        let running = worker.tasks.iter().map(|t| show(&t.0, t.1, "running"));
        let done = worker.over.iter().map(|t| show(&t.0, t.1, "done"));
        report.tasks = running.chain(done).collect();
        let answer = self.scheduler.heartbeat(&report, self.now);
        self.apply_start_writes();
        let HeartbeatReply::Commands { commands, .. } = answer else {
            panic!("{answer:?}");
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
                CommandKind::Clear => worker.over.retain(|t| t.1 != command.attempt),
            }
        }
        let mut writes = self.scheduler.pending_final_writes(12);
        writes.extend(self.scheduler.pending_done_sets(100));
        writes.extend(self.scheduler.pending_retirements(100, 12));
        for write in &writes {
            self.epoch += 1;
            self.scheduler.apply_written(write, self.epoch);
        }
    }
}

pub fn decimal(x: f64) -> Number {
    Number(x)
}
