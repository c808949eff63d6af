//! How a simulation ends, and what it has shown by then.

use crate::checker::{Checker, JobPlan};
use crate::scheduler::{Time, secs};
use crate::simulation::Simulation;
use crate::state::{NodeState, SimulationState};
use aspenreel::controller::Controller;
use aspenreel::workers::fencing::CommandCounters;
use std::collections::BTreeMap;
use std::sync::Arc;

/// TaskStarts that machines saw: when, and in which term they were decided.
#[derive(Clone)]
pub struct TaskStarts(pub Vec<(Time, u64)>);

impl std::fmt::Debug for TaskStarts {
    /// There may be thousands: their number is enough for a line.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} starts", self.0.len())
    }
}

/// How a simulation ended.
#[derive(Debug)]
pub struct Summary {
    /// Broken rules.
    pub violations: Vec<String>,
    /// TaskStarts after a user knew of the cancellation, within the time for it.
    pub late_starts: Vec<String>,
    /// TaskStarts of tasks.
    pub starts: u32,
    /// Jobs that users knew to be cancelled.
    pub cancelled: u32,
    /// Jobs that users knew to be done.
    pub done: u32,
    /// How many terms there were.
    pub leaders: usize,
    /// When each term began, its number and its leader.
    pub terms: Vec<(Time, u64, usize)>,
    /// When machines first saw commands to start, and the term that they were given in.
    pub starts_by_term: TaskStarts,
    /// Users' questions that got no answer in time, or none that tells anything.
    pub unanswered_requests: u32,
    /// From each accepted job's submission until its user knew that it is done.
    pub turnaround_s: Vec<f64>,
    /// How long it took, in simulated seconds.
    pub seconds: u64,
    /// What the last leader counted of its commands.
    pub commands: CommandCounters,
    /// The digest of all messages.
    pub transcript: String,
}

impl Summary {
    /// No rule was broken.
    #[track_caller]
    pub fn assert_no_violations(&self, what: &str) -> &Self {
        assert!(self.violations.is_empty(), "{what}: {:#?}", self.violations);
        self
    }
}

/// After the last fault, jobs have so long to end.
const SETTLE_S: f64 = 360.0;
/// A job that could run may wait for so long.
const MAX_WAIT_S: f64 = 90.0;

impl Simulation {
    /// Runs until the faults are over and all accepted jobs have ended; then ends everything.
    /// A task that could run and waits for long, or a job that never ends, breaks a rule as well.
    pub fn finish(self: &Arc<Self>) -> Summary {
        self.run_until_settled();
        let summary = {
            let mut state = self.state();
            note_violations(&mut state.checker);
            note_unfinished(&mut state.checker);
            summarize(&state, self.now())
        };
        self.scheduler.shut_down();
        let nodes = std::mem::take(&mut self.state().nodes);
        drop(nodes);
        summary
    }

    /// Runs until every accepted job has ended after the last fault, or for [`SETTLE_S`] after it.
    fn run_until_settled(&self) {
        let calm = self.state().faults_until.max(self.now());
        let end = calm + secs(SETTLE_S);
        let mut waits: BTreeMap<String, Time> = BTreeMap::new();
        while self.now() < end {
            self.scheduler.run_until(self.now() + secs(2.0));
            if self.now() <= calm {
                continue;
            }
            self.note_long_waits(&mut waits);
            let state = self.state();
            if state.checker.unfinished_jobs().is_empty()
                && state.checker.missing_replicas().is_empty()
            {
                break;
            }
        }
    }

    /// Breaks a rule for each job that could have run for [`MAX_WAIT_S`]; `waits` has since when they can.
    fn note_long_waits(&self, waits: &mut BTreeMap<String, Time>) {
        let now = self.now();
        let runnable = self.runnable_jobs();
        waits.retain(|id, _| runnable.contains(id));
        for id in runnable {
            let since = *waits.entry(id.clone()).or_insert(now);
            if now - since > secs(MAX_WAIT_S) {
                let seconds = now as f64 / 1e6;
                let text = format!("{seconds:.3} room: {id} waits for {MAX_WAIT_S} s");
                self.state().checker.violations.push(text);
                waits.remove(&id);
            }
        }
    }

    /// Jobs with waiting tasks for which some machine that serves has room, below their team's limit.
    pub(crate) fn runnable_jobs(&self) -> Vec<String> {
        let state = self.state();
        let fits = |p: &&JobPlan| {
            let c = &state.checker;
            c.used_cpus(&p.team) + p.cpus <= c.cpu_limit(&p.team)
                && !p.same_zone
                && !p.spread
                && state.machines.values().any(|m| m.has_room_for(p))
        };
        let waiting = state.checker.waiting_jobs();
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

/// Invariants that controllers found violated.
fn note_violations(checker: &mut Checker) {
    let violations = aspenreel::invariants::violation_count();
    if violations > 0 {
        // Counted for the whole process: whichever simulations run beside this one, one of them did it.
        let text = format!("controllers saw {violations} invariants violated (MODEL_LOG=error)");
        checker.violations.push(text);
    }
}

/// Replicas that don't run, and jobs that never ended.
fn note_unfinished(checker: &mut Checker) {
    let names = |plans: Vec<&JobPlan>| -> Vec<String> {
        plans.iter().map(|plan| plan.id.clone()).collect()
    };
    let missing = names(checker.missing_replicas());
    let open = names(checker.unfinished_jobs());
    if !missing.is_empty() {
        let text = format!("replicas missing: {}", missing.join(", "));
        checker.violations.push(text);
    }
    if !open.is_empty() {
        let text = format!("never ended: {}", open.join(", "));
        checker.violations.push(text);
    }
}

fn summarize(state: &SimulationState, now: Time) -> Summary {
    let checker = &state.checker;
    Summary {
        violations: checker.violations.clone(),
        late_starts: checker.late_starts.clone(),
        starts: checker.starts,
        cancelled: checker.answered_cancelled,
        done: checker.answered_done,
        leaders: state.terms.len(),
        terms: state.terms.clone(),
        starts_by_term: TaskStarts(state.starts_by_term.clone()),
        unanswered_requests: checker.unanswered_requests,
        turnaround_s: checker.turnaround_s(),
        seconds: now / 1_000_000,
        commands: command_counters(&state.nodes),
        transcript: state.transcript.summary(),
    }
}
