//! Machines and their workers, as the protocol's page tells of them.

use crate::checker::{JobPlan, Place};
use crate::cuts::End;
use crate::sched::{Time, secs};
use crate::world::{LEASE_S, REPORT_S, State, World};
use aspenreel::http::cbor::{Number, decode, encode};
use aspenreel::http::server::{Handler, Request};
use aspenreel::workers::wire::{
    CommandKind, ExitReason, Heartbeat, ReportedTask, TaskStatus, WorkerCommand,
};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

const PATIENCE: Time = 4_000_000;
const PAUSE: Time = 1_000_000;
/// A machine that dies stays listed for this long.
pub(crate) const LISTED_AFTER_DEATH_S: f64 = 30.0;

#[derive(Clone, Debug)]
struct Task {
    status: TaskStatus,
    exit_reason: Option<ExitReason>,
    /// When what it does now ends, and a count that tells its timers apart.
    ends: Time,
    timer: u64,
}

/// A machine and its worker.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub(crate) type_name: String,
    pub zone: String,
    pub(crate) spot: bool,
    cpus: f64,
    pub(crate) addr: SocketAddr,
    pub(crate) created: Time,
    pub(crate) up_at: Time,
    pub(crate) gone_at: Option<Time>,
    pub(crate) died_at: Option<Time>,
    agent_epoch: u64,
    sequence: u64,
    fencing_token: u64,
    /// When the last answered report was sent, or the session began.
    lease_from: Time,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    /// The node that it reports to.
    node: usize,
    in_flight: Option<u64>,
    sent: Time,
    reports: u64,
    next_report: u64,
    timers: u64,
    pub hung_until: Time,
    hung_since: Time,
    pub cut_until: Time,
    /// Whether what a cut stops is held back and delivered in the end.
    holds: bool,
    pub mute_until: Time,
    pub deaf_until: Time,
    /// When the cloud takes it, once it has said so.
    preempted_at: Option<Time>,
}

impl Machine {
    pub(crate) fn alive(&self) -> bool {
        self.gone_at.is_none() && self.died_at.is_none()
    }

    fn up(&self, now: Time) -> bool {
        self.alive() && self.up_at <= now
    }

    fn free(&self, plans: impl Fn(&str) -> f64) -> f64 {
        let held = self.tasks.iter();
        let held = held.filter(|(_, t)| t.status != TaskStatus::Exited);
        self.cpus - held.map(|((task_id, _), _)| plans(task_id)).sum::<f64>()
    }

