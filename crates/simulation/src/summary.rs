//! How a simulation ends, and what it has shown by then.

use crate::checker::JobPlan;
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::NodeState;
use aspenreel::controller::Controller;
use aspenreel::workers::fencing::CommandCounters;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Starts that machines saw: when, and in which term they were decided.
#[derive(Clone)]
pub struct Starts(pub Vec<(Time, u64)>);

impl std::fmt::Debug for Starts {
    /// There may be thousands: their number is enough for a line.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} starts", self.0.len())
    }
}

/// How a model ended.
#[derive(Debug)]
pub struct Summary {
    pub broken: Vec<String>,
    pub late_starts: Vec<String>,
    pub starts: u32,
    pub cancelled: u32,
    pub done: u32,
    pub leaders: usize,
    /// When each term began, its number and its leader.
    pub terms: Vec<(Time, u64, usize)>,
    /// When machines first saw orders to start, and the term that they were given in.
    pub starts_by_term: Starts,
    /// Users' questions that got no answer in time, or none that tells anything.
    pub unanswered_questions: u32,
    /// From each accepted job's submission until its user knew that it is done.
    pub turnaround_s: Vec<f64>,
    pub seconds: u64,
    /// What the last leader counted of its orders.
    pub commands: CommandCounters,
    /// The digest of all messages.
    pub transcript: String,
}

impl Summary {
    /// No rule was broken.
    #[track_caller]
    pub fn kept(&self, what: &str) -> &Self {
        assert!(self.broken.is_empty(), "{what}: {:#?}", self.broken);
        self
    }
}

impl Simulation {
    /// Plays until the troubles are over and all accepted jobs have ended; then ends everything.
    /// Whoever could run and waits for long, or never ends, breaks a rule as well.
    pub fn finish(self: &Arc<Self>) -> Summary {
        let calm = self.state().faults_until.max(self.now());
        let mut waits: BTreeMap<String, Time> = BTreeMap::new();
        let end = calm + secs(360.0);
        while self.now() < end {
            self.scheduler.run_until(self.now() + secs(2.0));
            let now = self.now();
            if now > calm {
                let waiting = self.runnable_jobs();
                waits.retain(|id, _| waiting.contains(id));
                for id in waiting {
                    let since = *waits.entry(id.clone()).or_insert(now);
                    if now - since > secs(90.0) {
                        let text = format!("{:.3} room: {id} waits for 90 s", now as f64 / 1e6);
                        self.state().checker.broken.push(text);
                        waits.remove(&id);
                    }
                }
            }
            let state = self.state();
            if now > calm && state.checker.open().is_empty() && state.checker.missing().is_empty() {
                break;
            }
        }
        let mut state = self.state();
        let violations = aspenreel::invariants::violation_count();
        if violations > 0 {
            // Counted for the whole process: whichever models run beside this one, one of them did it.
            let text =
                format!("controllers saw {violations} invariants violated (MODEL_LOG=error)");
            state.checker.broken.push(text);
        }
        let missing: Vec<String> = state
            .checker
            .missing()
            .iter()
            .map(|p| p.id.clone())
            .collect();
        if !missing.is_empty() {
            let text = format!("replicas missing: {}", missing.join(", "));
            state.checker.broken.push(text);
        }
        let open: Vec<String> = state.checker.open().iter().map(|p| p.id.clone()).collect();
        if !open.is_empty() {
            let text = format!("never ended: {}", open.join(", "));
            state.checker.broken.push(text);
        }
        let summary = Summary {
            broken: state.checker.broken.clone(),
            late_starts: state.checker.late_starts.clone(),
            starts: state.checker.starts,
            cancelled: state.checker.answered_cancelled,
            done: state.checker.answered_done,
            leaders: state.terms.len(),
            terms: state.terms.clone(),
            starts_by_term: Starts(state.starts_by_term.clone()),
            unanswered_questions: state.checker.unanswered_questions,
            turnaround_s: state.checker.turnaround_s(),
            seconds: self.now() / 1_000_000,
            commands: command_counters(&state.nodes),
            transcript: state.transcript.summary(),
        };
        drop(state);
        self.scheduler.end();
        let nodes = std::mem::take(&mut self.state().nodes);
        drop(nodes);
        summary
    }

    /// Jobs with waiting tasks for which some machine that serves has room, below their team's limit.
    pub(crate) fn runnable_jobs(&self) -> Vec<String> {
        let state = self.state();
        let fits = |p: &&JobPlan| {
            let c = &state.checker;
            c.used(&p.team) + p.cpus <= c.limit(&p.team)
                && !p.one_zone
                && !p.spread
                && state.machines.values().any(|m| m.could_take(p))
        };
        let waiting = state.checker.waiting();
        waiting
            .into_iter()
            .filter(fits)
            .map(|p| p.id.clone())
            .collect()
    }
}

fn command_counters(nodes: &[NodeState]) -> CommandCounters {
    let counters = |node: &Arc<Controller>| Some(node.state().scheduler.as_ref()?.fencing.counters);
    let running = nodes.iter().filter_map(|n| n.node.as_ref());
    running.filter_map(counters).next().unwrap_or_default()
}