    fn report(&mut self, now: Time) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.to_string(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: self
                .preempted_at
                .map(|at| Number(at.saturating_sub(now) as f64 / 1e6)),
            tasks: self
                .tasks
                .iter()
                .map(|((task_id, attempt), t)| ReportedTask {
                    task_id: task_id.clone(),
                    attempt: *attempt,
                    status: t.status,
                    exit_reason: t.exit_reason,
                    checkpointed: None,
                })
                .collect(),
        }
    }

    fn place(&self) -> Place {
        Place {
            machine: self.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    /// True if the job could start one more task here: the worker serves and has room.
    pub fn could_take(&self, plan: &JobPlan) -> bool {
        let serves = self.alive() && self.lease_from > 0 && self.fencing_token > 0;
        // Whatever runs here takes as much at least: good enough for a bound on waits.
        let held = self.tasks.values();
        let held = held.filter(|t| t.status != TaskStatus::Exited).count() as f64;
        serves
            && plan.zone.as_ref().is_none_or(|z| *z == self.zone)
            && (plan.spot || !self.spot)
            && self.cpus - held * 8.0 >= plan.cpus
    }
}

fn split(task_id: &str) -> (&str, u32) {
    let (id, task) = task_id.rsplit_once('/').unwrap();
    (id, task.parse().unwrap())
}

impl State {
    fn plan(&self, task_id: &str) -> Option<&JobPlan> {
        Some(&self.users.get(split(task_id).0)?.plan)
    }

    fn machine_at(&mut self, addr: SocketAddr) -> Option<&mut Machine> {
        self.machines.values_mut().find(|m| m.addr == addr)
    }
}

impl World {
    /// Makes a machine that is up after so long; its name.
    pub fn boot(self: &Arc<Self>, type_name: &str, zone: &str, spot: bool, after: Time) -> String {
        let now = self.now();
        let (name, first) = {
            let mut state = self.state();
            state.cloud.made += 1;
            let made = state.cloud.made;
            let name = format!("m-{made:06}");
            let first = now + after + state.rng.u64(0..400_000);
            let node = state.rng.usize(0..self.setup.nodes);
            let machine = Machine {
                name: name.clone(),
                type_name: type_name.into(),
                zone: zone.into(),
                spot,
                cpus: if type_name == "small" { 8.0 } else { 32.0 },
                addr: format!("10.1.{}.{}:9000", made / 200, made % 200)
                    .parse()
                    .unwrap(),
                created: now,
                up_at: first,
                gone_at: None,
                died_at: None,
                agent_epoch: 1,
                sequence: 0,
                fencing_token: 0,
                lease_from: first,
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                node,
                in_flight: None,
                sent: 0,
                reports: 0,
                next_report: 0,
                timers: 0,
                hung_until: 0,
                hung_since: 0,
                cut_until: 0,
                holds: false,
                mute_until: 0,
                deaf_until: 0,
                preempted_at: None,
            };
            state.machines.insert(name.clone(), machine);
            (name, first)
        };
        let worker = name.clone();
        self.at_time(first, move |w| {
            w.watch_lease(&worker);
            w.report_at(&worker, w.now());
        });
        name
    }

    /// Ends a session when its lease is over.
    fn watch_lease(self: &Arc<Self>, name: &str) {
        let now = self.now();
        let worker = name.to_string();
        let mut state = self.state();
        let Some(m) = state.machines.get_mut(name).filter(|m| m.alive()) else {
            return;
        };
        let ends = m.lease_from + secs(LEASE_S);
        if now < ends {
            drop(state);
            return self.at_time(ends, move |w| w.watch_lease(&worker));
        }
        m.agent_epoch += 1;
        m.lease_from = now;
        m.in_flight = None;
        let lost = std::mem::take(&mut m.tasks);
        for ((task_id, _), task) in lost {
            if on_machine(&task) {
                let (id, n) = split(&task_id);
                state.checker.leaves(id, n, name, false);
            }
        }
        drop(state);
        self.report_at(name, now);
        self.after(secs(LEASE_S), move |w| w.watch_lease(&worker));
    }

    /// The next report goes out then, unless another one is asked for before.
    fn report_at(self: &Arc<Self>, name: &str, at: Time) {
        let mut state = self.state();
        let Some(m) = state.machines.get_mut(name) else {
            return;
        };
        m.next_report += 1;
        let (number, worker) = (m.next_report, name.to_string());
        drop(state);
        self.at_time(at, move |w| w.send_report(&worker, number));
    }

    fn report_soon(self: &Arc<Self>, name: &str) {
        let at = {
            let state = self.state();
            let Some(m) = state.machines.get(name).filter(|m| m.in_flight.is_none()) else {
                return;
            };
            (m.sent + 500_000).max(self.now())
        };
        self.report_at(name, at);
    }

    fn send_report(self: &Arc<Self>, name: &str, number: u64) {
        let now = self.now();
        let mut state = self.state();
        let Some(m) = state.machines.get_mut(name) else {
            return;
        };
        if !m.up(now) || m.next_report != number || m.in_flight.is_some() {
            return;
        }
        if m.hung_until > now {
            let until = m.hung_until;
            drop(state);
            return self.report_at(name, until);
        }
        let report = m.report(now);
        m.reports += 1;
        m.sent = now;
        m.in_flight = Some(m.reports);
        let (flight, n, worker) = (m.reports, m.node, name.to_string());
        let cut_until = m.cut_until;
        let (lost, held) = (
            m.cut_until > now || m.mute_until > now,
            m.holds && m.cut_until > now,
        );
        drop(state);
        self.after(PATIENCE, move |w| w.gives_up(&worker, flight));
        if lost {
            if held {
                self.at_time(cut_until, move |w| w.copy_arrives(n, &report));
            }
            return;
        }
        let there = self.latency();
        self.after(there, move |w| w.report_arrives(n, report, flight, now));
    }

    fn gives_up(self: &Arc<Self>, name: &str, flight: u64) {
        let nodes = self.setup.nodes;
        {
            let mut state = self.state();
            let Some(m) = state.machines.get_mut(name) else {
                return;
            };
            if m.in_flight != Some(flight) {
                return;
            }
            m.in_flight = None;
            m.node = (m.node + 1) % nodes;
        }
        self.report_at(name, self.now() + PAUSE);
    }

    /// Workers of that zone and the node reach each other, but for cuts of one direction.
    fn reaches(&self, n: usize, zone: &str) -> bool {
        let cut = self.state().nodes[n].workers_cut_until > self.now();
        !cut && self.joined(self.zone_of_node(n), zone)
    }

    /// Whether a new connection from the node to that worker comes about.
    pub fn reaches_worker(&self, n: usize, addr: SocketAddr) -> bool {
        let now = self.now();
        let zone = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr) else {
                return false;
            };
            if !m.up(now) || m.cut_until > now || m.deaf_until > now {
                return false;
            }
            m.zone.clone()
        };
        // A connection needs both directions.
        let open = {
            let state = self.state();
            let ways = [(End::Node(n), End::Workers), (End::Workers, End::Node(n))];
            !ways.iter().any(|(from, to)| state.is_cut(*from, *to, now))
        };
        open && self.reaches(n, &zone)
    }

    /// A node takes in a report. A frozen one does when it goes on.
    fn by_heartbeat(
        self: &Arc<Self>,
        n: usize,
        report: &Heartbeat,
    ) -> Result<(u16, Vec<u8>), Option<Time>> {
        let (process, node) = {
            let state = self.state();
            (state.nodes[n].process, state.nodes[n].node.clone())
        };
        let (Some(process), Some(node)) = (process, node) else {
            return Err(None);
        };
        if let Some(until) = self.sched.frozen(process) {
            return Err(Some(until));
        }
        let request = Request {
            method: "POST".into(),
            path: "/checkin".into(),
            body: encode(report),
        };
        let response = node
            .handle_without_blocking(request)
            .unwrap_or_else(|_| panic!("it waits"));
        let late = response.valid_until.is_some_and(|t| node.os.now() >= t);
        Ok((if late { 503 } else { response.status }, response.body))
    }

    fn report_arrives(self: &Arc<Self>, n: usize, report: Heartbeat, flight: u64, sent: Time) {
        let zone = report.zone.clone();
        let lost = self.state().is_cut(End::Workers, End::Node(n), self.now());
        if lost || !self.reaches(n, &zone) {
            return;
        }
        let answer = match self.by_heartbeat(n, &report) {
            Ok(answer) => Some(answer),
            Err(Some(until)) => {
                return self.at_time(until, move |w| w.report_arrives(n, report, flight, sent));
            }
            Err(None) => None,
        };
        let now = self.now();
        let copy = {
            let mut state = self.state();
            let late = state.late_reports.filter(|l| l.until > now);
            late.filter(|l| state.rng.f64() < l.share)
        };
        match copy {
            Some(late) if late.for_next => self.state().kept_reports.push(report.clone()),
            Some(_) => {
                let later = self.random(2_000_000..secs(1.4 * LEASE_S));
                let report = report.clone();
                self.after(later, move |w| {
                    let n = w.leader_or_any();
                    w.copy_arrives(n, &report);
                });
            }
            None => {}
        }
        if self.state().is_cut(End::Node(n), End::Workers, self.now()) {
            return;
        }
        let back = self.latency();
        let name = report.machine.clone();
        self.after(back, move |w| {
            w.answer_arrives(&name, report.agent_epoch, flight, sent, answer);
        });
    }

    /// A report that nobody waits for an answer to any more.
    pub fn copy_arrives(self: &Arc<Self>, n: usize, report: &Heartbeat) {
        if let Err(Some(until)) = self.by_heartbeat(n, report) {
            let report = report.clone();
            self.at_time(until, move |w| w.copy_arrives(n, &report));
        }
    }

    fn answer_arrives(
        self: &Arc<Self>,
        name: &str,
        agent_epoch: u64,
        flight: u64,
        sent: Time,
        answer: Option<(u16, Vec<u8>)>,
    ) {
        let now = self.now();
        let nodes = self.setup.nodes;
        let mut state = self.state();
        let Some(m) = state.machines.get_mut(name) else {
            return;
        };
        if !m.up(now) || m.in_flight != Some(flight) {
            return;
        }
        if m.hung_until > now {
            let (until, name) = (m.hung_until, name.to_string());
            drop(state);
            return self.at_time(until, move |w| {
                w.answer_arrives(&name, agent_epoch, flight, sent, answer);
            });
        }
        if now - sent > PATIENCE || m.cut_until > now || m.deaf_until > now {
            return;
        }
        m.in_flight = None;
        let mut next = now + (REPORT_S * 1e6) as Time;
        let mut commands = Vec::new();
        match answer {
            Some((200, body)) => {
                let answer: aspenreel::workers::wire::HeartbeatReplyBody = decode(&body).unwrap();
                if answer.fencing_token >= m.fencing_token && agent_epoch == m.agent_epoch {
                    if answer.fencing_token > m.fencing_token {
                        next = now + 500_000;
                    }
                    m.fencing_token = answer.fencing_token;
                    m.lease_from = sent;
                    commands = answer.commands;
                }
            }
            Some((421, body)) => {
                let named = foreman_of(&body).and_then(|f| f.strip_prefix("n-")?.parse().ok());
                match named.filter(|n| *n != m.node && *n < nodes) {
                    Some(named) => {
                        m.node = named;
                        next = now + 200_000;
                    }
                    None => {
                        m.node = (m.node + 1) % nodes;
                        next = now + PAUSE;
                    }
                }
            }
            _ => {
                m.node = (m.node + 1) % nodes;
                next = now + PAUSE;
            }
        }
        drop(state);
        let spread = (REPORT_S * 250_000.0) as Time;
        let next = if next > now + PAUSE {
            next - spread + self.random(0..2 * spread)
        } else {
            next
        };
        self.report_at(name, next);
        self.execute(name, &commands);
    }

    /// Commands reach a worker's address, or don't; `then` gets what it answers.
    pub fn commands_arrive(
        self: &Arc<Self>,
        n: usize,
        addr: SocketAddr,
        body: Vec<u8>,
        then: impl FnOnce(&Arc<World>, (u16, Vec<u8>)) + Send + 'static,
    ) {
        let now = self.now();
        let (zone, until, held) = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr).filter(|m| m.up(now)) else {
                return;
            };
            if m.deaf_until > now {
                return;
            }
            let until = m.hung_until.max(m.cut_until);
            (m.zone.clone(), until, m.hung_until > now || m.holds)
        };
        let lost = self.state().is_cut(End::Node(n), End::Workers, now);
        if lost || !self.reaches(n, &zone) {
            return;
        }
        if until > now {
            if held {
                let later = until + self.latency();
                self.at_time(later, move |w| w.commands_arrive(n, addr, body, then));
            }
            return;
        }
        #[derive(Deserialize)]
        struct DirectCommands {
            baton: u64,
            shift: u64,
            #[serde(rename = "orders")]
            commands: Vec<WorkerCommand>,
        }
        let commands: DirectCommands = decode(&body).unwrap();
        let name = {
            let mut state = self.state();
            let Some(m) = state.machine_at(addr) else {
                return;
            };
            if commands.baton < m.fencing_token || commands.shift != m.agent_epoch {
                let report = m.report(now);
                drop(state);
                return then(self, (409, encode(&report)));
            }
            m.fencing_token = commands.baton;
            m.name.clone()
        };
        self.execute(&name, &commands.commands);
        let mut state = self.state();
        let report = state.machines.get_mut(&name).map(|m| m.report(now));
        drop(state);
        let lost = self.state().is_cut(End::Workers, End::Node(n), self.now());
        if let Some(report) = report.filter(|_| !lost) {
            then(self, (200, encode(&report)));
        }
    }

    fn execute(self: &Arc<Self>, name: &str, commands: &[WorkerCommand]) {
        let now = self.now();
        let fetch = secs(self.setup.fetch_s);
        let mut changed = false;
        for o in commands {
            let key = (o.task_id.clone(), o.attempt);
            let mut state = self.state();
            let State {
                machines,
                users,
                rng,
                checker,
                starts_by_term,
                ..
            } = &mut *state;
            let Some(m) = machines.get_mut(name) else {
                return;
            };
            let plan_of = |task_id: &str| users.get(split(task_id).0).map(|u| &u.plan);
            match o.kind {
                CommandKind::Run if !m.tasks.contains_key(&key) => {
                    starts_by_term.push((now, o.attempt >> 32));
                    changed = true;
                    let here = |(p, _): &(String, u64)| *p == o.task_id;
                    let mut other = m.tasks.iter().filter(|(k, _)| here(k));
                    let busy = other.any(|(_, t)| t.status != TaskStatus::Exited);
                    let cpus = |p: &str| plan_of(p).map_or(0.0, |p| p.cpus);
                    let refused = match plan_of(&o.task_id) {
                        None => Some(ExitReason::NoSuch),
                        Some(_) if busy => Some(ExitReason::Busy),
                        Some(plan) if plan.cpus > m.free(cpus) => Some(ExitReason::Full),
                        Some(_) => None,
                    };
                    m.timers += 1;
                    let cached = m.images.contains("img");
                    let wait = match cached {
                        true => 0,
                        false => rng.u64(fetch / 2..fetch * 2),
                    };
                    let task = Task {
                        status: match refused {
                            None => TaskStatus::Fetching,
                            Some(_) => TaskStatus::Exited,
                        },
                        exit_reason: refused,
                        ends: now + wait,
                        timer: m.timers,
                    };
                    m.tasks.insert(key.clone(), task);
                    if refused.is_none() {
                        let (at, timer) = (now + wait, m.timers);
                        let name = name.to_string();
                        drop(state);
                        self.at_time(at, move |w| w.moves_on(&name, &key, timer));
                    }
                }
                CommandKind::Stop => {
                    let save = plan_of(&o.task_id).map_or(0.0, |p| p.save_s);
                    let Some(t) = m.tasks.get_mut(&key) else {
                        continue;
                    };
                    let saves = save > 0.0
                        && o.grace_period_s.is_some_and(|l| l >= save)
                        && t.status == TaskStatus::Running;
                    if t.status == TaskStatus::Exited
                        || (t.status == TaskStatus::Flushing && o.grace_period_s != Some(0.0))
                    {
                        continue;
                    }
                    changed = true;
                    m.timers += 1;
                    t.timer = m.timers;
                    if saves {
                        t.status = TaskStatus::Flushing;
                        t.ends = now + secs(save);
                        let (at, timer, name) = (t.ends, t.timer, name.to_string());
                        drop(state);
                        self.at_time(at, move |w| w.moves_on(&name, &key, timer));
                    } else {
                        let left = on_machine(t);
                        t.status = TaskStatus::Exited;
                        t.exit_reason = Some(ExitReason::Stopped);
                        if left {
                            let (id, n) = split(&o.task_id);
                            checker.leaves(id, n, name, false);
                        }
                    }
                }
                CommandKind::Clear => {
                    let exited = |t: &Task| t.status == TaskStatus::Exited;
                    if m.tasks.get(&key).is_some_and(exited) {
                        m.tasks.remove(&key);
                    }
                }
                CommandKind::Run => {}
            }
        }
        if changed {
            self.report_soon(name);
        }
    }

    /// A task has its image, has run, or has saved.
    fn moves_on(self: &Arc<Self>, name: &str, key: &(String, u64), timer: u64) {
        let now = self.now();
        let mut state = self.state();
        let plan = state.plan(&key.0).cloned();
        let State {
            machines, checker, ..
        } = &mut *state;
        let Some(m) = machines.get_mut(name).filter(|m| m.alive()) else {
            return;
        };
        let place = m.place();
        let (hung_until, hung_since) = (m.hung_until, m.hung_since);
        let Some(t) = m.tasks.get_mut(key).filter(|t| t.timer == timer) else {
            return;
        };
        if hung_until > now {
            // What was left to do is done once the machine goes on.
            let left = t.ends.saturating_sub(hung_since);
            t.ends = hung_until + left;
            let (at, name, key) = (t.ends, name.to_string(), key.clone());
            drop(state);
            return self.at_time(at, move |w| w.moves_on(&name, &key, timer));
        }
        let (id, n) = split(&key.0);
        match t.status {
            TaskStatus::Fetching => {
                t.status = TaskStatus::Running;
                t.ends = now + secs(plan.map_or(1.0, |p| p.run_s + f64::from(n) * p.more_s));
                m.images.insert("img".into());
                checker.starts(id, n, &place, now);
                let (at, name, key) = (t.ends, name.to_string(), key.clone());
                drop(state);
                self.at_time(at, move |w| w.moves_on(&name, &key, timer));
            }
            TaskStatus::Running => {
                t.status = TaskStatus::Exited;
                t.exit_reason = Some(ExitReason::Done);
                let ends = plan.is_none_or(|p| !p.standing);
                checker.leaves(id, n, name, ends);
                let id = id.to_string();
                drop(state);
                self.task_ended(&id);
            }
            TaskStatus::Flushing => {
                t.status = TaskStatus::Exited;
                t.exit_reason = Some(ExitReason::Stopped);
                checker.leaves(id, n, name, false);
                drop(state);
            }
            _ => return,
        }
        self.report_soon(name);
    }

    /// Machines that are up now, by name.
    pub fn machines_up(&self) -> Vec<String> {
        let now = self.now();
        let state = self.state();
        let up = state.machines.values().filter(|m| m.up(now));
        up.map(|m| m.name.clone()).collect()
    }

    /// Machines that hold a task of the job.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let state = self.state();
        let holds = |m: &&Machine| {
            let mut held = m.tasks.iter();
            held.any(|((p, _), t)| split(p).0 == id && t.status != TaskStatus::Exited)
        };
        let found = state.machines.values().filter(|m| m.alive()).filter(holds);
        found.map(|m| m.name.clone()).collect()
    }

    pub fn change_machines(
        &self,
        names: &[String],
        span: f64,
        change: impl Fn(&mut Machine, Time),
    ) {
        let until = self.now() + secs(span);
        {
            let mut state = self.state();
            for name in names {
                if let Some(m) = state.machines.get_mut(name) {
                    change(m, until);
                }
            }
        }
        self.trouble(span);
    }

    pub fn hang(&self, names: &[String], span: f64) {
        let now = self.now();
        self.change_machines(names, span, |m, until| {
            m.hung_since = now;
            m.hung_until = until;
        });
    }

    pub fn cut(&self, names: &[String], span: f64, holds: bool) {
        self.change_machines(names, span, |m, until| {
            m.cut_until = until;
            m.holds = holds;
        });
    }

    pub fn mute(&self, names: &[String], span: f64) {
        self.change_machines(names, span, |m, until| m.mute_until = until);
    }

    pub fn deafen(&self, names: &[String], span: f64) {
        self.change_machines(names, span, |m, until| m.deaf_until = until);
    }

    /// The cloud takes spot machines, after a notice.
    pub fn give_preemption_notice(self: &Arc<Self>, names: &[String], notice: f64) {
        self.change_machines(names, notice, |m, until| m.preempted_at = Some(until));
        for name in names {
            self.report_soon(name);
            let name = name.clone();
            self.after(secs(notice), move |w| {
                w.remove_machine(&name, |m, now| m.gone_at = Some(now));
            });
        }
    }

    /// Machines stop for good; nobody is told.
    pub fn die(&self, names: &[String]) {
        for name in names {
            self.remove_machine(name, |m, now| m.died_at = Some(now));
        }
        self.trouble(LISTED_AFTER_DEATH_S);
    }

    pub(crate) fn remove_machine(&self, name: &str, change: impl Fn(&mut Machine, Time)) {
        let now = self.now();
        let mut state = self.state();
        let State {
            machines, checker, ..
        } = &mut *state;
        let Some(m) = machines.get_mut(name).filter(|m| m.gone_at.is_none()) else {
            return;
        };
        change(m, now);
        for ((task_id, _), task) in std::mem::take(&mut m.tasks) {
            if on_machine(&task) {
                let (id, n) = split(&task_id);
                checker.leaves(id, n, name, false);
            }
        }
    }
}

/// The controller that a refusal of a heartbeat names.
pub fn foreman_of(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct Hint {
        #[serde(rename = "foreman")]
        leader: Option<String>,
    }
    let hint: Hint = decode(body).unwrap();
    hint.leader
}

/// It has its image and has not ended.
fn on_machine(task: &Task) -> bool {
    matches!(task.status, TaskStatus::Running | TaskStatus::Flushing)
}
